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

// A request goes through a core whose front, source and servers' side are fakes: it is answered, and its id is reserved until its deadline.
func TestRequestLifecycle(t *testing.T) {
	withCore(t, []string{"a"}, func(r *testCore) {
		a := r.request("t", unsafe)
		x := <-r.servers.sent
		if x.addr != "a" || time.Until(x.call.Expires) != time.Second-answerMargin {
			t.Errorf("sent to %s with %v left", x.addr, time.Until(x.call.Expires))
		}
		x.serve()
		r.expect(a, front.Served, nil)
		r.expectNoRequests(1)
		r.expect(r.request("t", unsafe), 0, front.ErrInUse) // until the deadline
		r.expect(r.request("u", 7), 0, front.ErrInvalid)
		time.Sleep(2 * time.Second)
		r.expectNoRequests(0)
	})
}

// A reply arrives while the client disconnects: whichever comes first, the attempt ends once, nothing more is sent, and no state is
// left.
func TestAReplyCrossesADisconnect(t *testing.T) {
	withCore(t, []string{"a", "b"}, func(r *testCore) {
		for _, trace := range []string{"hang-up first", "answer first", "at once"} {
			a := r.request(trace, safe)
			x := <-r.servers.sent
			switch trace {
			case "hang-up first":
				a.disconnect()
				synctest.Wait()
				if x.ctx.Err() == nil {
					t.Error("the attempt was not cancelled")
				}
				x.serve()
			case "answer first":
				x.serve()
				synctest.Wait()
				a.disconnect()
			default: // both are queued when the loop wakes
				r.post(func() { time.Sleep(time.Millisecond) })
				a.disconnect()
				x.serve()
			}
			<-a.done
			if a.err == nil && a.answer.Verdict != front.Served || a.err != nil && a.err != context.Canceled { //nolint:errorlint // the sentinel itself, not wrapped
				t.Errorf("%s: %+v, %v", trace, a.answer, a.err)
			}
			time.Sleep(2 * time.Second)
			r.expectNoRequests(0)
		}
		select {
		case x := <-r.servers.sent:
			t.Errorf("sent again to %s", x.addr)
		default:
		}
	})
}

// A list removes the server of an attempt in flight: the attempt goes on to its end and its reply counts, and the next request goes to
// another server.
func TestAListRemovesTheServerOfAnAttempt(t *testing.T) {
	withCore(t, []string{"a"}, func(r *testCore) {
		a := r.request("1", unsafe)
		x := <-r.servers.sent
		r.source.lists <- completeList(2, "b")
		synctest.Wait()
		if s := r.Stats(); len(s.Servers) != 1 || s.Servers[0] != "b" || s.Generation != 2 {
			t.Errorf("%+v", s)
		}
		x.serve()
		r.expect(a, front.Served, nil)
		b := r.request("2", unsafe)
		x = <-r.servers.sent
		if x.addr != "b" {
			t.Errorf("sent to %s", x.addr)
		}
		x.serve()
		r.expect(b, front.Served, nil)
	})
}

// A server is removed between the decision to send and the exchange, and another attempt is cancelled by the same actions: the attempts
// are reported to the module as not sent.
func TestASendToAServerThatIsGone(t *testing.T) {
	withCore(t, []string{"a"}, func(r *testCore) {
		r.allowWarnings.Store(true)
		a := r.request("1", safe)
		x := <-r.servers.sent
		r.post(func() {
			for id, req := range r.requests {
				r.carryOut([]balance.Action{
					{Kind: balance.Send, Request: id, Server: 12345}, {Kind: balance.Cancel, Request: id, Attempt: 1},
				})
				if len(req.attempts) != 2 || len(r.deferred) != 2 {
					t.Errorf("%d attempts, %d outcomes", len(req.attempts), len(r.deferred))
				}
			}
		})
		x.serve()
		r.expect(a, front.Served, nil)
		r.expectNoRequests(1)
	})
}

// An attempt ends after its request: the answer is given at the deadline, and what the server replies later is no second answer. Only
// then is the request removed.
func TestAnOutcomeAfterTheEnd(t *testing.T) {
	withCore(t, []string{"a"}, func(r *testCore) {
		began := time.Now()
		a := r.request("1", unsafe)
		x := <-r.servers.sent
		r.expect(a, front.Failed, nil)
		if took := time.Since(began); took < time.Second-2*answerMargin || took > time.Second {
			t.Errorf("answered after %v", took)
		}
		if x.ctx.Err() == nil {
			t.Error("the attempt was not cancelled")
		}
		x.serve()
		time.Sleep(2 * time.Second)
		r.expectNoRequests(0)
	})
}

