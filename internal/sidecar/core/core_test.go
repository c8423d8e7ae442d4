package core

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/member"
	"petrelhook/internal/sidecar/message"
	"petrelhook/internal/sidecar/upstream"
)

const (
	safe = iota
	keyed
	unsafe
)

// A request that is served is answered and leaves the table, and its id is reserved until its deadline.
func TestRequestLifecycle(t *testing.T) {
	withCore(t, []string{"a"}, func(core *testCore) {
		pending := core.request("t", unsafe)
		x := <-core.servers.sent
		if x.addr != "a" || time.Until(x.call.Expires) != time.Second-answerMargin {
			t.Errorf("sent to %s with %v left", x.addr, time.Until(x.call.Expires))
		}
		x.serve()
		core.expect(pending, front.Served, nil)
		core.expectNoRequests(1)
		core.expect(core.request("t", unsafe), 0, front.ErrInUse) // until the deadline
		core.expect(core.request("u", 7), 0, front.ErrInvalid)
		time.Sleep(2 * time.Second)
		core.expectNoRequests(0)
	})
}

// A reply arrives while the client disconnects. Whichever comes first, the attempt ends once, nothing more is sent, and no state
// is left.
func TestReplyDuringDisconnect(t *testing.T) {
	withCore(t, []string{"a", "b"}, func(core *testCore) {
		for _, trace := range []string{"disconnect first", "reply first", "at once"} {
			pending := core.request(trace, safe)
			x := <-core.servers.sent
			switch trace {
			case "disconnect first":
				pending.disconnect()
				synctest.Wait()
				if x.ctx.Err() == nil {
					t.Error("the attempt was not cancelled")
				}
				x.serve()
			case "reply first":
				x.serve()
				synctest.Wait()
				pending.disconnect()
			default: // both are queued when the loop wakes
				core.post(func() { time.Sleep(time.Millisecond) })
				pending.disconnect()
				x.serve()
			}
			<-pending.done
			if pending.err == nil && pending.answer.Verdict != front.Served || pending.err != nil && pending.err != context.Canceled { //nolint:errorlint // the sentinel itself, not wrapped
				t.Errorf("%s: %+v, %v", trace, pending.answer, pending.err)
			}
			time.Sleep(2 * time.Second)
			core.expectNoRequests(0)
		}
		select {
		case x := <-core.servers.sent:
			t.Errorf("sent again to %s", x.addr)
		default:
		}
	})
}

// A list removes the server of an attempt in flight. The attempt continues and its reply is delivered; the next request goes to
// another server.
func TestListRemovesServerOfAttempt(t *testing.T) {
	withCore(t, []string{"a"}, func(core *testCore) {
		pending := core.request("1", unsafe)
		x := <-core.servers.sent
		core.source.lists <- completeList(2, "b")
		synctest.Wait()
		if s := core.Stats(); len(s.Servers) != 1 || s.Servers[0] != "b" || s.Generation != 2 {
			t.Errorf("%+v", s)
		}
		x.serve()
		core.expect(pending, front.Served, nil)
		second := core.request("2", unsafe)
		x = <-core.servers.sent
		if x.addr != "b" {
			t.Errorf("sent to %s", x.addr)
		}
		x.serve()
		core.expect(second, front.Served, nil)
	})
}

// The server of an attempt is removed between the decision to send and the exchange, and the same actions cancel the attempt. The
// outcome, not sent, is deferred until all actions are carried out; it neither ends the request nor changes the answer of the
// other attempt.
func TestSendToRemovedServer(t *testing.T) {
	withCore(t, []string{"a"}, func(core *testCore) {
		core.allowWarnings.Store(true)
		pending := core.request("1", safe)
		x := <-core.servers.sent
		core.post(func() {
			for id, req := range core.requests {
				core.carryOut([]balance.Action{
					{Kind: balance.Send, Request: id, Server: 12345}, {Kind: balance.Cancel, Request: id, Attempt: 1},
				})
				if len(req.attempts) != 2 || len(core.deferred) != 2 {
					t.Errorf("%d attempts, %d outcomes", len(req.attempts), len(core.deferred))
				}
			}
		})
		x.serve()
		core.expect(pending, front.Served, nil)
		core.expectNoRequests(1)
	})
}

// An attempt ends after its request: the answer is given at the deadline, and a later reply of the server is not a second answer.
// The request is removed when the attempt has ended.
func TestOutcomeAfterDeadline(t *testing.T) {
	withCore(t, []string{"a"}, func(core *testCore) {
		began := time.Now()
		pending := core.request("1", unsafe)
		x := <-core.servers.sent
		core.expect(pending, front.Failed, nil)
		if took := time.Since(began); took < time.Second-2*answerMargin || took > time.Second {
			t.Errorf("answered after %v", took)
		}
		if x.ctx.Err() == nil {
			t.Error("the attempt was not cancelled")
		}
		x.serve()
		time.Sleep(2 * time.Second)
		core.expectNoRequests(0)
	})
}

