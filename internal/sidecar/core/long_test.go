package core

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/message"
	"petrelhook/internal/sidecar/upstream"
)

// askLong hands in a request whose body is still coming.
func (r *rig) askLong(trace string, class int) *asked {
	return r.askWith(trace, class, message.Request{Remainder: message.NewUpload(10)})
}

// rest is the rest of a reply; closing it is noted.
type rest struct {
	io.Reader
	closed int
}

func (r *rest) Close() error { r.closed++; return nil }

// A request's time begins with its last byte, however long that takes to come.
func TestTheTimeOfALongRequest(t *testing.T) {
	in(t, []string{"a", "b"}, func(r *rig) {
		a := r.askLong("long", int(balance.Keyed))
		x := <-r.servers.sent
		if !x.call.Expires.IsZero() || x.call.Wait != time.Second {
			t.Errorf("expires %v, wait %v", x.call.Expires, x.call.Wait)
		}
		time.Sleep(time.Minute) // of virtual time
		synctest.Wait()
		select {
		case <-a.done:
			t.Fatal("answered while its body comes")
		default:
		}
		x.call.OnRequestWritten()
		began := time.Now()
		<-a.done
		if took := time.Since(began); took < 950*time.Millisecond || took > time.Second {
			t.Errorf("answered %v after the last byte", took)
		}
		if a.answer.Verdict != front.Failed { // it may have run
			t.Errorf("verdict %v", a.answer.Verdict)
		}
		<-x.ctx.Done()
		x.end <- upstream.Outcome{Result: upstream.Cancelled}
		r.empty(1)
	})
}

// What was taken of a body by one exchange is no longer there for another, whatever came of the first: the request is answered,
// refused where nothing ran and failed where it may have. What was not taken goes to another server.
func TestALongRequestThatBreaksOff(t *testing.T) {
	for result, want := range map[upstream.Result]front.Verdict{upstream.ConnectFailed: front.Refused, upstream.Reset: front.Failed} {
		in(t, []string{"a", "b", "c"}, func(r *rig) {
			a := r.askLong("long", unsafe)
			first := <-r.servers.sent
			first.end <- upstream.Outcome{Result: upstream.ConnectFailed}
			second := <-r.servers.sent
			if second.addr == first.addr {
				t.Error("the same server again")
			}
			go second.call.Message.Remainder.Pump(strings.NewReader("half"))
			second.call.Message.Remainder.Next(nil)
			defer second.call.Message.Remainder.Close()
			second.end <- upstream.Outcome{Result: result}
			r.is(a, want, nil)
		})
	}
}

// An answer that has begun is the client's: one outcome for the module, no other try, no deadline; the exchange goes on
// until its rest has ended, and is not given up by the answer.
func TestAnAnswerThatHasBegun(t *testing.T) {
	in(t, []string{"a", "b"}, func(r *rig) {
		a := r.ask("t", int(balance.Safe))
		x := <-r.servers.sent
		body := &rest{Reader: strings.NewReader("more")}
		x.call.OnReplyStarted(upstream.Outcome{Result: upstream.Served, Reply: message.Reply{Remainder: body, Size: 4}})
		r.is(a, front.Served, nil)
		if a.answer.Reply.Remainder != body {
			t.Error("the reply has another rest")
		}
		time.Sleep(time.Minute) // past its deadline
		synctest.Wait()
		if x.ctx.Err() != nil || body.closed != 0 {
			t.Errorf("given up: %v, closed %d times", x.ctx.Err(), body.closed)
		}
		if s := r.Stats(); s.Requests != 0 {
			t.Errorf("%d requests", s.Requests)
		}
		x.end <- upstream.Outcome{Result: upstream.Reset, Err: errors.New("broken off")}
		<-x.ctx.Done()
		r.empty(0)
	})
}

// An answer that begins when nobody waits for it any more is dropped, so that its exchange ends.
func TestABeginningThatComesTooLate(t *testing.T) {
	in(t, []string{"a"}, func(r *rig) {
		a := r.ask("t", int(balance.Safe))
		x := <-r.servers.sent
		a.hangUp()
		<-x.ctx.Done()
		body := &rest{Reader: strings.NewReader("more")}
		x.call.OnReplyStarted(upstream.Outcome{Result: upstream.Served, Reply: message.Reply{Remainder: body}})
		synctest.Wait()
		if body.closed != 1 {
			t.Errorf("closed %d times", body.closed)
		}
		x.end <- upstream.Outcome{Result: upstream.Served}
		r.empty(1)
	})
}
