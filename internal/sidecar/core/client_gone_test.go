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

// An attempt that waits for its connection when the client disconnects is not sent, and the request leaves the table at once,
// even if the settings do not allow attempts to be cancelled.
func TestNothingBeginsOnceTheClientHasGone(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		withCore(t, []string{"a"}, func(core *testCore) {
			core.servers.unreachable.Store(true)
			pending := core.request("t", unsafe)
			synctest.Wait()
			began := time.Now()
			pending.disconnect()
			core.expect(pending, 0, context.Canceled)
			synctest.Wait()
			if s := core.Stats(); s.Requests != 0 || time.Since(began) != 0 {
				t.Errorf("cancel %v: %d requests in the table", cancel, s.Requests)
			}
			time.Sleep(2 * time.Second)
			core.expectNoRequests(0)
		}, func(c *balance.Config) { c.Cancel = cancel })
	}
}

// The event that the client has disconnected waits behind others in the queue. An attempt that is decided before the loop handles
// that event is not sent.
func TestADisconnectBehindALongQueue(t *testing.T) {
	withCore(t, []string{"a", "b"}, func(core *testCore) {
		pending := core.request("t", unsafe)
		x := <-core.servers.sent
		before, behind := make(chan struct{}), make(chan struct{})
		core.post(func() { <-before })
		x.outcome <- upstream.Outcome{Result: upstream.Rejected} // the module retries
		synctest.Wait()
		core.post(func() { <-behind })
		pending.disconnect()
		synctest.Wait()
		close(before) // the retry is decided now, before the disconnect is handled
		synctest.Wait()
		select {
		case x := <-core.servers.sent:
			t.Errorf("sent to %s for a client that has gone", x.addr)
			go x.serve()
		default:
		}
		close(behind)
		synctest.Wait()
		core.expect(pending, 0, context.Canceled)
		core.expectNoRequests(1) // until the deadline
	})
}

// The goroutine that is about to send an attempt notices first that the client has gone. The front gets ErrClientGone, and no
// state is left.
func TestAnEndThatIsSeenFirstByTheSender(t *testing.T) {
	withCore(t, []string{"a"}, func(core *testCore) {
		gone := func() bool { return true }
		_, err := core.Answer(core.t.Context(), front.Request{TraceID: "t", Class: safe, Tenant: -1, Arrived: time.Now(), Wait: time.Second, ClientGone: gone})
		if err != front.ErrClientGone { //nolint:errorlint // the sentinel itself, not wrapped
			t.Errorf("%v", err)
		}
		time.Sleep(2 * time.Second)
		core.expectNoRequests(0)
	})
}