// If attempts cannot be cancelled, a request whose client has gone stays in the table until the server has ended it, and so does its id.
func TestARequestStaysUntilItsLastAttemptEnds(t *testing.T) {
	withCore(t, []string{"a"}, func(r *testCore) {
		a := r.request("1", safe)
		x := <-r.servers.sent
		a.disconnect()
		<-a.done
		synctest.Wait()
		if s := r.Stats(); s.Requests != 1 || s.IDs != 1 {
			t.Errorf("%+v", s)
		}
		x.serve()
		r.expectNoRequests(1)
	}, func(c *balance.Config) { c.Cancel = false })
}

// A copy that is rejected, and whose client disconnects at the same time, does not release the id of the request that has it.
func TestARejectedCopyThatDisconnects(t *testing.T) {
	withCore(t, []string{"a"}, func(r *testCore) {
		a := r.request("1", unsafe)
		x := <-r.servers.sent
		blocked := make(chan struct{})
		r.post(func() { <-blocked })
		b := r.request("1", unsafe)
		synctest.Wait()
		b.disconnect()
		<-b.done
		close(blocked)
		time.Sleep(2 * batchInterval)
		if s := r.Stats(); s.Requests != 1 || s.IDs != 1 {
			t.Errorf("%+v", s)
		}
		x.serve()
		r.expect(a, front.Served, nil)
	})
}

// If an attempt times out before anything of it was sent it was never executed, and the client may retry.
func TestAnAttemptThatNeverLeft(t *testing.T) {
	withCore(t, []string{"a"}, func(r *testCore) {
		began := time.Now()
		r.servers.unreachable.Store(true)
		a := r.request("1", unsafe)
		r.expect(a, front.Refused, nil)
		if took := time.Since(began); took > time.Second {
			t.Errorf("answered after %v", took)
		}
	})
}

// The loop ends while requests are open: each front gets an error at once, and what the servers' side reports later is dropped without
// blocking.
func TestALoopThatEnds(t *testing.T) {
	withCore(t, []string{"a"}, func(r *testCore) {
		a := r.request("1", safe)
		x := <-r.servers.sent
		r.stop()
		<-r.stopped
		r.expect(a, 0, front.ErrEnded)
		if x.ctx.Err() == nil {
			t.Error("the attempt was not cancelled")
		}
		x.serve()
		r.expect(r.request("2", safe), 0, front.ErrEnded)
		if s := r.Stats(); s.Requests != 0 {
			t.Errorf("%+v", s)
		}
	})
}

// An attempt that was certainly not executed is followed by another at the next server, also for an unsafe request; one that may have
// been executed is not.
func TestWhatHasRunDecides(t *testing.T) {
	withCore(t, []string{"a", "b"}, func(r *testCore) {
		a := r.request("1", unsafe)
		x := <-r.servers.sent
		x.outcome <- upstream.Outcome{Result: upstream.Rejected}
		y := <-r.servers.sent
		if y.addr == x.addr {
			t.Error("sent to the same server again")
		}
		y.outcome <- upstream.Outcome{Result: upstream.Reset, Err: errors.New("reset")}
		r.expect(a, front.Failed, nil)
		r.expectNoRequests(1)
	})
}

// A keyed request is sent again only while servers remember the key of its first attempt.
func TestTheWindowOfAKey(t *testing.T) {
	withCore(t, []string{"a", "b"}, func(r *testCore) {
		began := time.Now()
		a := r.request("1", keyed)
		x := <-r.servers.sent
		if !x.call.SendBefore.IsZero() {
			t.Errorf("the first must begin by %v", x.call.SendBefore)
		}
		x.outcome <- upstream.Outcome{Result: upstream.Reset}
		y := <-r.servers.sent
		if d := y.call.SendBefore.Sub(began); d != 500*time.Millisecond {
			t.Errorf("the second must begin by %v", d)
		}
		y.serve()
		r.expect(a, front.Served, nil)
	})
}

