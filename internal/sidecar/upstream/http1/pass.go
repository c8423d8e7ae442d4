package http1

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"petrelhook/internal/sidecar/message"
	"petrelhook/internal/sidecar/upstream"
)

// passing is a request whose body is passed on as it comes from the client.
type passing struct {
	cn   *conn
	call *upstream.Call

	whole     bool  // the last byte has left
	client    error // why the body does not go on, where that is not our doing
	server    error // why the server takes no more
	unchunked bool
	over      atomic.Bool // nothing more is to be written
}

// pass carries out a call whose body is passed on as it comes. The answer is read at the same time: a server may give one
// before it has the body, and then the rest of that is of no use.
func (u *Pool) pass(cn *conn, c *upstream.Call) (r upstream.Outcome, keep, broke bool) {
	p := &passing{cn: cn, call: c, unchunked: c.Message.Remainder.Size >= 0}
	ended, stop := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		if p.run(stop); p.whole {
			if c.OnRequestWritten != nil {
				c.OnRequestWritten()
			}
		} else if p.client != nil { // nothing more comes of it, and the server must not wait for it
			cn.Close()
		}
	}()
	in := newAnswers(cn)
	defer in.free()
	r, keep = in.read(c.Message.Method, u.LoadReportFields, u.ResponseBudget, c.OnReplyStarted)
	close(stop)
	p.over.Store(true) // a server that has answered need not read on
	cn.SetWriteDeadline(time.Unix(1, 0))
	<-ended
	keep = keep && p.whole && in.Buffered() == 0
	if p.whole || r.Result != upstream.Reset {
		return r, keep, r.Result == upstream.Reset
	}
	// A server begins with the last byte, which it never had.
	switch {
	case p.client != nil:
		return upstream.Outcome{Result: upstream.NotSent, Err: fmt.Errorf("the client: %w", p.client)}, false, false
	case cn.used && !c.Message.Remainder.Consumed():
		return upstream.Outcome{Result: upstream.NotSent, Err: r.Err}, false, true
	}
	return upstream.Outcome{Result: upstream.ConnectFailed, Err: errors.Join(r.Err, p.server)}, false, true
}

// run writes the request to its end, or to that of the client or the server.
func (p *passing) run(stop <-chan struct{}) {
	c := p.call
	wait := c.Wait
	if !c.Expires.IsZero() {
		wait = time.Until(c.Expires)
	}
	if !p.write(encode(&c.Message, p.cn.addr, wait)) {
		return
	}
	left := c.Message.Remainder.Size - int64(len(c.Message.Body)) // where there is a size
	for {
		text, err := c.Message.Remainder.Next(stop)
		n := len(text)
		if n > 0 {
			if !p.unchunked {
				text = chunk(text)
			}
			if !p.write(text) {
				return
			}
		}
		// With the last byte the server can begin, whether or not the client's end has been seen.
		if left -= int64(n); p.unchunked && left <= 0 {
			p.whole = true
			return
		}
		if err == io.EOF {
			break
		}
		if err == message.ErrStopped { // the server has answered, or its connection has ended
			return
		}
		if err != nil {
			p.client = err
			return
		}
	}
	if p.unchunked { // it ended before its length
		p.client = io.ErrUnexpectedEOF
		return
	}
	p.whole = p.write([]byte("0\r\n\r\n"))
}

// write writes a text whole, or says why not in p.server. What has left whole has left, whatever came of it.
func (p *passing) write(text []byte) bool {
	p.cn.SetWriteDeadline(time.Now().Add(stall))
	if p.over.Load() { // only now: whoever sets it sets a deadline of its own
		p.cn.SetWriteDeadline(time.Unix(1, 0))
	}
	n, err := p.cn.Write(text)
	if n < len(text) {
		p.server = err
	}
	return n == len(text)
}

// chunk frames some bytes, of which there is at least one.
func chunk(p []byte) []byte {
	text := fmt.Appendf(make([]byte, 0, len(p)+16), "%x\r\n", len(p))
	return append(append(text, p...), "\r\n"...)
}
