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

// stallTimeout is how long a server or a client may make no progress at all while a long message is streamed.
const stallTimeout = 10 * time.Second

// past is a deadline that ends a read or a write at once.
var past = time.Unix(1, 0)

// requestWriter writes a request whose body is streamed from the client. One goroutine runs it while another reads the response.
type requestWriter struct {
	conn *conn
	call *upstream.Call

	complete     bool  // the last byte was sent
	clientErr    error // why the body does not go on, if that is the client's doing
	serverErr    error // why the server reads no more
	hasLength    bool  // otherwise the body is sent in chunks
	responseRead atomic.Bool
}

// exchangeStreamed carries out a call whose body is streamed. The response is read at the same time: a server may send one before it has
// the body, and then the rest of the body is of no use. The results are those of exchange.
func (p *Pool) exchangeStreamed(c *conn, call *upstream.Call) (out upstream.Outcome, reusable, broke bool) {
	w := &requestWriter{conn: c, call: call, hasLength: call.Message.Remainder.Size >= 0}
	written, stop := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(written)
		if w.run(stop); w.complete {
			if call.OnRequestWritten != nil {
				call.OnRequestWritten()
			}
		} else if w.clientErr != nil { // the body will not be completed, and the server must not wait for it
			_ = c.Close()
		}
	}()
	in := newResponseReader(c)
	defer in.release()
	out, reusable = in.read(call.Message.Method, p.LoadReportFields, p.ResponseBudget, call.OnReplyStarted)
	close(stop)
	w.responseRead.Store(true) // a server that has responded need not read on
	_ = c.SetWriteDeadline(past)
	<-written
	reusable = reusable && w.complete && in.Buffered() == 0
	if w.complete || out.Result != upstream.Reset {
		return out, reusable, out.Result == upstream.Reset
	}
	// A server begins only with the last byte, which it never got.
	switch {
	case w.clientErr != nil:
		return upstream.Outcome{Result: upstream.NotSent, Err: fmt.Errorf("the client: %w", w.clientErr)}, false, false
	case c.used && !call.Message.Remainder.Consumed():
		return upstream.Outcome{Result: upstream.NotSent, Err: out.Err}, false, true
	}
	return upstream.Outcome{Result: upstream.ConnectFailed, Err: errors.Join(out.Err, w.serverErr)}, false, true
}

// run writes the request until its end, until the client's or the server's side fails, or until stop is closed.
func (w *requestWriter) run(stop <-chan struct{}) {
	m := &w.call.Message
	timeout := w.call.Wait
	if !w.call.Expires.IsZero() {
		timeout = time.Until(w.call.Expires)
	}
	if !w.write(encode(m, w.conn.addr, timeout)) {
		return
	}
	left := m.Remainder.Size - int64(len(m.Body)) // if it has a length
	for {
		text, err := m.Remainder.Next(stop)
		n := len(text)
		if n > 0 {
			if !w.hasLength {
				text = encodeChunk(text)
			}
			if !w.write(text) {
				return
			}
		}
		// With the last byte the server can begin, whether or not the client's end was read.
		if left -= int64(n); w.hasLength && left <= 0 {
			w.complete = true
			return
		}
		if err == io.EOF { //nolint:errorlint // a wrapped one is a body that was cut short
			break
		}
		if errors.Is(err, message.ErrStopped) { // the response was read, or the connection has ended
			return
		}
		if err != nil {
			w.clientErr = err
			return
		}
	}
	if w.hasLength { // it ended before its length
		w.clientErr = io.ErrUnexpectedEOF
		return
	}
	w.complete = w.write([]byte("0\r\n\r\n"))
}

// write writes a text and reports whether all of it was sent; if not, serverErr says why. An error after the last byte does not count: the
// server has the text.
func (w *requestWriter) write(text []byte) bool {
	_ = w.conn.SetWriteDeadline(time.Now().Add(stallTimeout))
	if w.responseRead.Load() { // checked after the deadline was set, since exchangeStreamed sets its own
		_ = w.conn.SetWriteDeadline(past)
	}
	n, err := w.conn.Write(text)
	if n < len(text) {
		w.serverErr = err
	}
	return n == len(text)
}

// encodeChunk returns the chunk of a chunked body with some bytes, of which there is at least one.
func encodeChunk(p []byte) []byte {
	text := fmt.Appendf(make([]byte, 0, len(p)+16), "%x\r\n", len(p))
	return append(append(text, p...), "\r\n"...)
}