// If the settings do not allow attempts to be cancelled, a request whose client has gone stays in the table, with its id, until
// the server has replied.
func TestRequestStaysUntilItsLastAttemptEnds(t *testing.T) {
	withCore(t, []string{"a"}, func(core *testCore) {
		pending := core.request("1", safe)
		x := <-core.servers.sent
		pending.disconnect()
		<-pending.done
		synctest.Wait()
		if s := core.Stats(); s.Requests != 1 || s.IDs != 1 {
			t.Errorf("%+v", s)
		}
		x.serve()
		core.expectNoRequests(1)
	}, func(c *balance.Config) { c.Cancel = false })
}

// A second request with the id of an open one is rejected while its client disconnects. This does not release the id of the open
// request.
func TestRejectedCopyDisconnects(t *testing.T) {
	withCore(t, []string{"a"}, func(core *testCore) {
		pending := core.request("1", unsafe)
		x := <-core.servers.sent
		blocked := make(chan struct{})
		core.post(func() { <-blocked })
		second := core.request("1", unsafe)
		synctest.Wait()
		second.disconnect()
		<-second.done
		close(blocked)
		time.Sleep(2 * batchInterval)
		if s := core.Stats(); s.Requests != 1 || s.IDs != 1 {
			t.Errorf("%+v", s)
		}
		x.serve()
		core.expect(pending, front.Served, nil)
	})
}

// An attempt that times out before anything of it was sent was not executed, so the request is refused and the client may retry.
func TestTimeoutBeforeConnection(t *testing.T) {
	withCore(t, []string{"a"}, func(core *testCore) {
		began := time.Now()
		core.servers.unreachable.Store(true)
		pending := core.request("1", unsafe)
		core.expect(pending, front.Refused, nil)
		if took := time.Since(began); took > time.Second {
			t.Errorf("answered after %v", took)
		}
	})
}

// The loop ends while requests are open. Each front gets an error at once, and outcomes that endpoints report later are dropped
// without blocking them.
func TestLoopEndsWithOpenRequests(t *testing.T) {
	withCore(t, []string{"a"}, func(core *testCore) {
		pending := core.request("1", safe)
		x := <-core.servers.sent
		core.stop()
		<-core.stopped
		core.expect(pending, 0, front.ErrCoreEnded)
		if x.ctx.Err() == nil {
			t.Error("the attempt was not cancelled")
		}
		x.serve()
		core.expect(core.request("2", safe), 0, front.ErrCoreEnded)
		if s := core.Stats(); s.Requests != 0 {
			t.Errorf("%+v", s)
		}
	})
}

// An attempt that was certainly not executed is retried at another server, also for an unsafe request. One that may have been
// executed is not.
func TestRetryOnlyIfNotExecuted(t *testing.T) {
	withCore(t, []string{"a", "b"}, func(core *testCore) {
		pending := core.request("1", unsafe)
		x := <-core.servers.sent
		x.outcome <- upstream.Outcome{Result: upstream.Rejected}
		y := <-core.servers.sent
		if y.addr == x.addr {
			t.Error("sent to the same server again")
		}
		y.outcome <- upstream.Outcome{Result: upstream.Reset, Err: errors.New("reset")}
		core.expect(pending, front.Failed, nil)
		core.expectNoRequests(1)
	})
}

// A keyed request is sent again only while servers remember the key of its first attempt.
func TestKeyedRetryWindow(t *testing.T) {
	withCore(t, []string{"a", "b"}, func(core *testCore) {
		began := time.Now()
		pending := core.request("1", keyed)
		x := <-core.servers.sent
		if !x.call.SendBefore.IsZero() {
			t.Errorf("the first attempt must be sent before %v, want no limit", x.call.SendBefore)
		}
		x.outcome <- upstream.Outcome{Result: upstream.Reset}
		y := <-core.servers.sent
		if d := y.call.SendBefore.Sub(began); d != 500*time.Millisecond {
			t.Errorf("the second attempt must be sent within %v", d)
		}
		y.serve()
		core.expect(pending, front.Served, nil)
	})
}

// A source that replaces another is asked for its complete list, and the current list stays until that arrives. A source with the
// same name changes nothing.
func TestReplace(t *testing.T) {
	withCore(t, []string{"a"}, func(core *testCore) {
		core.ReplaceSource(&fakeSource{lists: make(chan member.List)})
		next := &otherSource{fakeSource: fakeSource{lists: make(chan member.List)}}
		core.ReplaceSource(next)
		synctest.Wait()
		if s := core.Stats(); len(s.Servers) != 1 || s.Generation != 0 {
			t.Errorf("%+v", s)
		}
		next.lists <- completeList(7, "c")
		synctest.Wait()
		if s := core.Stats(); len(s.Servers) != 1 || s.Servers[0] != "c" || s.Generation != 7 {
			t.Errorf("%+v", s)
		}
		// A list that the old source delivers while it is being replaced is ignored.
		blocked, last := make(chan struct{}), &otherSource{fakeSource: fakeSource{lists: make(chan member.List)}}
		last.name = "last"
		core.post(func() { <-blocked })
		core.ReplaceSource(last)
		next.lists <- completeList(8, "d")
		close(blocked)
		synctest.Wait()
		if s := core.Stats(); len(s.Servers) != 1 || s.Servers[0] != "c" || s.Generation != 0 {
			t.Errorf("%+v", s)
		}
		select {
		case core.source.lists <- completeList(8, "a"):
			t.Error("the old source is still watched")
		default:
		}
	})
}

