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

// The seams are seams: a request goes through a core whose front, source and servers' side are the fakes.
func TestARequestsLife(t *testing.T) {
	in(t, []string{"a"}, func(r *rig) {
		a := r.ask("t", unsafe)
		x := <-r.servers.sent
		if x.addr != "a" || time.Until(x.call.Expires) != time.Second-answerMargin {
			t.Errorf("sent to %s with %v left", x.addr, time.Until(x.call.Expires))
		}
		x.serve()
		r.is(a, front.Served, nil)
		r.empty(1)
		r.is(r.ask("t", unsafe), 0, front.ErrInUse) // until its time is up
		r.is(r.ask("u", 7), 0, front.ErrInvalid)
		time.Sleep(2 * time.Second)
		r.empty(0)
	})
}

// An answer that crosses a hang-up: whichever comes first, the server's end is taken in once, nothing more is sent,
// and nothing is left.
func TestAnAnswerCrossesAHangUp(t *testing.T) {
	in(t, []string{"a", "b"}, func(r *rig) {
		for _, trace := range []string{"hang-up first", "answer first", "at once"} {
			a := r.ask(trace, safe)
			x := <-r.servers.sent
			switch trace {
			case "hang-up first":
				a.hangUp()
				synctest.Wait()
				if x.ctx.Err() == nil {
					t.Error("the attempt was not given up")
				}
				x.serve()
			case "answer first":
				x.serve()
				synctest.Wait()
				a.hangUp()
			default: // both are on their way when the loop wakes
				r.post(func() { time.Sleep(time.Millisecond) })
				a.hangUp()
				x.serve()
			}
			<-a.done
			if a.err == nil && a.answer.Verdict != front.Served || a.err != nil && a.err != context.Canceled {
				t.Errorf("%s: %+v, %v", trace, a.answer, a.err)
			}
			time.Sleep(2 * time.Second)
			r.empty(0)
		}
		select {
		case x := <-r.servers.sent:
			t.Errorf("sent again to %s", x.addr)
		default:
		}
	})
}

// A list that removes the server of an attempt on its way: the attempt runs to its end and its answer counts, and the
// next request goes elsewhere.
func TestAListRemovesTheServerOfAnAttempt(t *testing.T) {
	in(t, []string{"a"}, func(r *rig) {
		a := r.ask("1", unsafe)
		x := <-r.servers.sent
		r.source.lists <- list(2, true, "b")
		synctest.Wait()
		if s := r.Stats(); len(s.Servers) != 1 || s.Servers[0] != "b" || s.Generation != 2 {
			t.Errorf("%+v", s)
		}
		x.serve()
		r.is(a, front.Served, nil)
		b := r.ask("2", unsafe)
		x = <-r.servers.sent
		if x.addr != "b" {
			t.Errorf("sent to %s", x.addr)
		}
		x.serve()
		r.is(b, front.Served, nil)
	})
}

// News of a removal between the decision to send and the exchange, and one that is given up in the same breath: the
// attempt is told as never sent.
func TestASendToAServerThatIsGone(t *testing.T) {
	in(t, []string{"a"}, func(r *rig) {
		r.forged.Store(true)
		a := r.ask("1", safe)
		x := <-r.servers.sent
		r.post(func() {
			for id, req := range r.requests {
				r.carryOut([]balance.Action{
					{Kind: balance.Send, Request: id, Server: 12345}, {Kind: balance.Cancel, Request: id, Attempt: 1},
				})
				if len(req.attempts) != 2 || len(r.later) != 2 {
					t.Errorf("%d attempts, %d outcomes", len(req.attempts), len(r.later))
				}
			}
		})
		x.serve()
		r.is(a, front.Served, nil)
		r.empty(1)
	})
}

// An outcome after the request's end: the answer comes at the deadline, at once for what will not be tried again; what
// a server says later is no second answer, and only then is the request forgotten.
func TestAnOutcomeAfterTheEnd(t *testing.T) {
	in(t, []string{"a"}, func(r *rig) {
		began := time.Now()
		a := r.ask("1", unsafe)
		x := <-r.servers.sent
		r.is(a, front.Failed, nil)
		if took := time.Since(began); took < time.Second-2*answerMargin || took > time.Second {
			t.Errorf("answered after %v", took)
		}
		if x.ctx.Err() == nil {
			t.Error("the attempt was not given up")
		}
		x.serve()
		time.Sleep(2 * time.Second)
		r.empty(0)
	})
}

// Where attempts can't be given up, a request whose client has gone stays in the table until the server has ended it, and
// its id with it.
func TestARequestStaysUntilItsLastAttemptEnds(t *testing.T) {
	in(t, []string{"a"}, func(r *rig) {
		a := r.ask("1", safe)
		x := <-r.servers.sent
		a.hangUp()
		<-a.done
		synctest.Wait()
		if s := r.Stats(); s.Requests != 1 || s.IDs != 1 {
			t.Errorf("%+v", s)
		}
		x.serve()
		r.empty(1)
	}, func(c *balance.Config) { c.Cancel = false })
}

