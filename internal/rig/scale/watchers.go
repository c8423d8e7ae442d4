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

// watchers are hollow members that wait for versions, each an agent of one sidecar. Their client is the agents' own;
// what is left out is what an agent does with a version: they report as in force at once what they take.
type watchers struct {
	of      counters
	all     []*watcher
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu      sync.Mutex
	changed chan struct{} // closed when a member was answered, or has taken a version
	bad     error         // the first thing that must not be
}

// watcher is one, owned by watchers.mu.
type watcher struct {
	member
	number  int
	service string
	holds   distribute.Revision
	calls   uint64 // that were answered
	takes   []take
}

// take is that a member took a version.
type take struct {
	Member   int                 `json:"member"`
	Revision distribute.Revision `json:"revision"`
	At       int64               `json:"at"` // ns of the machine's monotonic clock
}

// joinWatchers returns when all have begun; that they were answered for the first time is to be awaited.
func joinWatchers(j *join) *watchers {
	w := &watchers{of: counters{}, changed: make(chan struct{})}
	for _, addr := range j.Coordinators {
		w.of[addr] = &counter{}
	}
	services := drawServices(j.Seed, j.Size)
	ctx, cancel := context.WithCancel(context.Background()) // until close, or the process ends
	w.cancel = cancel
	for i := range j.Members.Count {
		number := j.Members.First + i
		m := &watcher{member: drawMember(j.Seed, number), number: number, service: serviceName(services[number])}
		w.all = append(w.all, m)
		var client *subscribe.Client
		client = subscribe.New(subscribe.Options{
			Addrs: j.Coordinators, Service: m.service, Member: m.Name,
			HTTPClient: &http.Client{Transport: newCounting(w.of, func() { w.wasAnswered(m) })},
			Store: func(v distribute.Version) error {
				w.take(m, &v)
				client.Report(distribute.Report{Sidecar: m.Name, InForce: v.Revision})
				return nil
			},
		})
		client.Report(distribute.Report{Sidecar: m.Name})
		w.running.Go(func() { client.Run(ctx) })
	}
	return w
}

func (w *watchers) close() {
	w.cancel()
	w.running.Wait()
}

func (w *watchers) wasAnswered(m *watcher) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m.calls++
	w.wake()
}

// take notes a version that a member's client gave it, and checks it for itself.
func (w *watchers) take(m *watcher, v *distribute.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.wake()
	switch {
	case w.bad != nil:
	case v.Service != m.service || !bytes.HasPrefix(v.Content, contentHead(m.service)):
		w.bad = fmt.Errorf("member %s of %s took revision %d, which is of %s: %.60s", m.Name, m.service, v.Revision,
			v.Service, v.Content)
	case v.Revision <= m.holds:
		w.bad = fmt.Errorf("member %s took revision %d after %d", m.Name, v.Revision, m.holds)
	}
	m.holds = v.Revision
	m.takes = append(m.takes, take{m.number, v.Revision, int64(monotonic.Now())})
}

// wake tells who waits. The caller holds mu.
func (w *watchers) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *watchers) sample() (*sample, error) {
	n := &sample{At: int64(monotonic.Now()), Of: map[string]traffic{}, Waiting: map[string]int{}}
	for addr, c := range w.of {
		n.Of[addr], n.Waiting[addr] = c.carried(), int(c.waiting.Load())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return n, w.bad
}

// await waits until something holds of all members.
func (w *watchers) await(ctx context.Context, a *await) (_ []int64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for next := 0; next < len(w.all) && w.bad == nil; { // those before hold: what is held and was answered only grows
		if m := w.all[next]; m.calls >= a.Calls && m.holds >= a.Holds[m.service] {
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
	return nil, w.bad
}

// taken is what was taken from a revision on, each member's in its order.
func (w *watchers) taken(from distribute.Revision) (all []take, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.all {
		for _, t := range m.takes {
			if t.Revision >= from {
				all = append(all, t)
			}
		}
	}
	return all, w.bad
}

func (w *watchers) agents() []string { return nil }
