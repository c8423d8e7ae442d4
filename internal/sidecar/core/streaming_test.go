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

// streamedRequest passes to the core a request whose body is still arriving.
func (core *testCore) streamedRequest(trace string, class int) *pendingRequest {
	return core.requestWith(trace, class, message.Request{Remainder: message.NewUpload(10)})
}

// trackedBody is the remainder of a reply, and counts how often it was closed.
type trackedBody struct {
	io.Reader
	closed int
}

func (r *trackedBody) Close() error { r.closed++; return nil }

// The time limit of a streamed request starts with its last byte, however long the body takes to arrive.
func TestTimeLimitOfStreamedRequest(t *testing.T) {
	withCore(t, []string{"a", "b"}, func(core *testCore) {
		pending := core.streamedRequest("long", int(balance.Keyed))
		x := <-core.servers.sent
		if !x.call.Expires.IsZero() || x.call.Wait != time.Second {
			t.Errorf("expires %v, wait %v", x.call.Expires, x.call.Wait)
		}
		time.Sleep(time.Minute) // of virtual time
		synctest.Wait()
		select {
		case <-pending.done:
			t.Fatal("answered while its body was arriving")
		default:
		}
		x.call.OnRequestWritten()
		began := time.Now()
		<-pending.done
		if took := time.Since(began); took < 950*time.Millisecond || took > time.Second {
			t.Errorf("answered %v after the last byte", took)
		}
		if pending.answer.Verdict != front.Failed { // it may have been executed
			t.Errorf("verdict %v", pending.answer.Verdict)
		}
		<-x.ctx.Done()
		x.outcome <- upstream.Outcome{Result: upstream.Cancelled}
		core.expectNoRequests(1)
	})
}

// A request whose body an exchange has started to read cannot be retried, however that exchange ended: it is refused if it was
// certainly not executed, and has failed if it may have been. A request whose body was not read is retried at another server.
func TestRetryOfStreamedRequest(t *testing.T) {
	for result, want := range map[upstream.Result]front.Verdict{upstream.ConnectFailed: front.Refused, upstream.Reset: front.Failed} {
		withCore(t, []string{"a", "b", "c"}, func(core *testCore) {
			pending := core.streamedRequest("long", unsafe)
			first := <-core.servers.sent
			first.outcome <- upstream.Outcome{Result: upstream.ConnectFailed}
			second := <-core.servers.sent
			if second.addr == first.addr {
				t.Error("the same server again")
			}
			go second.call.Message.Remainder.Pump(strings.NewReader("half"))
			second.call.Message.Remainder.Next(nil)
			defer second.call.Message.Remainder.Close()
			second.outcome <- upstream.Outcome{Result: result}
			core.expect(pending, want, nil)
		})
	}
}

// Once a reply has started, the client is being answered: the module gets one outcome, and there is neither a retry nor a
// deadline. The exchange continues until the remainder has ended; answering the request does not cancel it.
func TestStreamedReplyIsNotCancelled(t *testing.T) {
	withCore(t, []string{"a", "b"}, func(core *testCore) {
		pending := core.request("t", int(balance.Safe))
		x := <-core.servers.sent
		body := &trackedBody{Reader: strings.NewReader("more")}
		x.call.OnReplyStarted(upstream.Outcome{Result: upstream.Served, Reply: message.Reply{Remainder: body, Size: 4}})
		core.expect(pending, front.Served, nil)
		if pending.answer.Reply.Remainder != body {
			t.Error("the reply has another remainder")
		}
		time.Sleep(time.Minute) // past its deadline
		synctest.Wait()
		if x.ctx.Err() != nil || body.closed != 0 {
			t.Errorf("cancelled: %v, closed %d times", x.ctx.Err(), body.closed)
		}
		if s := core.Stats(); s.Requests != 0 {
			t.Errorf("%d requests", s.Requests)
		}
		x.outcome <- upstream.Outcome{Result: upstream.Reset, Err: errors.New("broken off")}
		<-x.ctx.Done()
		core.expectNoRequests(0)
	})
}

// A reply that starts after the client has disconnected is closed, so that its exchange ends.
func TestReplyStartsAfterDisconnect(t *testing.T) {
	withCore(t, []string{"a"}, func(core *testCore) {
		pending := core.request("t", int(balance.Safe))
		x := <-core.servers.sent
		pending.disconnect()
		<-x.ctx.Done()
		body := &trackedBody{Reader: strings.NewReader("more")}
		x.call.OnReplyStarted(upstream.Outcome{Result: upstream.Served, Reply: message.Reply{Remainder: body}})
		synctest.Wait()
		if body.closed != 1 {
			t.Errorf("closed %d times", body.closed)
		}
		x.outcome <- upstream.Outcome{Result: upstream.Served}
		core.expectNoRequests(1)
	})
}