// A source that replaces another is asked for its complete list, and the current list stays until that arrives; one of the same name
// changes nothing.
func TestReplace(t *testing.T) {
	withCore(t, []string{"a"}, func(r *testCore) {
		r.Replace(&fakeSource{lists: make(chan member.List)})
		next := &otherSource{fakeSource: fakeSource{lists: make(chan member.List)}}
		r.Replace(next)
		synctest.Wait()
		if s := r.Stats(); len(s.Servers) != 1 || s.Generation != 0 {
			t.Errorf("%+v", s)
		}
		next.lists <- completeList(7, "c")
		synctest.Wait()
		if s := r.Stats(); len(s.Servers) != 1 || s.Servers[0] != "c" || s.Generation != 7 {
			t.Errorf("%+v", s)
		}
		// What the old source delivers while it is replaced is ignored.
		blocked, last := make(chan struct{}), &otherSource{fakeSource: fakeSource{lists: make(chan member.List)}}
		last.name = "last"
		r.post(func() { <-blocked })
		r.Replace(last)
		next.lists <- completeList(8, "d")
		close(blocked)
		synctest.Wait()
		if s := r.Stats(); len(s.Servers) != 1 || s.Servers[0] != "c" || s.Generation != 0 {
			t.Errorf("%+v", s)
		}
		select {
		case r.source.lists <- completeList(8, "a"):
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

// An answered request leaves no timer that would wake an idle sidecar: neither its attempt's time-out nor a timer of the module.
func TestAnsweredRequestsLeaveNoTimers(t *testing.T) {
	withCore(t, []string{"a"}, func(r *testCore) {
		for i := range 20 {
			a := r.request(string(rune('a'+i)), safe)
			(<-r.servers.sent).serve()
			r.expect(a, front.Served, nil)
		}
		r.expectNoRequests(20) // ids are reserved until their deadline
		r.post(func() {
			for _, timer := range r.timers {
				t.Errorf("it would wake in %v for %+v", time.Until(timer.deadline), timer)
			}
		})
	})
}

// The time-out of an attempt comes before the module's own timer of the same moment.
func TestATimeOutComesBeforeTheModulesTimer(t *testing.T) {
	withCore(t, nil, func(r *testCore) {
		r.post(func() {
			timedOut := &attempt{}
			r.carryOut([]balance.Action{{Kind: balance.SetTimer, Token: 7, After: 100}})
			r.timers.add(&timer{deadline: time.Now().Add(100 * time.Millisecond), attempt: timedOut})
			if r.timers[0].attempt != timedOut {
				t.Error("the module's timer comes first")
			}
			r.timers = nil
		})
	})
}

// Sources give the start times of servers as Unix time, so the module's clock must be Unix time too; and it must not jump with the
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
		t.Errorf("there and back: %v off", d)
	}
}

// The module's order of servers must be the same at every sidecar and after every restart.
func TestServerIDsAreStable(t *testing.T) {
	if id := stableHash("s-5be2a07c"); id != 0xace623f1fdc27c8a {
		t.Errorf("%#x", id)
	}
}

// Where lists are pushed, an agent beside the sidecar has the current list, and the sidecar counts as informed: the agent is watched
// although the module does not ask for it, and again so soon after a watch has ended that the drain grace is kept.
func TestAPushedListIsWatched(t *testing.T) {
	withCore(t, []string{"a"}, func(r *testCore) {
		for generation := uint64(2); generation < 12; generation++ { // after the tenth end the watch is opened as soon as after the first
			began := time.Now()
			r.source.watchErrors <- errors.New("gone away")
			r.source.lists <- completeList(generation, "b")
			synctest.Wait()
			if s := r.Stats(); len(s.Servers) != 1 || s.Servers[0] != "b" || s.Generation != generation {
				t.Fatalf("%+v", s)
			}
			if took := time.Since(began); took == 0 || took > 100*time.Millisecond {
				t.Errorf("the list came %v after the watch had ended", took)
			}
		}
		a := r.request("1", unsafe)
		x := <-r.servers.sent
		if x.addr != "b" {
			t.Errorf("sent to %s", x.addr)
		}
		x.serve()
		r.expect(a, front.Served, nil)
	}, func(c *balance.Config) { c.Subscribe = false })
}

// The memory that a reply is counted in is released once: by the front that writes the reply, or by the core if the client had gone
// before it arrived, or goes as it arrives.
func TestRepliesGiveTheirMemoryBack(t *testing.T) {
	withCore(t, []string{"a"}, func(r *testCore) {
		for _, when := range []string{"written", "before", "as it comes"} {
			var released atomic.Int32
			a := r.request(when, safe)
			x := <-r.servers.sent
			reply := upstream.Outcome{Result: upstream.Served, Reply: message.Reply{Release: func() { released.Add(1) }}}
			switch when {
			case "written":
				x.outcome <- reply
				<-a.done
				a.answer.Reply.Done()
			case "before":
				a.disconnect()
				synctest.Wait()
				x.outcome <- reply
			default: // both are queued when the loop wakes
				r.post(func() { time.Sleep(time.Millisecond) })
				x.outcome <- reply
				a.disconnect()
			}
			<-a.done
			synctest.Wait()
			time.Sleep(time.Second)
			if a.err == nil && when != "written" {
				a.answer.Reply.Done()
			}
			if released.Load() != 1 {
				t.Errorf("%s: released %d times", when, released.Load())
			}
		}
	})
}