// A copy that is turned down, and whose client goes away in the same moment, takes nothing from the request that has its
// id.
func TestACopyThatIsTurnedDownAndHangsUp(t *testing.T) {
	in(t, []string{"a"}, func(r *rig) {
		a := r.ask("1", unsafe)
		x := <-r.servers.sent
		hold := make(chan struct{})
		r.post(func() { <-hold })
		b := r.ask("1", unsafe)
		synctest.Wait()
		b.hangUp()
		<-b.done
		close(hold)
		time.Sleep(2 * batch)
		if s := r.Stats(); s.Requests != 1 || s.IDs != 1 {
			t.Errorf("%+v", s)
		}
		x.serve()
		r.is(a, front.Served, nil)
	})
}

// Where the time of an attempt ends before anything of it has left, it never ran, and the client may try again.
func TestAnAttemptThatNeverLeft(t *testing.T) {
	in(t, []string{"a"}, func(r *rig) {
		began := time.Now()
		r.servers.cutOff.Store(true)
		a := r.ask("1", unsafe)
		r.is(a, front.Refused, nil)
		if took := time.Since(began); took > time.Second {
			t.Errorf("answered after %v", took)
		}
	})
}

// A loop that ends in the middle: each front is told so at once, and what the servers' side brings later is dropped
// without anybody waiting for anybody.
func TestALoopThatEnds(t *testing.T) {
	in(t, []string{"a"}, func(r *rig) {
		a := r.ask("1", safe)
		x := <-r.servers.sent
		r.end()
		<-r.ended
		r.is(a, 0, front.ErrEnded)
		if x.ctx.Err() == nil {
			t.Error("the attempt was not given up")
		}
		x.serve()
		r.is(r.ask("2", safe), 0, front.ErrEnded)
		if s := r.Stats(); s.Requests != 0 {
			t.Errorf("%+v", s)
		}
	})
}

// An attempt that is known not to have run is followed by another at the next server, also for what must not run twice;
// one that may have run is not.
func TestWhatHasRunDecides(t *testing.T) {
	in(t, []string{"a", "b"}, func(r *rig) {
		a := r.ask("1", unsafe)
		x := <-r.servers.sent
		x.end <- upstream.Outcome{Result: upstream.Rejected}
		y := <-r.servers.sent
		if y.addr == x.addr {
			t.Error("sent to the same server again")
		}
		y.end <- upstream.Outcome{Result: upstream.Reset, Err: errors.New("reset")}
		r.is(a, front.Failed, nil)
		r.empty(1)
	})
}

// A keyed request goes out again only while the key of its first attempt is known.
func TestTheWindowOfAKey(t *testing.T) {
	in(t, []string{"a", "b"}, func(r *rig) {
		began := time.Now()
		a := r.ask("1", keyed)
		x := <-r.servers.sent
		if !x.call.SendBefore.IsZero() {
			t.Errorf("the first must begin by %v", x.call.SendBefore)
		}
		x.end <- upstream.Outcome{Result: upstream.Reset}
		y := <-r.servers.sent
		if d := y.call.SendBefore.Sub(began); d != 500*time.Millisecond {
			t.Errorf("the second must begin by %v", d)
		}
		y.serve()
		r.is(a, front.Served, nil)
	})
}

// A source that takes another's place is asked for its whole list, and the list held stays until it answers; one of the
// same name changes nothing.
func TestReplace(t *testing.T) {
	in(t, []string{"a"}, func(r *rig) {
		r.Replace(&fakeSource{lists: make(chan member.List)})
		next := &otherSource{fakeSource: fakeSource{lists: make(chan member.List)}}
		r.Replace(next)
		synctest.Wait()
		if s := r.Stats(); len(s.Servers) != 1 || s.Generation != 0 {
			t.Errorf("%+v", s)
		}
		next.lists <- list(7, true, "c")
		synctest.Wait()
		if s := r.Stats(); len(s.Servers) != 1 || s.Servers[0] != "c" || s.Generation != 7 {
			t.Errorf("%+v", s)
		}
		// What the old source tells as it is replaced counts no more.
		hold, last := make(chan struct{}), &otherSource{fakeSource: fakeSource{lists: make(chan member.List)}}
		last.name = "last"
		r.post(func() { <-hold })
		r.Replace(last)
		next.lists <- list(8, true, "d")
		close(hold)
		synctest.Wait()
		if s := r.Stats(); len(s.Servers) != 1 || s.Servers[0] != "c" || s.Generation != 0 {
			t.Errorf("%+v", s)
		}
		select {
		case r.source.lists <- list(8, true, "a"):
			t.Error("the old source is still asked")
		default:
		}
	})
}

