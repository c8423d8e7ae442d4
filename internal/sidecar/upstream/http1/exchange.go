package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"petrelhook/internal/sidecar/message"
	"petrelhook/internal/sidecar/upstream"
	"petrelhook/internal/sidecar/upstream/reuse"
)

var (
	errTooLate      = errors.New("too late to send the request")
	errBodyConsumed = errors.New("an earlier exchange has read part of the request body")
)

// send carries out a call; see upstream.Endpoint.
func (p *Pool) send(ctx context.Context, e *endpoint, call *upstream.Call) upstream.Outcome {
	bodyBegun, err := p.admitBody(ctx, &call.Message)
	if err != nil {
		if ctx.Err() != nil {
			return upstream.Outcome{Result: upstream.Cancelled, Err: ctx.Err()}
		}
		return upstream.Outcome{Result: upstream.NotSent, Err: bodyError(err)}
	}
	defer bodyBegun()
	c, err := p.connect(ctx, e)
	if errors.Is(err, errConnectionLimit) {
		return upstream.Outcome{Result: upstream.NotSent, Err: err}
	}
	if err != nil {
		return upstream.Outcome{Result: upstream.ConnectFailed, Err: err}
	}
	now, err := e.claimCall(call)
	if err != nil {
		p.putIdle(c)
		return upstream.Outcome{Result: upstream.NotSent, Err: err}
	}
	stopClosing := context.AfterFunc(ctx, func() { _ = c.Close() }) // ends blocked reads and writes
	idleFor := reuse.Fresh
	if c.used {
		idleFor = now.Sub(c.idleSince)
	}
	out, reusable, broke := p.exchange(c, call, now, bodyBegun)
	if ctx.Err() == nil {
		p.mu.Lock()
		p.idleEstimator.Record(now, idleFor, broke)
		p.mu.Unlock()
	}
	if stopClosing() && reusable {
		p.putIdle(c)
	} else {
		p.closeConn(c)
	}
	if out.Result != upstream.Served && ctx.Err() != nil {
		return upstream.Outcome{Result: upstream.Cancelled, Err: ctx.Err()}
	}
	return out
}

// admitBody admits a call whose streamed body has not begun. Its server may reject it by the head alone, so that another server gets the body.
// But only half of the connections are for such calls: one beyond that waits until its body begins. bodyBegun must be called once it has, or
// when the call has ended; more calls do nothing.
func (p *Pool) admitBody(ctx context.Context, m *message.Request) (bodyBegun func(), err error) {
	if m.Remainder == nil || m.Remainder.Begun() || len(m.Body) > 0 {
		return func() {}, nil
	}
	p.mu.Lock()
	admitted := p.callsBeforeBody < p.MaxConnections/2
	if admitted {
		p.callsBeforeBody++
	}
	p.mu.Unlock()
	if !admitted {
		return func() {}, m.Remainder.Await(ctx.Done())
	}
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.callsBeforeBody--
	}), nil
}

// bodyError returns the error of a call whose client has not sent the complete body.
func bodyError(err error) error { return fmt.Errorf("request body from the client: %w", err) }

// claimCall claims a call whose connection is open, and returns the time at which it is sent. Opening a connection may take long;
// meanwhile the client may have gone, the server's drain grace period may have ended, or the time limit of the request or of its
// idempotency key may have passed. An error means that nothing is sent, so nothing is executed.
func (e *endpoint) claimCall(call *upstream.Call) (now time.Time, err error) {
	if call.ClientGone != nil && call.ClientGone() {
		return now, upstream.ErrClientGone
	}
	now = time.Now()
	if e.graceOver(now) || !call.SendBefore.IsZero() && !now.Before(call.SendBefore) ||
		!call.Expires.IsZero() && !now.Before(call.Expires) || !call.Claim() {
		return now, errTooLate
	}
	return now, nil
}

// exchange writes the request and reads the response. It calls bodyBegun when a streamed body begins. It returns whether the connection can be
// used again, and whether it broke.
func (p *Pool) exchange(c *conn, call *upstream.Call, now time.Time, bodyBegun func()) (out upstream.Outcome, reusable, broke bool) {
	if call.Message.Remainder != nil {
		if call.Message.Remainder.Consumed() { // the rest of the body alone would be another request
			return upstream.Outcome{Result: upstream.NotSent, Err: errBodyConsumed}, true, false
		}
		return p.exchangeStreamed(c, call, bodyBegun)
	}
	_ = c.SetWriteDeadline(call.Expires) // fails only if the connection is closed, like Write then; reading ends with ctx
	text := encode(&call.Message, c.addr, call.Expires.Sub(now))
	if n, err := c.Write(text); err != nil {
		switch {
		case n == len(text):
			return upstream.Outcome{Result: upstream.Reset, Err: err}, false, true
		case c.used: // the server has just closed the idle connection, which does not mean that it cannot be reached
			return upstream.Outcome{Result: upstream.NotSent, Err: err}, false, true
		default: // a server executes a request only after its last byte has arrived
			return upstream.Outcome{Result: upstream.ConnectFailed, Err: err}, false, true
		}
	}
	// The reader starts empty, because connect has checked that nothing had arrived before the request was sent.
	in := p.newResponseReader(c)
	defer in.release()
	out, reusable = in.read(call.Message.Method, p.LoadReportFields, p.ResponseBudget, call.OnReplyStarted)
	return out, reusable && in.Buffered() == 0, out.Result == upstream.Reset
}

// encode returns a request in the form of HTTP/1.1. If its body is streamed, the result ends with the part of the body in m.Body.
// timeout is the time limit that the server is given.
func encode(m *message.Request, host string, timeout time.Duration) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Expires-In: %du\r\n", m.Method, m.Target, host, timeout.Microseconds())
	for _, h := range m.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	switch {
	case m.Remainder != nil && m.Remainder.Size < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if len(m.Body) > 0 {
			b.Write(encodeChunk(m.Body))
		}
		return b.Bytes()
	case m.Remainder != nil:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", m.Remainder.Size)
	case len(m.Body) > 0 || m.Method != http.MethodGet:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(m.Body))
	}
	b.WriteString("\r\n")
	b.Write(m.Body)
	return b.Bytes()
}
