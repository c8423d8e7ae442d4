// Package standin is a fleet of servers and a discovery that speak the platform's protocol, and go wrong as a scenario
// says. It records what reached whom and when, what ran, and what each sidecar was told; package audit judges that.
//
// It runs on whatever Network it is given: sockets on loopback, or a network in memory inside a testing/synctest
// bubble. It reads the time through package time only, sleeps only on timers and channels, and draws nothing but what
// follows from the scenario's seed and a request's own id.
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
	// Silence cuts off the machine that listens at an address, and Restore brings it back.
	Isolate(addr string)
	Restore(addr string)
}

// Fleet is the servers of a scenario and their discovery.
type Fleet struct {
	s    *scenario.Scenario
	net  Network
	rec  *audit.Recorder
	zero time.Time // of the records' times

	servers   []*server
	discovery *discovery
	keys      keyStore

	goroutines sync.WaitGroup
}

// Start starts the servers and discovery. Times in rec count from zero; the faults begin with Run.
func Start(s *scenario.Scenario, n Network, rec *audit.Recorder, zero time.Time) (*Fleet, error) {
	f := &Fleet{s: s, net: n, rec: rec, zero: zero, keys: keyStore{known: map[keyPlace]time.Time{}}}
	for _, def := range s.Servers {
		srv := newServer(f, def)
		f.servers = append(f.servers, srv)
		if err := srv.begin(def.Name, scenario.SlowStart{}); err != nil {
			f.Close()
			return nil, fmt.Errorf("server %s: %w", def.Name, err)
		}
	}
	var first []member
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

// Discovery is where the sidecar of a number finds discovery.
func (f *Fleet) Discovery(sidecar int) string { return f.discovery.addrs[sidecar] }

// Known is the list of servers now, in discovery's form, for a sidecar that starts with it. It counts as told.
func (f *Fleet) Known(sidecar int) []byte { return f.discovery.known(sidecar) }

// Addr is where a server listens.
func (f *Fleet) Addr(server int) string { return f.servers[server].addr }

func (f *Fleet) now() time.Duration { return time.Since(f.zero) }

// event is the begin or the end of a fault.
type event struct {
	at time.Duration
	do func() error
}

// Run plays the faults, at their times from now on, and returns when the last is over or ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	var events []event
	for _, fault := range f.s.Faults {
		if fault.Target == scenario.DiscoveryTarget {
			events = append(events, f.discovery.events(fault)...)
			continue
		}
		i := slices.IndexFunc(f.s.Servers, func(s scenario.Server) bool { return s.Name == fault.Target })
		events = append(events, f.servers[i].events(fault)...)
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	began := time.Now()
	for _, e := range events {
		t := time.NewTimer(e.at - time.Since(began))
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		}
		if err := e.do(); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all servers and discovery, and returns when nothing of them runs any more. It books the servers' lives.
func (f *Fleet) Close() {
	if f.discovery != nil {
		f.discovery.close()
	}
	for _, s := range f.servers {
		s.end()
	}
	f.goroutines.Wait()
}

// go runs a goroutine that Close waits for.
func (f *Fleet) spawn(run func()) {
	f.goroutines.Add(1)
	go func() {
		defer f.goroutines.Done()
		run()
	}()
}

// keyStore is what the groups of servers remember of keyed requests that ran.
type keyStore struct {
	mu    sync.Mutex
	known map[keyPlace]time.Time // when it first ran
}

// keyPlace is a key in the memory of a group: of a cell, a zone, or of all.
type keyPlace struct {
	class, key, group string
}

// seen reports whether a group still remembers a key, and remembers it from now on.
func (k *keyStore) seen(c *scenario.Class, s scenario.Server, key string) bool {
	place := keyPlace{class: c.Name, key: key}
	switch c.Group {
	case scenario.GroupCell:
		place.group = fmt.Sprint(s.Cell)
	case scenario.GroupZone:
		place.group = s.Zone
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if at, ok := k.known[place]; ok && now.Sub(at) < c.Window {
		return true
	}
	k.known[place] = now
	return false
}

// draw is a number in [0, 1) that follows from the seed and the words alone.
func (f *Fleet) draw(words ...string) float64 { return scenario.Draw(f.s.Seed, words...) }
