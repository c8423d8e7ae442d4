package deployment

import (
	"context"
	"sync"
	"testing"
	"time"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/fleet"
)

// Publish publishes a version of the application's configuration.
func (d *Deployment) Publish(content string) distribute.Revision {
	d.t.Helper()
	return d.PublishAt(d.Addrs(), content)
}

// PublishAt is Publish by other ways to the coordinators.
func (d *Deployment) PublishAt(addrs []string, content string) distribute.Revision {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(d.t.Context(), 30*time.Second)
	defer cancel()
	revision, _, err := (&fleet.Operator{Addrs: addrs}).Publish(ctx, Application, []byte(content), false)
	if err != nil {
		d.t.Fatal(err)
	}
	return revision
}

// InForce is how the newest version stands, as the coordinators have heard.
func (d *Deployment) InForce() distribute.Summary {
	d.t.Helper()
	services, _ := (&fleet.Operator{Addrs: d.Addrs()}).InForce(d.t.Context(), Application)
	return services[Application]
}

// Sidecars is how many the agents have.
func (d *Deployment) Sidecars() int { return len(d.Agents) * d.PerAgent }

// AwaitInForce waits until all sidecars run a version, as the coordinators have heard, within a time.
func (d *Deployment) AwaitInForce(timeout time.Duration, revision distribute.Revision) time.Duration {
	d.t.Helper()
	return d.AwaitSummary(timeout, "it is in force on all", func(s distribute.Summary) bool {
		return s.Newest == revision && s.InForce == d.Sidecars() && s.Reported == d.Sidecars()
	})
}

// AwaitSummary waits for what the coordinators have heard to be so, within a time.
func (d *Deployment) AwaitSummary(timeout time.Duration, what string, ok func(distribute.Summary) bool) time.Duration {
	d.t.Helper()
	began := time.Now()
	for {
		s := d.InForce()
		if ok(s) {
			return time.Since(began)
		}
		if time.Since(began) > timeout {
			d.t.Fatalf("not within %v: %s: %+v", timeout, what, s)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// WatchRevisions watches what the agents keep, until the function that it gives is called: that what is in force never
// goes back, and that no sidecar has more than two processes.
func (d *Deployment) WatchRevisions(t testing.TB) (end func()) {
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		last := map[[2]int]distribute.Revision{}
		for {
			for i, a := range d.Agents {
				for j, k := range a.PersistedStates() {
					if at := [2]int{i, j}; k.InForce < last[at] {
						t.Errorf("agent %d, sidecar %d: version %d is in force after %d", i, j, k.InForce, last[at])
					} else {
						last[at] = k.InForce
					}
				}
				if n := a.MaxProcesses(); n > 2 {
					t.Errorf("agent %d: %d processes of one sidecar", i, n)
				}
			}
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	end = sync.OnceFunc(func() { close(stop); <-ended })
	t.Cleanup(end)
	return end
}
