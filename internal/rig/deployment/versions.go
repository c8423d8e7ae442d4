package deployment

import (
	"context"
	"sync"
	"testing"
	"time"

	"petrelhook/internal/coordination/distribute"
)

// Publish publishes a version of the application's configuration.
func (d *Deployment) Publish(content string) distribute.Revision {
	d.t.Helper()
	return d.PublishAt(d.Addrs(), content)
}

// PublishAt is Publish at other addresses of the coordinators.
func (d *Deployment) PublishAt(addrs []string, content string) distribute.Revision {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(d.t.Context(), 30*time.Second)
	defer cancel()
	revision, _, err := d.OperatorAt(addrs).Publish(ctx, Application, []byte(content), false)
	if err != nil {
		d.t.Fatal(err)
	}
	return revision
}

// InForce is the state of the newest version as reported to the coordinators.
func (d *Deployment) InForce() distribute.Summary {
	d.t.Helper()
	services, _ := d.Operator().InForce(d.t.Context(), Application)
	return services[Application]
}

// Sidecars is the number of sidecars of all agents.
func (d *Deployment) Sidecars() int { return len(d.Agents) * d.PerAgent }

// AwaitInForce waits until all sidecars have reported that a version is in force, and returns how long that took.
func (d *Deployment) AwaitInForce(timeout time.Duration, revision distribute.Revision) time.Duration {
	d.t.Helper()
	return d.AwaitSummary(timeout, "it is in force on all", func(s distribute.Summary) bool {
		return s.Newest == revision && s.InForce == d.Sidecars() && s.Reported == d.Sidecars()
	})
}

// AwaitSummary waits until ok returns true for the coordinators' summary, and returns how long that took. what names the state in the
// failure.
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

// watchInterval is the time between two checks of WatchRevisions.
const watchInterval = 20 * time.Millisecond

// WatchRevisions checks the agents' files, in a goroutine of its own, until the returned function is called or the test ends: the
// revision in force of a sidecar never decreases, and no sidecar has more than two processes.
func (d *Deployment) WatchRevisions(t testing.TB) (end func()) {
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		w := revisionWatch{t: t, last: map[sidecarIndex]distribute.Revision{}}
		for {
			for i, a := range d.Agents {
				w.check(i, a)
			}
			select {
			case <-stop:
				return
			case <-time.After(watchInterval):
			}
		}
	}()
	end = sync.OnceFunc(func() { close(stop); <-ended })
	t.Cleanup(end)
	return end
}

// sidecarIndex is a sidecar of an agent.
type sidecarIndex struct{ agent, sidecar int }

// revisionWatch has what WatchRevisions has seen.
type revisionWatch struct {
	t    testing.TB
	last map[sidecarIndex]distribute.Revision // in force
}

// check checks the files of an agent.
func (w *revisionWatch) check(index int, a *Agent) {
	for j, state := range a.PersistedStates() {
		at := sidecarIndex{index, j}
		if state.InForce < w.last[at] {
			w.t.Errorf("agent %d, sidecar %d: version %d is in force after %d", index, j, state.InForce, w.last[at])
			continue
		}
		w.last[at] = state.InForce
	}
	if n := a.MaxProcesses(); n > 2 {
		w.t.Errorf("agent %d: %d processes of one sidecar", index, n)
	}
}
