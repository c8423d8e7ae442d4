package scale

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/monotonic"
	"petrelhook/internal/coordination/subscribe"
)

// subscribers are hollow members that wait for versions, each as the agent of one sidecar. They use the agents' own client and
// leave out what an agent does with a version: they report each as in force at once. They live until their process ends.
type subscribers struct {
	counters counters
	all      []*subscriber

	mu        sync.Mutex
	changed   chan struct{} // closed, and made anew, when a member gets a response or adopts a version
	violation error         // the first version that a member should not have got
}

// subscriber is one member. Its changing fields are guarded by subscribers.mu.
type subscriber struct {
	member
	number    int
	service   string
	revision  distribute.Revision
	calls     uint64 // that got a response
	adoptions []adoption
}

// adoption records that a member adopted a version.
type adoption struct {
	Member   int                 `json:"member"`
	Revision distribute.Revision `json:"revision"`
	Time     int64               `json:"at"` // ns of the machine's monotonic clock
}

// joinSubscribers starts the members. The caller awaits their first responses.
func joinSubscribers(j *join) *subscribers {
	w := &subscribers{counters: counters{}, changed: make(chan struct{})}
	for _, addr := range j.Coordinators {
		w.counters[addr] = &counter{}
	}
	services := drawServices(j.Seed, j.Size)
	for i := range j.Members.Count {
		number := j.Members.First + i
		m := &subscriber{member: drawMember(j.Seed, number), number: number, service: serviceName(services[number])}
		w.all = append(w.all, m)
		var client *subscribe.Client
		client = subscribe.New(subscribe.Options{
			Addrs: j.Coordinators, Service: m.service, Member: m.Name,
			HTTPClient: &http.Client{Transport: newCountingTransport(w.counters, func() { w.recordResponse(m) })},
			Store: func(v distribute.Version) error {
				w.adopt(m, &v)
				client.Report(distribute.Report{Sidecar: m.Name, InForce: v.Revision})
				return nil
			},
		})
		client.Report(distribute.Report{Sidecar: m.Name})
		go client.Run(context.Background()) // until the process ends
	}
	return w
}

// recordResponse counts a call of a member's client that succeeded.
func (w *subscribers) recordResponse(m *subscriber) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m.calls++
	w.wake()
}

// adopt records a version that a member's client received, and checks that it is of the member's service and newer than its last.
func (w *subscribers) adopt(m *subscriber, v *distribute.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.wake()
	switch {
	case w.violation != nil:
	case v.Service != m.service || !bytes.HasPrefix(v.Content, contentPrefix(m.service)):
		w.violation = fmt.Errorf("member %s of %s took revision %d, which is of %s: %.60s", m.Name, m.service, v.Revision,
			v.Service, v.Content)
	case v.Revision <= m.revision:
		w.violation = fmt.Errorf("member %s took revision %d after %d", m.Name, v.Revision, m.revision)
	}
	m.revision = v.Revision
	m.adoptions = append(m.adoptions, adoption{m.number, v.Revision, int64(monotonic.Now())})
}

// wake wakes await. The caller holds mu.
func (w *subscribers) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *subscribers) sample() (*sample, error) {
	n := &sample{Time: int64(monotonic.Now()), Traffic: map[string]traffic{}, Waiting: map[string]int{}}
	for addr, c := range w.counters {
		n.Traffic[addr], n.Waiting[addr] = c.traffic(), int(c.waiting.Load())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return n, w.violation
}

// await waits until a condition holds for all members.
func (w *subscribers) await(ctx context.Context, a *condition) (_ []int64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for next := 0; next < len(w.all) && w.violation == nil; { // it holds for those before next for good: revisions and calls only grow
		if m := w.all[next]; m.calls >= a.Calls && m.revision >= a.Revisions[m.service] {
			next++
			continue
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			err = ctx.Err()
		}
		w.mu.Lock()
		if err != nil {
			return nil, errors.Join(fmt.Errorf("%d of %d", next, len(w.all)), err)
		}
	}
	return nil, w.violation
}

// adoptedSince returns what was adopted from a revision on, each member's in its order.
func (w *subscribers) adoptedSince(from distribute.Revision) (all []adoption, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.all {
		for _, t := range m.adoptions {
			if t.Revision >= from {
				all = append(all, t)
			}
		}
	}
	return all, w.violation
}

func (w *subscribers) agents() []string { return nil }
