package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Request is a request to a server. Do does not modify it, so that it may be passed to Do again.
type Request struct {
	ID     string // X-Request-Id
	Method string
	Target string // path and query, as the client sent them
	Host   string
	Header http.Header
	Body   []byte
}

// Response is the head of a server's response, and a reader of its body. Only the goroutine that called Do may use it, and must
// close it.
type Response struct {
	Status   int
	Header   http.Header
	DialTime time.Duration // time taken to open the connection; 0 for a reused one
	// EndsWithConnection says that the body has no length: its end is that of the connection.
	EndsWithConnection bool
	body               io.ReadCloser

	pool *Pool
	conn *conn // nil: the response is closed
	// serverGone ends the connection and reports whether the server has gone without an announcement.
	serverGone func() bool
	detach     func() bool // ends the connection's dependence on the context; false: the context has ended already
	reusable   bool        // whether the connection may be reused once the body has been read completely
	end        error       // of the body, once it has been reached: io.EOF if it is complete
}

const maxStaleResponses = 2 // responses to earlier requests that are skipped before an exchange fails

// largeRequestBytes is the size from which the response is read concurrently with writing the request, because a server may
// respond before it has read a large request completely.
const largeRequestBytes = 16 << 10

// pastDeadline is a deadline that makes all reads and writes of a connection fail at once.
var pastDeadline = time.Unix(1, 0)

// Do sends a request and reads the head of the response. Until the response is closed, the exchange depends on the context: when
// the context ends, reads and writes fail and the connection is not reused. Every error is ErrNoConnection, ErrNotSent or
// ErrBroken. An error that is both ErrNotSent and ErrBroken means that the request was not sent.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	start := time.Now()
	c, err := p.get(ctx)
	if err != nil {
		return nil, err
	}
	dialTime := time.Since(start)
	if c.exchanges > 0 {
		dialTime = 0
	}
	// SetDeadline fails only for a connection that is closed already.
	detach := context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastDeadline) })
	fail := func(err error) error {
		detach()
		p.discard(c)
		return errors.Mark(err, ErrBroken)
	}
	if ctx.Err() != nil {
		return nil, errors.Mark(fail(ctx.Err()), ErrNotSent)
	}
	response, written, err := exchange(c, r)
	if err != nil {
		if c.exchanges > 0 && ctx.Err() == nil && !errors.IsAny(err, errOtherResponse, ErrNotSent) {
			p.shortenMaxIdle(c)
		}
		return nil, fail(err)
	}
	response.DialTime, response.pool, response.conn, response.detach = dialTime, p, c, detach
	response.serverGone = func() bool { return p.serverGone(c) }
	response.reusable = response.reusable && written
	return response, nil
}

// exchange writes a request and reads the head of the response. It reports whether the complete request was written. If it was
// not, the connection must not be reused, because the server would take the next request for the rest of this one.
func exchange(c *conn, r *Request) (response *Response, written bool, err error) {
	head := encodeHead(r)
	c.sendBuffer.Writes(c.Conn, len(head)+len(r.Body))
	if len(head)+len(r.Body) >= largeRequestBytes {
		return exchangeLarge(c, r, head)
	}
	if n, err := c.Write(append(head, r.Body...)); err != nil {
		if n == 0 { // the server had already closed the connection
			err = errors.Mark(err, ErrNotSent)
		}
		return nil, false, err
	}
	response, err = readResponse(c, r)
	return response, true, err
}

// exchangeLarge reads the response while it writes the request, and stops writing once the head of the response has been read. It makes no
// copy of the body, whose memory the caller has reserved.
func exchangeLarge(c *conn, r *Request, head []byte) (response *Response, written bool, err error) {
	readDone := make(chan error, 1)
	go func() {
		var err error
		response, err = readResponse(c, r)
		_ = c.SetWriteDeadline(pastDeadline) // fails only for a closed connection, on which the write fails anyway
		readDone <- err
	}()
	request := net.Buffers{head, r.Body}
	n, _ := request.WriteTo(c.Conn) // a write error does not matter if there is a response; if there is none, reading fails too
	err = <-readDone                // at the latest when the connection or the context ends
	if err != nil && n == 0 {
		err = errors.Mark(err, ErrNotSent)
	}
	return response, n == int64(len(head)+len(r.Body)), err
}

// errOtherResponse is the error of an exchange that got only responses to other requests, or one that does not identify its
// request.
var errOtherResponse = errors.New("no response to this request")

// readResponse reads the head of the response to a request. It skips interim (1xx) responses and late responses to earlier
// requests, maxStaleResponses of them together.
func readResponse(c *conn, r *Request) (*Response, error) {
	for range maxStaleResponses + 1 {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method}) //nolint:bodyclose // Close would read the body to its end; Response.Close keeps or closes the connection instead
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		id := response.Header.Get("X-Request-Id")
		switch {
		case id == r.ID:
			return newResponse(response), nil
		case id != "":
			_, _ = io.Copy(io.Discard, response.Body) // no caller waits for it any more; a read error recurs at the next read
		case c.exchanges > 0 || claimsNotExecuted(response):
			// On a reused connection it may be the response to an earlier request. On a new one, a response that does not
			// identify its request cannot guarantee that the request has not run.
			return nil, errors.Wrap(errOtherResponse, "a response without X-Request-Id")
		default:
			return newResponse(response), nil
		}
	}
	return nil, errors.Wrap(errOtherResponse, "only responses to other requests")
}

func newResponse(response *http.Response) *Response {
	return &Response{
		Status:             response.StatusCode,
		Header:             response.Header,
		EndsWithConnection: response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0,
		body:               response.Body,
		reusable:           !response.Close && response.ProtoAtLeast(1, 1),
	}
}

// claimsNotExecuted reports whether a response states or suggests that its request has not run.
func claimsNotExecuted(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return response.Header.Get("X-Not-Executed") != ""
}

// errServerGone is the error of a body without length whose server accepts no connections any more: the server did not end the body, the
// kernel has closed the connection of a process that was killed.
var errServerGone = errors.New("the server was gone at the end of a response without length")

// Read implements io.Reader for the body. It returns io.EOF only at the end of a complete body, and another error for a truncated
// one.
func (r *Response) Read(b []byte) (int, error) {
	if r.end != nil {
		return 0, r.end
	}
	n, err := r.body.Read(b)
	if err != io.EOF {
		return n, err
	}
	r.end = io.EOF
	if r.EndsWithConnection && r.conn != nil {
		r.detach()
		r.conn = nil
		if r.serverGone() {
			r.end = errServerGone
		}
	}
	return n, r.end
}

// Close ends the exchange. The connection becomes idle if the body was read to its end and the connection may be reused;
// otherwise it is closed. Close may be called more than once.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	if !r.detach() || r.end == nil || !r.reusable {
		r.pool.discard(c)
		return
	}
	r.pool.put(c, parseKeepAlive(r.Header.Get("Keep-Alive")))
}

// encodeHead returns the bytes of a request's head, with room for the body of a request that is not large. It does not validate the header
// fields, which come from a request that net/http has parsed.
func encodeHead(r *Request) []byte {
	const typicalHeadBytes = 512
	var b bytes.Buffer
	b.Grow(typicalHeadBytes + min(len(r.Body), largeRequestBytes))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // bytes.Buffer returns no error
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
