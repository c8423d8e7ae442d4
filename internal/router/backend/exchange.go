package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Request is what is sent to a server. It is not changed, and may be sent again by another Do.
type Request struct {
	ID     string // X-Request-Id
	Method string
	Target string // path and query, as the client sent them
	Host   string
	Header http.Header
	Body   []byte
}

// Response is the head of an answer, and its body as it comes. It belongs to the goroutine that called Do, which has to
// close it.
type Response struct {
	Status   int
	Header   http.Header
	DialTime time.Duration // how long it took to make the connection; 0 where there was one
	body     io.ReadCloser

	pool     *Pool
	conn     *conn       // nil: the response is closed
	detach   func() bool // from the context
	reusable bool        // the connection, once the body is complete
	complete bool        // the body was read to its end
}

const maxLateAnswers = 2 // to earlier requests, that are passed over

// longRequestBytes is the size from which an answer is read while the request is still being written: a server may
// answer before it has read a long one.
const longRequestBytes = 16 << 10

// longAgo is a deadline that ends all reads and writes of a connection.
var longAgo = time.Unix(1, 0)

// Do sends a request and reads the head of its answer. Until the answer is closed the exchange depends on the context:
// when that ends, the connection does. An error is ErrNoConnection, ErrBroken, or ErrNotSent, which may be marked as
// ErrBroken too.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	began := time.Now()
	c, err := p.get(ctx)
	if err != nil {
		return nil, err
	}
	dialTime := time.Since(began)
	if c.exchanges > 0 {
		dialTime = 0
	}
	detach := context.AfterFunc(ctx, func() { _ = c.SetDeadline(longAgo) }) // it fails for a closed connection, which has ended already
	fail := func(err error) error {
		detach()
		p.drop(c)
		return errors.Mark(err, ErrBroken)
	}
	if ctx.Err() != nil {
		return nil, errors.Mark(fail(ctx.Err()), ErrNotSent)
	}
	answer, written, err := exchange(c, r)
	if err != nil {
		if c.exchanges > 0 && ctx.Err() == nil && !errors.IsAny(err, errOtherRequest, ErrNotSent) {
			p.shortenMaxIdle(c)
		}
		return nil, fail(err)
	}
	answer.DialTime, answer.pool, answer.conn, answer.detach = dialTime, p, c, detach
	answer.reusable = answer.reusable && written
	return answer, nil
}

// exchange writes a request and reads the head of its answer. It reports whether the complete request was written: on a
// connection where the rest of it is missing, the server would take the next request for that.
func exchange(c *conn, r *Request) (answer *Response, written bool, err error) {
	request := encode(r)
	if len(request) >= longRequestBytes {
		return exchangeLong(c, r, request)
	}
	if n, err := c.Write(request); err != nil {
		if n == 0 { // the server had closed the connection before
			err = errors.Mark(err, ErrNotSent)
		}
		return nil, false, err
	}
	answer, err = readAnswer(c, r)
	return answer, true, err
}

// exchangeLong reads the answer while it writes the request, and writes no more once the answer is there.
func exchangeLong(c *conn, r *Request, request []byte) (answer *Response, written bool, err error) {
	read := make(chan error, 1)
	go func() {
		var err error
		answer, err = readAnswer(c, r)
		_ = c.SetWriteDeadline(longAgo) // it fails for a closed connection, where the write ends by itself
		read <- err
	}()
	n, _ := c.Write(request) // where it fails the answer tells, or its error
	err = <-read             // it ends with the connection or the context, at the latest
	if err != nil && n == 0 {
		err = errors.Mark(err, ErrNotSent)
	}
	return answer, n == len(request), err
}

// errOtherRequest is that what came does not answer this request, or does not say which one it answers.
var errOtherRequest = errors.New("no answer to this request")

// readAnswer reads the head of the answer to a request; late answers to earlier ones are passed over.
func readAnswer(c *conn, r *Request) (*Response, error) {
	for range maxLateAnswers + 1 {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method}) //nolint:bodyclose // Close would read the body to its end; Response.Close keeps or closes the connection instead
		if err != nil {
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		id := answer.Header.Get("X-Request-Id")
		switch {
		case id == r.ID:
			return newResponse(answer), nil
		case id != "":
			_, _ = io.Copy(io.Discard, answer.Body) // nobody waits for it any more; the next read has its error, too
		case c.exchanges > 0 || claimsNotExecuted(answer):
			// On a used connection it may be the answer to an earlier request; and one that does not name its request promises
			// nothing.
			return nil, errors.Wrap(errOtherRequest, "an answer without an id")
		default:
			return newResponse(answer), nil
		}
	}
	return nil, errors.Wrap(errOtherRequest, "only answers to other requests came")
}

func newResponse(answer *http.Response) *Response {
	return &Response{
		Status:   answer.StatusCode,
		Header:   answer.Header,
		body:     answer.Body,
		reusable: !answer.Close && answer.ProtoAtLeast(1, 1),
	}
}

// claimsNotExecuted reports whether an answer says that its request was not run.
func claimsNotExecuted(answer *http.Response) bool {
	switch answer.StatusCode {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return answer.Header.Get("X-Not-Executed") != ""
}

// Read implements io.Reader for the body. The error is io.EOF only at the body's true end; an answer that was cut off
// has another one.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// Close ends the exchange: the connection is kept where the body was read to its end, else closed. It may be called
// again.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	if !r.detach() || !r.complete || !r.reusable {
		r.pool.drop(c)
		return
	}
	r.pool.put(c, parseKeepAlive(r.Header.Get("Keep-Alive")))
}

// encode is a request as it is written. Its header fields are valid as they come from a parsed request.
func encode(r *Request) []byte {
	const maxUsualHead = 512
	var b bytes.Buffer
	b.Grow(maxUsualHead + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // a buffer returns no error
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