type otherSource struct {
	fakeSource
	name string
}

func (s *otherSource) Name() string { return "other" + s.name }

// What is answered leaves no timer behind that wakes an idle sidecar: neither the end of its attempt's time nor the
// module's next look at it.
func TestAnsweredRequestsLeaveNoTimers(t *testing.T) {
	in(t, []string{"a"}, func(r *rig) {
		for i := range 20 {
			a := r.ask(string(rune('a'+i)), safe)
			(<-r.servers.sent).serve()
			r.is(a, front.Served, nil)
		}
		r.empty(20) // ids are kept until their time is up
		r.post(func() {
			for _, timer := range r.timers {
				t.Errorf("it would wake in %v for %+v", time.Until(timer.due), timer)
			}
		})
	})
}

// The time-out of an attempt comes before the module's own timer of the same moment, and is told as one.
func TestATimeOutComesBeforeTheModulesTimer(t *testing.T) {
	in(t, nil, func(r *rig) {
		r.post(func() {
			at := &attempt{}
			r.carryOut([]balance.Action{{Kind: balance.SetTimer, Token: 7, After: 100}})
			r.timers.set(&timer{due: time.Now().Add(100 * time.Millisecond), attempt: at})
			if r.timers[0].attempt != at {
				t.Error("the module's timer comes first")
			}
			r.timers = nil
		})
	})
}

// A source says when servers started in Unix time, so the module's clock must be Unix time too; and it must not jump
// with the wall clock.
func TestClock(t *testing.T) {
	c := newClock()
	if d := c.now() - float64(time.Now().UnixMicro())/1000; d < -1000 || d > 1000 {
		t.Errorf("%v ms off Unix time", d)
	}
	at := c.start.Add(1500 * time.Millisecond)
	if d := c.at(at) - c.at(c.start); d != 1500 {
		t.Errorf("1500 ms are %v", d)
	}
	if d := c.time(c.at(at)).Sub(at); d < -time.Microsecond || d > time.Microsecond {
		t.Errorf("there and back: %v off", d)
	}
}

// The module's order of servers must be the same at every sidecar and after every restart.
func TestServerIDsAreStable(t *testing.T) {
	if id := stableHash("s-5be2a07c"); id != 0xace623f1fdc27c8a {
		t.Errorf("%#x", id)
	}
}

// Where lists are pushed, an agent beside the sidecar holds what it has been sent, and that counts as told: the agent is
// watched though the module did not ask for it, and is asked again so soon after a watch has ended that drains are kept.
func TestAPushedListIsWatched(t *testing.T) {
	in(t, []string{"a"}, func(r *rig) {
		for generation := uint64(2); generation < 12; generation++ { // the tenth end is followed as soon as the first
			began := time.Now()
			r.source.ends <- errors.New("gone away")
			r.source.lists <- list(generation, true, "b")
			synctest.Wait()
			if s := r.Stats(); len(s.Servers) != 1 || s.Servers[0] != "b" || s.Generation != generation {
				t.Fatalf("%+v", s)
			}
			if took := time.Since(began); took == 0 || took > 100*time.Millisecond {
				t.Errorf("heard %v after the watch had ended", took)
			}
		}
		a := r.ask("1", unsafe)
		x := <-r.servers.sent
		if x.addr != "b" {
			t.Errorf("sent to %s", x.addr)
		}
		x.serve()
		r.is(a, front.Served, nil)
	}, func(c *balance.Config) { c.Subscribe = false })
}

// The memory that a reply is counted in is given back once: by the front that writes it, or by the core where nobody does,
// for its client went away before it came, or as it came.
func TestRepliesGiveTheirMemoryBack(t *testing.T) {
	in(t, []string{"a"}, func(r *rig) {
		for _, when := range []string{"written", "before", "as it comes"} {
			var released atomic.Int32
			a := r.ask(when, safe)
			x := <-r.servers.sent
			reply := upstream.Outcome{Result: upstream.Served, Reply: message.Reply{Release: func() { released.Add(1) }}}
			switch when {
			case "written":
				x.end <- reply
				<-a.done
				a.answer.Reply.Done()
			case "before":
				a.hangUp()
				synctest.Wait()
				x.end <- reply
			default: // both are on their way when the loop wakes
				r.post(func() { time.Sleep(time.Millisecond) })
				x.end <- reply
				a.hangUp()
			}
			<-a.done
			synctest.Wait()
			time.Sleep(time.Second)
			if a.err == nil && when != "written" {
				a.answer.Reply.Done()
			}
			if released.Load() != 1 {
				t.Errorf("%s: given back %d times", when, released.Load())
			}
		}
	})
}
