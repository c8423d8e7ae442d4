package http1

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"petrelhook/internal/sidecar/membudget"
	"petrelhook/internal/sidecar/message"
	"petrelhook/internal/sidecar/upstream"
)

const (
	// maxBufferTime is how long a response is buffered while it is incomplete. Until its first bytes are passed to the client, a
	// retry is still possible. After this time the part that has arrived is passed on.
	maxBufferTime = 50 * time.Millisecond
	// maxBufferSize is the largest response with a known length that is buffered, memory permitting.
	maxBufferSize = 1 << 20
	// uncountedSize is how much of each response is buffered without reserving memory. Nearly all responses are not longer.
	uncountedSize = 4 << 10
	// readSize is the size of the buffer for one read of a body.
	readSize = 32 << 10
)

var (
	errTooLong = fmt.Errorf("response body exceeds %d MiB", message.MaxBody>>20)
	// errNotBuffered is the error of a response that is too long to be buffered and must not be streamed.
	errNotBuffered = errors.New("response body is too long to be buffered and may not be streamed")
)

// response is a response that is being read. It is buffered at first; once its first part is passed to onStarted, it is streamed.
// It is owned by the goroutine that reads the response from the server; the receiver of the first part reads the remainder from a
// pipe, so the server is read no faster than the receiver reads.
type response struct {
	reader      *responseReader
	budget      *membudget.Budget
	bufferLimit int                    // maximum number of bytes that are buffered
	onStarted   func(upstream.Outcome) // gets the first part of a streamed response; nil if the response must not be streamed
	outcome     upstream.Outcome       // template of the outcome, with the load report
	header      http.Header
	size        int64 // of the complete body; -1 if unknown

	buffered []byte
	reserved int64          // number of bytes reserved from the budget
	stream   *io.PipeWriter // nil until the response is streamed
}

// bufferPool holds buffers of readSize bytes.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, readSize); return &b }}

// readBody reads the body to its end.
func (r *response) readBody(resp *http.Response) error {
	switch {
	case r.onStarted == nil && r.size > message.MaxBuffered:
		return errNotBuffered
	case r.size > maxBufferSize:
		r.bufferLimit = 0
	case r.size > message.MaxBuffered:
		r.bufferLimit = int(r.size)
	}
	source := &r.reader.source
	r.reader.limit.N = message.MaxBody + message.MaxHead // MaxHead leaves room for the heads of chunks
	if r.onStarted == nil {
		r.reader.limit.N = message.MaxBuffered + message.MaxHead
	} else if r.size > message.MaxBuffered || r.size < 0 { // a short response is buffered completely, however late it is
		source.onDeadline = r.startStreaming
		_ = source.SetReadDeadline(time.Now().Add(maxBufferTime)) // fails only if the connection is closed, like the call below
		defer func() {
			source.onDeadline = nil
			_ = source.SetReadDeadline(time.Time{})
		}()
	}
	return r.copyBody(resp.Body)
}

// copyBody reads a body to its end, and buffers or streams it.
func (r *response) copyBody(body io.Reader) error {
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	total := int64(0)
	for {
		n, err := body.Read(*buffer)
		if total += int64(n); total > message.MaxBody {
			return errTooLong
		}
		if n > 0 {
			if err := r.add((*buffer)[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF { //nolint:errorlint // a wrapped one is a response that was cut short
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// add buffers or streams the next bytes of the body. If they cannot be buffered, it starts streaming.
func (r *response) add(p []byte) error {
	if r.stream == nil && r.reserve(len(r.buffered)+len(p)) {
		r.buffered = append(r.buffered, p...)
		return nil
	}
	if r.onStarted == nil {
		return errNotBuffered
	}
	r.startStreaming()
	_, err := r.stream.Write(p)
	return err
}

// reserve reserves memory for n bytes of the body in total, and reports whether they may be buffered. Memory is reserved as the
// body arrives; for a long response with a known length, all of it is reserved at once.
func (r *response) reserve(n int) bool {
	if n > r.bufferLimit {
		return false
	}
	if n <= uncountedSize || int64(n) <= r.reserved {
		return true
	}
	want := int64(min(r.bufferLimit, max(2*n, 4*uncountedSize)))
	if r.size > message.MaxBuffered {
		want = r.size
	}
	if !r.budget.TryAcquire(want - r.reserved) {
		return r.onStarted == nil // such a response is short and cannot be streamed, so it is buffered all the same
	}
	r.reserved = want
	return true
}

// takeReservation passes the responsibility for the reserved memory to the caller: it returns a function that releases the memory
// once, or nil if nothing is reserved.
func (r *response) takeReservation() func() {
	n := r.reserved
	if r.reserved = 0; n == 0 {
		return nil
	}
	return sync.OnceFunc(func() { r.budget.Release(n) })
}

// startStreaming passes the part of the response that has arrived to onStarted, unless the response is streamed already.
func (r *response) startStreaming() {
	if r.stream != nil {
		return
	}
	r.reader.source.onDeadline, r.reader.source.deadlinePerRead = nil, true
	var remainder *io.PipeReader
	remainder, r.stream = io.Pipe()
	out := r.outcome
	out.Result = upstream.Served
	out.Reply = message.Reply{Header: r.header, Body: r.buffered, Remainder: remainder, Size: r.size, Release: r.takeReservation()}
	r.buffered = nil
	r.onStarted(out)
}

// complete returns the outcome of a response that has arrived completely.
func (r *response) complete() upstream.Outcome {
	out := r.outcome
	out.Result = upstream.Served
	if r.stream != nil {
		_ = r.stream.Close() // always nil: the reader gets io.EOF
		return out
	}
	out.Reply = message.Reply{Header: r.header, Body: r.buffered, Release: r.takeReservation()}
	return out
}

// abandon ends a response that is not served, or not completely. The reader of the stream, if there is one, gets err.
func (r *response) abandon(err error) {
	if r.stream != nil {
		_ = r.stream.CloseWithError(err) // always nil
	}
	if release := r.takeReservation(); release != nil {
		release()
	}
}
