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

// stallTimeout is how long a streamed message may make no progress, because of the server or the client, before it fails.
const stallTimeout = 10 * time.Second

// expiredDeadline is a deadline that ends a read or a write at once.
var expiredDeadline = time.Unix(1, 0)

// requestWriter writes a request whose body is streamed from the client. One goroutine calls run while another reads the
// response; that one reads complete, clientErr and serverErr only after run has returned.
type requestWriter struct {
	conn      *conn
	call      *upstream.Call
	bodyBegun func() // see Pool.admitBody

	complete     bool  // the last byte was sent
	clientErr    error // why the client's part of the body ended early
	serverErr    error // why writing to the server failed
	hasLength    bool  // otherwise the body is sent in chunks
	responseRead atomic.Bool
}

// exchangeStreamed carries out a call whose body is streamed. It reads the response at the same time, because a server may
// respond before it has the complete body; the rest of the body is not sent then. The results are those of exchange.
func (p *Pool) exchangeStreamed(c *conn, call *upstream.Call, bodyBegun func()) (out upstream.Outcome, reusable, broke bool) {
	w := &requestWriter{conn: c, call: call, bodyBegun: bodyBegun, hasLength: call.Message.Remainder.Size >= 0}
	written, stop := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(written)
		if w.run(stop); w.complete {
			if call.OnRequestWritten != nil {
				call.OnRequestWritten()
			}
		} else if w.clientErr != nil { // the body stays incomplete, and the server must not wait for the rest
			_ = c.Close()
		}
	}()
	in := p.newResponseReader(c)
	defer in.release()
	out, reusable = in.read(call.Message.Method, p.LoadReportFields, p.ResponseBudget, call.OnReplyStarted)
	close(stop)
	w.responseRead.Store(true) // a server that has responded need not read on
	_ = c.SetWriteDeadline(expiredDeadline)
	<-written
	reusable = reusable && w.complete && in.Buffered() == 0
	if w.complete || out.Result != upstream.Reset {
		return out, reusable, out.Result == upstream.Reset
	}
	// A server executes a request only after its last byte has arrived, which was not sent.
	switch {
	case w.clientErr != nil:
		return upstream.Outcome{Result: upstream.NotSent, Err: bodyError(w.clientErr)}, false, false
	case c.used && !call.Message.Remainder.Consumed():
		return upstream.Outcome{Result: upstream.NotSent, Err: out.Err}, false, true
	}
	return upstream.Outcome{Result: upstream.ConnectFailed, Err: errors.Join(out.Err, w.serverErr)}, false, true
}

// run writes the request until its end, until reading from the client or writing to the server fails, or until stop is closed.
func (w *requestWriter) run(stop <-chan struct{}) {
	m := &w.call.Message
	timeout := w.call.Wait
	if !w.call.Expires.IsZero() {
		timeout = time.Until(w.call.Expires)
	}
	if !w.write(encode(m, w.conn.addr, timeout)) {
		return
	}
	left := m.Remainder.Size - int64(len(m.Body)) // valid only if hasLength
	for {
		text, err := m.Remainder.Next(stop)
		n := len(text)
		if n > 0 {
			w.bodyBegun()
			if !w.hasLength {
				text = encodeChunk(text)
			}
			if !w.write(text) {
				return
			}
		}
		// The server can execute the request once it has the last byte, whether or not the end of the client's body was read.
		if left -= int64(n); w.hasLength && left <= 0 {
			w.complete = true
			return
		}
		if err == io.EOF { //nolint:errorlint // a wrapped one is a body that was cut short
			break
		}
		if errors.Is(err, message.ErrStopped) { // the response was read, or reading it failed
			return
		}
		if err != nil {
			w.clientErr = err
			return
		}
	}
	if w.hasLength { // the body ended before its announced length
		w.clientErr = io.ErrUnexpectedEOF
		return
	}
	w.complete = w.write([]byte("0\r\n\r\n"))
}

// write writes a text and reports whether all of it was sent; if not, serverErr says why. An error after the last byte is
// ignored, because all of the text was sent.
func (w *requestWriter) write(text []byte) bool {
	_ = w.conn.SetWriteDeadline(time.Now().Add(stallTimeout))
	if w.responseRead.Load() { // checked after the deadline was set, because exchangeStreamed may have set its own in between
		_ = w.conn.SetWriteDeadline(expiredDeadline)
	}
	n, err := w.conn.Write(text)
	if n < len(text) {
		w.serverErr = err
	}
	return n == len(text)
}

// encodeChunk returns p as one chunk of a chunked body. p must not be empty, because an empty chunk ends the body.
func encodeChunk(p []byte) []byte {
	text := fmt.Appendf(make([]byte, 0, len(p)+16), "%x\r\n", len(p))
	return append(append(text, p...), "\r\n"...)
}
