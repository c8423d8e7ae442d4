package http1

import (
	"context"
	"testing"
	"time"

	"petrelhook/internal/peertest"
	"petrelhook/internal/upstream"
	"petrelhook/internal/upstream/reuse"
)

// After a few connections of an age have broken under their requests, those of that age are not used any more; younger ones
// still are.
func TestConnectionsThatWentStale(t *testing.T) {
	p := peertest.NewPeer(t, peertest.Says(peertest.OKAnswer))
	u := testPool(9)
	e := u.at(p.Addr)
	for range 100 { // as the idle ones of a pool come to be: their age is set, not waited for
		u.mu.Lock()
		u.ages.Ended(time.Now(), reuse.Fresh, false)
		u.ages.Ended(time.Now(), 10*time.Millisecond, false)
		u.mu.Unlock()
	}
	age := func(by time.Duration) {
		u.mu.Lock()
		defer u.mu.Unlock()
		for _, c := range e.idle {
			c.last = c.last.Add(-by)
		}
	}
	broke := 0
	for range 20 {
		e.Send(context.Background(), look())
		age(20 * time.Second)
		u.mu.Lock()
		u.ages.Ended(time.Now(), 20*time.Second, true) // what other endpoints saw of such ages
		most := u.ages.Most(time.Now())
		u.mu.Unlock()
		if most < 20*time.Second {
			break
		}
		broke++
	}
	if broke > 10 {
		t.Errorf("after %d breaks there is no bound", broke)
	}
	before := p.Conns.Load()
	if r := e.Send(context.Background(), look()); r.Result != upstream.Served || p.Conns.Load() != before+1 {
		t.Errorf("%v (%v), %d new connections", r.Result, r.Err, p.Conns.Load()-before)
	}
	if r := e.Send(context.Background(), look()); r.Result != upstream.Served || p.Conns.Load() != before+1 {
		t.Errorf("a young one: %v (%v), %d new connections", r.Result, r.Err, p.Conns.Load()-before)
	}
}
