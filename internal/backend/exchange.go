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
	body   io.ReadCloser

	pool    *Pool
	conn    *conn
	keep    bool
	ended   bool
	release func() bool
}

const maxSurplus = 2 // late answers to earlier requests that are passed over

// Do sends a request and reads the head of its answer. Until the answer is closed it stays with the context: when that ends,
// the connection does.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, err
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
	if n, err := c.Write(encode(r)); err != nil {
		if n == 0 { // the server had closed the connection before
			err = errors.Mark(err, ErrNotSent)
		}
		return nil, fail(err)
	}
	for range maxSurplus + 1 {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			if c.uses > 0 && ctx.Err() == nil {
				p.lostIdle(c)
			}
			return nil, fail(err)
		}
		if answer.StatusCode < 200 {
			continue
		}
		if id := answer.Header.Get("X-Request-Id"); id != "" && id != r.ID {
			io.Copy(io.Discard, answer.Body) // an answer that nobody waits for any more
			continue
		}
		if c.uses > 0 && answer.Header.Get("X-Request-Id") == "" && answer.StatusCode/100 == 2 {
			return nil, fail(errors.New("an answer without an id on a connection that was used before"))
		}
		keep := !answer.Close && answer.ProtoAtLeast(1, 1)
		return &Response{Status: answer.StatusCode, Header: answer.Header, Length: answer.ContentLength, body: answer.Body,
			pool: p, conn: c, keep: keep, release: release}, nil
	}
	return nil, fail(errors.New("only answers to other requests came"))
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
