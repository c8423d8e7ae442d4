package core

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/upstream"
)

// What waits for its connection when the client goes does not begin any more, and is over at once, also where the settings let
// no attempt be cancelled.
func TestNothingBeginsOnceTheClientHasGone(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		in(t, []string{"a"}, func(r *rig) {
			r.servers.cutOff.Store(true)
			a := r.ask("t", unsafe)
			synctest.Wait()
			began := time.Now()
			a.hangUp()
			r.is(a, 0, context.Canceled)
			synctest.Wait()
			if s := r.Stats(); s.Requests != 0 || time.Since(began) != 0 {
				t.Errorf("cancel %v: %d requests are held", cancel, s.Requests)
			}
			time.Sleep(2 * time.Second)
			r.empty(0)
		}, func(c *balance.Config) { c.Cancel = cancel })
	}
}

// A hang-up that waits behind the loop's other work: what the loop decides before it sees the hang-up is not sent.
func TestAHangUpBehindALongQueue(t *testing.T) {
	in(t, []string{"a", "b"}, func(r *rig) {
		a := r.ask("t", unsafe)
		x := <-r.servers.sent
		before, behind := make(chan struct{}), make(chan struct{})
		r.post(func() { <-before })
		x.end <- upstream.Outcome{Result: upstream.Rejected} // which has another try
		synctest.Wait()
		r.post(func() { <-behind })
		a.hangUp()
		synctest.Wait()
		close(before) // the other try is decided now, and the hang-up is not seen yet
		synctest.Wait()
		select {
		case x := <-r.servers.sent:
			t.Errorf("sent to %s for a client that has gone", x.addr)
			go x.serve()
		default:
		}
		close(behind)
		synctest.Wait()
		r.is(a, 0, context.Canceled)
		r.empty(1) // until its time is up
	})
}

// The client's end is seen by whoever is about to send, before its front tells: the front hears of it, and nothing is left.
func TestAnEndThatIsSeenFirstByTheSender(t *testing.T) {
	in(t, []string{"a"}, func(r *rig) {
		gone := func() bool { return true }
		_, err := r.Answer(r.t.Context(), front.Request{TraceID: "t", Class: safe, Tenant: -1, Arrived: time.Now(), Wait: time.Second, ClientGone: gone})
		if err != front.ErrClientGone {
			t.Errorf("%v", err)
		}
		time.Sleep(2 * time.Second)
		r.empty(0)
	})
}
