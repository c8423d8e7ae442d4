package coordinator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"petrelhook/internal/common/await"
	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/rpc"
	"petrelhook/internal/coordination/subscribe"
)

// Receivers are subscribers to versions of configurations, with the client that agents have and without sidecars. They fail the test at its
// end if one was sent a version that is not newer than the one it held, or one of another service.
type Receivers struct {
	t        testing.TB
	group    *Group
	services []string // of each
	clients  []*subscribe.Client

	mu     sync.Mutex
	held   []distribute.Revision
	stored int
	wrong  []string
}

// StartReceivers starts n receivers over some services, which connect by dial (nil: TCP). Each reports what it stores as in force at once.
func StartReceivers(t testing.TB, g *Group, dial rpc.Dial, n, services int) *Receivers {
	t.Helper()
	r := &Receivers{t: t, group: g, held: make([]distribute.Revision, n)}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
		for _, w := range r.wrong {
			t.Error(w)
		}
	})
	for i := range n {
		r.services = append(r.services, fmt.Sprintf("service-%d", i%services))
		client := subscribe.New(subscribe.Options{Addrs: g.Addrs(), Dial: dial, Service: r.services[i], Member: fmt.Sprintf("m%d", i),
			Store: func(v distribute.Version) error { r.store(i, v); return nil }})
		r.clients = append(r.clients, client)
		client.Report(r.report(i, 0))
	}
	for _, client := range r.clients {
		running.Go(func() { client.Run(ctx) })
	}
	return r
}

// report is what a receiver says that it has in force.
func (r *Receivers) report(index int, revision distribute.Revision) distribute.Report {
	return distribute.Report{Sidecar: fmt.Sprintf("s%d", index), InForce: revision}
}

// store takes a version that a receiver was sent.
func (r *Receivers) store(index int, v distribute.Version) {
	service := r.services[index]
	r.mu.Lock()
	if v.Revision <= r.held[index] || v.Service != service || !strings.Contains(string(v.Content), `"`+v.Service+`"`) {
		r.wrong = append(r.wrong, fmt.Sprintf("m%d of %s held %d and took %d of %s: %s", index, service, r.held[index], v.Revision, v.Service, v.Content))
	}
	r.held[index] = v.Revision
	r.stored++
	r.mu.Unlock()
	r.clients[index].Report(r.report(index, v.Revision))
}

// hold reports whether all receivers of a service hold a revision, or a newer one.
func (r *Receivers) hold(service string, revision distribute.Revision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, of := range r.services {
		if of == service && r.held[i] < revision {
			return false
		}
	}
	return true
}

// Stored is the number of versions that all receivers have stored.
func (r *Receivers) Stored() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stored
}

// AwaitAll waits until all receivers hold the newest versions, given by service, and the coordinators' summaries say so.
func (r *Receivers) AwaitAll(newest map[string]distribute.Revision) {
	r.t.Helper()
	for service, revision := range newest {
		await.Eventually(r.t, fmt.Sprintf("all of %s hold %d", service, revision), func() bool { return r.hold(service, revision) })
	}
	operator := r.group.Operator()
	await.Eventually(r.t, "the summaries say so", func() bool {
		services, _ := operator.InForce(r.t.Context(), "")
		for service, revision := range newest {
			if s := services[service]; s.Newest != revision || s.Reported == 0 || s.InForce != s.Reported {
				return false
			}
		}
		return true
	})
}

// publishTimeout bounds the publication of a version.
const publishTimeout = 20 * time.Second

// PublishNumbered publishes a version that names its service, with a number that makes it differ from others.
func (g *Group) PublishNumbered(service string, number int) distribute.Revision {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(g.t.Context(), publishTimeout)
	defer cancel()
	revision, _, err := g.operator.Publish(ctx, service, fmt.Appendf(nil, `{"settings": {"for": %q, "n": %d}}`, service, number), false)
	if err != nil {
		g.t.Fatal(err)
	}
	return revision
}
