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

// Request is what is sent to a server.
type Request struct {
	ID     string // X-Request-Id
	Method string
	Target string // path and query, as the client sent them
	Host   string
	Header http.Header
	Body   []byte
}

// Response is the head of an answer, and its body as it comes.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body, or -1
	// Dialled is how long it took to make the connection; 0 where one was there.
	DialTime time.Duration
	body     io.ReadCloser

	pool    *Pool
	conn    *conn
	keep    bool
	ended   bool
	release func() bool
}

const maxSurplus = 2 // late answers to earlier requests that are passed over

// longRequest is from how many bytes on an answer is read while the request is still being written: a server may answer before it has
// read a long one.
const longRequest = 16 << 10

// Do sends a request and reads the head of its answer. Until the answer is closed it stays with the context: when that ends,
// the connection does.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	asked := time.Now()
	c, err := p.get(ctx)
	if err != nil {
		return nil, err
	}
	dialled := time.Since(asked)
	if c.uses > 0 {
		dialled = 0
	}
	release := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	fail := func(err error) error {
		release()
		p.drop(c)
		return errors.Mark(err, ErrBroken)
	}
	if ctx.Err() != nil {
		return nil, errors.Mark(fail(ctx.Err()), ErrNotSent)
	}
	answer, written, err := exchange(c, r)
	if err != nil {
		if c.uses > 0 && ctx.Err() == nil && !errors.IsAny(err, errNotOurs, ErrNotSent) {
			p.lostIdle(c)
		}
		return nil, fail(err)
	}
	keep := written && !answer.Close && answer.ProtoAtLeast(1, 1)
	return &Response{Status: answer.StatusCode, Header: answer.Header, Length: answer.ContentLength, body: answer.Body,
		DialTime: dialled, pool: p, conn: c, keep: keep, release: release}, nil
}

// exchange writes a request and reads the head of its answer. It reports whether the whole request was written: on a connection where a rest
// of it is due, the next request would be taken for that.
func exchange(c *conn, r *Request) (answer *http.Response, written bool, err error) {
	request := encode(r)
	if len(request) >= longRequest {
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
func exchangeLong(c *conn, r *Request, request []byte) (answer *http.Response, written bool, err error) {
	read := make(chan error, 1)
	go func() {
		var err error
		answer, err = readAnswer(c, r)
		c.SetWriteDeadline(time.Unix(1, 0))
		read <- err
	}()
	n, _ := c.Write(request)
	err = <-read // it ends with the connection or the context, at the latest
	if err != nil && n == 0 {
		err = errors.Mark(err, ErrNotSent)
	}
	return answer, n == len(request), err
}

// errNotOurs says that what came answers no request that was sent here, or does not say which.
var errNotOurs = errors.New("no answer to this request")

// readAnswer reads the head of the answer to a request; late answers to earlier ones are passed over.
func readAnswer(c *conn, r *Request) (*http.Response, error) {
	for range maxSurplus + 1 {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		id := answer.Header.Get("X-Request-Id")
		switch {
		case id == r.ID:
			return answer, nil
		case id != "":
			io.Copy(io.Discard, answer.Body) // an answer that nobody waits for any more
		case c.uses > 0 || promises(answer):
			// On a used connection it may be the answer to an earlier request; and nothing is promised by one that does not say to whom.
			return nil, errors.Wrap(errNotOurs, "an answer without an id")
		default:
			return answer, nil
		}
	}
	return nil, errors.Wrap(errNotOurs, "only answers to other requests came")
}

// promises reports whether an answer says that its request was not run.
func promises(answer *http.Response) bool {
	switch answer.StatusCode {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return answer.Header.Get("X-Not-Executed") != ""
}

// Read reads the body; io.EOF comes only at its true end.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.ended = true
	}
	return n, err
}

// Close ends the exchange: the connection is kept where the body was read whole, else closed.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	if !r.release() || !r.ended || !r.keep {
		r.pool.drop(c)
		return
	}
	r.pool.put(c, keepAlive(r.Header.Get("Keep-Alive")))
}

// Reused reports whether the answer came on a connection that had been used before.
func (r *Response) Reused() bool { return r.conn != nil && r.conn.uses > 0 }

func encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
