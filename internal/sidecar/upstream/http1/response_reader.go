package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"petrelhook/internal/sidecar/membudget"
	"petrelhook/internal/sidecar/message"
	"petrelhook/internal/sidecar/upstream"
)

// neverRanHeader is the header field by which a server states that it did not execute a request.
const neverRanHeader = "X-Never-Ran"

// responseReader reads the bytes that a server sends on a connection up to a limit, whatever length the server announces. Bytes
// beyond the limit stay unread, and the connection is closed.
type responseReader struct {
	*bufio.Reader
	limit  *io.LimitedReader
	source timedConn
	gone   func() bool // see Pool.serverGone
}

// timedConn is a connection with a read deadline. The first time that a read exceeds the deadline while onDeadline is set, it calls
// onDeadline and continues. With deadlinePerRead, each read gets a new deadline of stallTimeout and fails when it is exceeded.
type timedConn struct {
	net.Conn
	onDeadline      func() // called once, from Read; if nil, a deadline is an error
	deadlinePerRead bool
}

// Read reads from the connection. After it has called onDeadline it continues, so that its caller does not get a deadline error.
func (c *timedConn) Read(p []byte) (int, error) {
	if c.deadlinePerRead {
		_ = c.SetReadDeadline(time.Now().Add(stallTimeout)) // fails only if the connection is closed, and then so does Read
	}
	n, err := c.Conn.Read(p)
	if c.onDeadline != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		onDeadline := c.onDeadline
		c.onDeadline = nil
		onDeadline()
		if n > 0 {
			return n, nil
		}
		return c.Read(p)
	}
	return n, err
}

var readerPool = sync.Pool{New: func() any {
	r := &responseReader{}
	r.limit = &io.LimitedReader{R: &r.source}
	r.Reader = bufio.NewReaderSize(r.limit, 4<<10)
	return r
}}

// newResponseReader returns a reader of a connection from the pool. The caller calls release when it is done.
func (p *Pool) newResponseReader(c *conn) *responseReader {
	r := readerPool.Get().(*responseReader)
	r.source, r.limit.N = timedConn{Conn: c}, 0
	r.gone = func() bool { return p.serverGone(c) }
	r.Reset(r.limit)
	return r
}

// release returns the reader to the pool. The reader must not be used afterwards.
func (r *responseReader) release() {
	r.source, r.gone = timedConn{}, nil
	readerPool.Put(r)
}

// read reads one response, after any 1xx responses, and returns whether the connection can be used again. The result is Served
// only for a complete 200 response, and Rejected only if the server states that it did not execute the request. A malformed
// response proves that the server is alive, so the result is Failed; Reset means that the connection failed or ended. If onStarted
// is not nil, it is called when a long 200 response has started to arrive, and the returned outcome tells how the response ended.
func (r *responseReader) read(
	method string, reportFields []string, budget *membudget.Budget, onStarted func(upstream.Outcome),
) (out upstream.Outcome, reusable bool) {
	resp, err := r.readHead(method) //nolint:bodyclose // Close would read the body to its end; the connection is closed instead
	if err != nil {
		return r.readError(err), false
	}
	if resp.ContentLength > message.MaxBody {
		return upstream.Outcome{Result: upstream.Failed, Err: errTooLong}, false
	}
	out = upstream.Outcome{Result: upstream.Failed, LoadReport: parseReport(resp.Header.Get(loadReportHeader), reportFields)}
	if resp.StatusCode != http.StatusOK {
		onStarted = nil // the response is not passed on, and need not be read to its end
	}
	body := &response{
		reader: r, budget: budget, bufferLimit: message.MaxBuffered, onStarted: onStarted, outcome: out,
		header: resp.Header, size: resp.ContentLength,
	}
	if err := body.readBody(resp); err != nil {
		body.abandon(err)
		if errors.Is(err, errTooLong) || errors.Is(err, errNotBuffered) {
			return upstream.Outcome{Result: upstream.Failed, Err: err}, false
		}
		return r.readError(err), false
	}
	// A body without a length ends with the connection, which cannot be used again.
	endsWithConnection := resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	reusable = !endsWithConnection && !resp.Close
	if endsWithConnection && resp.StatusCode == http.StatusOK && r.gone() {
		body.abandon(errServerGone)
		return upstream.Outcome{Result: upstream.Reset, Err: errServerGone}, false
	}
	if resp.StatusCode == http.StatusOK {
		return body.complete(), reusable
	}
	if neverRan(resp) {
		out.Result = upstream.Rejected
	}
	out.Err = &StatusError{resp.Status}
	body.abandon(nil)
	return out, reusable
}

// errServerGone is the error of a body without length whose server did not end it: the kernel has closed the connection of a process that was
// killed.
var errServerGone = errors.New("the server was gone at the end of a response without length")

// StatusError is the error of a request that a server answered with another status than 200 OK.
type StatusError struct{ Status string } // for example "503 Service Unavailable"

func (e *StatusError) Error() string { return e.Status }

// readHead reads the head of a response, after any 1xx responses.
func (r *responseReader) readHead(method string) (*http.Response, error) {
	r.limit.N = message.MaxHead // for all heads together
	resp, err := http.ReadResponse(r.Reader, &http.Request{Method: method})
	for err == nil && resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols {
		resp, err = http.ReadResponse(r.Reader, &http.Request{Method: method})
	}
	return resp, err
}

// neverRan reports whether the server states that it did not execute the request.
func neverRan(resp *http.Response) bool {
	return (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get(neverRanHeader) == "1"
}

// readError returns the outcome of a response that could not be read: Reset if the connection ended, otherwise Failed.
func (r *responseReader) readError(err error) upstream.Outcome {
	var netErr net.Error
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	if errors.As(err, &netErr) || ended && r.limit.N > 0 {
		return upstream.Outcome{Result: upstream.Reset, Err: err}
	}
	return upstream.Outcome{Result: upstream.Failed, Err: err}
}
