// Package standin is a fleet of servers and a discovery service that speak the platform's protocol, with the faults of a
// scenario. It records what servers received and when, what ran, and what discovery sent to each sidecar; package audit judges that.
//
// It runs on the Network it is given: sockets on loopback, or a network in memory inside a testing/synctest
// bubble. It reads the time through package time only, sleeps only on timers and channels, and its random numbers depend only
// on the scenario's seed and a request's own id. A Fleet's methods may be called from any goroutine; Close waits for all of its own.
package standin

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/scenario"
)

// Network is what a fleet listens on.
type Network interface {
	Listen(addr string) (net.Listener, error)
	// Isolate partitions the machine that listens at an address from the network; Restore ends that.
	Isolate(addr string)
	Restore(addr string)
}

// Fleet is the servers of a scenario and their discovery.
type Fleet struct {
	scenario *scenario.Scenario
	net      Network
	recorder *audit.Recorder
	zero     time.Time // of the records' times

	servers   []*server
	discovery *discovery
	keys      keyStore

	goroutines sync.WaitGroup
}

// Start starts the servers and discovery. Times in rec count from zero; the faults begin with Run. The caller closes the Fleet; on an
// error everything has ended.
func Start(s *scenario.Scenario, n Network, rec *audit.Recorder, zero time.Time) (*Fleet, error) {
	f := &Fleet{scenario: s, net: n, recorder: rec, zero: zero, keys: keyStore{known: map[groupKey]time.Time{}}}
	for _, def := range s.Servers {
		srv := newServer(f, def)
		f.servers = append(f.servers, srv)
		if err := srv.begin(def.Name, scenario.SlowStart{}); err != nil {
			f.Close()
			return nil, fmt.Errorf("server %s: %w", def.Name, err)
		}
	}
	var first []Member
	for _, srv := range f.servers {
		first = append(first, srv.member(audit.Up, 0))
	}
	f.discovery = newDiscovery(f, first)
	for i := range max(s.Sidecars.Count, 1) {
		if err := f.discovery.listen(i); err != nil {
			f.Close()
			return nil, fmt.Errorf("discovery for sidecar %d: %w", i, err)
		}
	}
	return f, nil
}

// Discovery is the address of discovery for a sidecar.
func (f *Fleet) Discovery(sidecar int) string { return f.discovery.addresses[sidecar] }

// Known is the list of servers now, in discovery's form, for a sidecar that starts with it. It counts as sent to it.
func (f *Fleet) Known(sidecar int) []byte { return f.discovery.knownList(sidecar) }

// Addr is the address of a server.
func (f *Fleet) Addr(server int) string { return f.servers[server].addr }

// now is the present time of the records.
func (f *Fleet) now() time.Duration { return time.Since(f.zero) }

// event is the beginning or the end of a fault.
type event struct {
	time  time.Duration
	apply func() error
}

// Run injects the faults, at their times from now on, and returns when the last has ended or ctx ends. An error is that of a server or
// of discovery that could not listen again, or of ctx.
func (f *Fleet) Run(ctx context.Context) error {
	var events []event
	for _, fault := range f.scenario.Faults {
		if fault.Target == scenario.DiscoveryTarget {
			events = append(events, f.discovery.events(fault)...)
			continue
		}
		i := slices.IndexFunc(f.scenario.Servers, func(s scenario.Server) bool { return s.Name == fault.Target })
		events = append(events, f.servers[i].events(fault)...)
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.time - b.time) })
	began := time.Now()
	for _, e := range events {
		t := time.NewTimer(e.time - time.Since(began))
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		}
		if err := e.apply(); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all servers and discovery, and returns when none of their goroutines runs. It records the servers' incarnations.
func (f *Fleet) Close() {
	if f.discovery != nil {
		f.discovery.close()
	}
	for _, s := range f.servers {
		s.end()
	}
	f.goroutines.Wait()
}

// spawn runs a goroutine that Close waits for.
func (f *Fleet) spawn(run func()) {
	f.goroutines.Add(1)
	go func() {
		defer f.goroutines.Done()
		run()
	}()
}

// keyStore has the keys of requests that ran, by the group of servers that remembers them. It is safe for concurrent use.
type keyStore struct {
	mu    sync.Mutex
	known map[groupKey]time.Time // when it first ran
}

// groupKey is a key that a group remembers: a cell, a zone, or all servers.
type groupKey struct {
	class, key, group string
}

// seen reports whether a group still remembers a key, and remembers it from now on.
func (k *keyStore) seen(c *scenario.Class, s scenario.Server, key string) bool {
	remembered := groupKey{class: c.Name, key: key}
	switch c.Group {
	case scenario.GroupCell:
		remembered.group = fmt.Sprint(s.Cell)
	case scenario.GroupZone:
		remembered.group = s.Zone
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if at, ok := k.known[remembered]; ok && now.Sub(at) < c.Window {
		return true
	}
	k.known[remembered] = now
	return false
}

// draw is a random number in [0, 1) that depends on the seed and the key alone.
func (f *Fleet) draw(key ...string) float64 { return scenario.Draw(f.scenario.Seed, key...) }