type otherSource struct {
	fakeSource
	name string
}

func (s *otherSource) Name() string { return "other" + s.name }

// An answered request leaves no timer that would wake an idle sidecar: neither the timeout of its attempt nor a timer of the
// module.
func TestAnsweredRequestsLeaveNoTimers(t *testing.T) {
	withCore(t, []string{"a"}, func(core *testCore) {
		for i := range 20 {
			pending := core.request(string(rune('a'+i)), safe)
			(<-core.servers.sent).serve()
			core.expect(pending, front.Served, nil)
		}
		core.expectNoRequests(20) // ids are reserved until their deadline
		core.post(func() {
			for _, timer := range core.timers {
				t.Errorf("the loop would wake in %v for %+v", time.Until(timer.deadline), timer)
			}
		})
	})
}

// The timeout of an attempt fires before a timer of the module that expires at the same moment.
func TestAttemptTimeoutBeforeModuleTimer(t *testing.T) {
	withCore(t, nil, func(core *testCore) {
		core.post(func() {
			timedOut := &attempt{}
			core.carryOut([]balance.Action{{Kind: balance.SetTimer, Token: 7, After: 100}})
			core.timers.add(&timer{deadline: time.Now().Add(100 * time.Millisecond), attempt: timedOut})
			if core.timers[0].attempt != timedOut {
				t.Error("the module's timer fires first")
			}
			core.timers = nil
		})
	})
}

// Sources give the start times of servers as Unix time, so the module's time must be Unix time too. It must not jump with the
// wall clock.
func TestClock(t *testing.T) {
	c := newClock()
	if d := c.nowMillis() - float64(time.Now().UnixMicro())/1000; d < -1000 || d > 1000 {
		t.Errorf("%v ms off Unix time", d)
	}
	at := c.start.Add(1500 * time.Millisecond)
	if d := c.millisAt(at) - c.millisAt(c.start); d != 1500 {
		t.Errorf("1500 ms are %v", d)
	}
	if d := c.timeAt(c.millisAt(at)).Sub(at); d < -time.Microsecond || d > time.Microsecond {
		t.Errorf("converted back: %v off", d)
	}
}

// The module orders servers by id, and their order must be the same in every sidecar and after every restart.
func TestServerIDsAreStable(t *testing.T) {
	if id := stableHash("s-5be2a07c"); id != 0xace623f1fdc27c8a {
		t.Errorf("%#x", id)
	}
}

// In push mode an agent on the sidecar's machine has the current list, and the sidecar is assumed to have it too. It must watch
// the agent although the module does not ask for the first watch, and open a new watch so soon after one has ended that drains
// are noticed within the drain grace.
func TestPushedListIsWatched(t *testing.T) {
	withCore(t, []string{"a"}, func(core *testCore) {
		for generation := uint64(2); generation < 12; generation++ { // the tenth watch is reopened as soon as the first
			began := time.Now()
			core.source.watchErrors <- errors.New("gone away")
			core.source.lists <- completeList(generation, "b")
			synctest.Wait()
			if s := core.Stats(); len(s.Servers) != 1 || s.Servers[0] != "b" || s.Generation != generation {
				t.Fatalf("%+v", s)
			}
			if took := time.Since(began); took == 0 || took > 100*time.Millisecond {
				t.Errorf("the list arrived %v after the watch had ended", took)
			}
		}
		pending := core.request("1", unsafe)
		x := <-core.servers.sent
		if x.addr != "b" {
			t.Errorf("sent to %s", x.addr)
		}
		x.serve()
		core.expect(pending, front.Served, nil)
	}, func(c *balance.Config) { c.Subscribe = false })
}

// The memory that is reserved for a reply is released once: by the front that writes the reply, or by the core if the client
// disconnects before or while the reply arrives.
func TestReplyMemoryIsReleasedOnce(t *testing.T) {
	withCore(t, []string{"a"}, func(core *testCore) {
		for _, when := range []string{"written", "disconnect before", "while it arrives"} {
			var released atomic.Int32
			pending := core.request(when, safe)
			x := <-core.servers.sent
			reply := upstream.Outcome{Result: upstream.Served, Reply: message.Reply{Release: func() { released.Add(1) }}}
			switch when {
			case "written":
				x.outcome <- reply
				<-pending.done
				pending.answer.Reply.Done()
			case "disconnect before":
				pending.disconnect()
				synctest.Wait()
				x.outcome <- reply
			default: // both are queued when the loop wakes
				core.post(func() { time.Sleep(time.Millisecond) })
				x.outcome <- reply
				pending.disconnect()
			}
			<-pending.done
			synctest.Wait()
			time.Sleep(time.Second)
			if pending.err == nil && when != "written" {
				pending.answer.Reply.Done()
			}
			if released.Load() != 1 {
				t.Errorf("%s: released %d times", when, released.Load())
			}
		}
	})
}
