package platform

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"petrelhook/internal/sidecar/membudget"
	"petrelhook/internal/sidecar/message"
	"petrelhook/internal/sidecar/progress"
)

const (
	// minBodyBytes of a body must come in each bodyInterval: a quarter of the 64 kB a second that the platform promises.
	minBodyBytes = 32 << 10
	bodyInterval = 2 * time.Second
	// writeTimeout is for how long a client may read nothing of its response.
	writeTimeout = 10 * time.Second
	// uncountedSize is how much of each body may be in memory without being reserved; nearly all bodies are no longer.
	uncountedSize = 4 << 10
	// readSize is the most that is read at once of a body that is kept in memory.
	readSize = 4 << 10
	// reserveTimeout is for how long a body waits for memory before its request is rejected. Nothing of it was executed, and those that
	// have memory reserved and make no progress are ended in about the same time.
	reserveTimeout = time.Second
)

var (
	errHalted   = errors.New("the rest of the body is not wanted any more")
	errNoMemory = errors.New("no room for the body")
	errTooLong  = errors.New("body over 40 MiB")
)

// isEnd reports whether a body was read to its end. An error that wraps io.EOF is none: that body was cut short.
func isEnd(err error) bool {
	return err == io.EOF //nolint:errorlint // only the plain value is an end
}

// body reads a request's body and ends the reading where the client sends too slowly. One goroutine reads at a time: the handler's, then
// that of pump; halt may be called meanwhile.
type body struct {
	io.Reader
	control          *http.ResponseController
	earliestDeadline time.Time // no read is ended before it
	progress         progress.Deadline
	halted           atomic.Bool
	ended            atomic.Bool     // it was read to its end
	upload           *message.Upload // nil where the body is in memory
	budget           *membudget.Budget
	reserved         int64         // bytes of the budget
	pumpDone         chan struct{} // closed when the pump has ended; nil: there is none
}

func newBody(w http.ResponseWriter, req *http.Request, earliestDeadline time.Time) *body {
	b := &body{
		Reader: req.Body, control: http.NewResponseController(w), earliestDeadline: earliestDeadline,
		progress: progress.Deadline{MinBytes: minBodyBytes, Interval: bodyInterval},
	}
	b.progress.Start(time.Now())
	return b
}

// Read reads until the client's time for the current interval is up; then the error is os.ErrDeadlineExceeded. After halt it is errHalted.
func (b *body) Read(p []byte) (int, error) {
	deadline := b.progress.Expires()
	if deadline.Before(b.earliestDeadline) {
		deadline = b.earliestDeadline
	}
	b.control.SetReadDeadline(deadline)
	if b.halted.Load() { // checked after the deadline is set: halt sets one of its own
		return 0, errHalted
	}
	n, err := b.Reader.Read(p)
	b.progress.Progressed(n, time.Now())
	switch {
	case isEnd(err):
		b.ended.Store(true)
		b.control.SetReadDeadline(time.Time{})
	case err != nil && b.halted.Load():
		err = errHalted
	}
	return n, err
}

// halt ends the reading and waits for the pump; the rest of the body stays unread. A body that was read to its end leaves the connection
// alone: net/http already waits on it for the client's end, and would take a deadline for that and give up the next request.
func (b *body) halt() {
	if !b.ended.Load() {
		b.halted.Store(true)
		b.control.SetReadDeadline(time.Unix(1, 0))
	}
	if b.upload != nil {
		b.upload.Close()
	}
	if b.pumpDone != nil {
		<-b.pumpDone
	}
}

// pump starts to pass the body on through the upload as it comes. Where the body breaks off, onError is called with the reason. halt waits
// for the pump's goroutine.
func (b *body) pump(onError func(error)) {
	b.pumpDone = make(chan struct{})
	go func() {
		defer close(b.pumpDone)
		b.upload.Pump(&limitedBody{b, message.MaxBody, onError})
	}()
}

// statusOfBodyError is the HTTP status for a body that could not be read to its end; 0: the client has gone, and there is none to answer.
func statusOfBodyError(err error) int {
	var netError net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case errors.Is(err, errNoMemory):
		return http.StatusServiceUnavailable
	case errors.Is(err, context.Canceled) || errors.As(err, &netError) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return 0
	}
	return http.StatusBadRequest
}

// readInto reads a short body into the message; a long one becomes an upload of the message, which pump passes on.
func (b *body) readInto(req *http.Request, into *message.Request) error {
	size := req.ContentLength
	if size > message.MaxBuffered {
		b.upload = message.NewUpload(size)
		into.Remainder = b.upload
		return nil
	}
	var err error
	if size >= 0 {
		into.Body = make([]byte, 0, min(size, uncountedSize))
	}
	buffer := make([]byte, min(max(size, 512), readSize))
	for err == nil {
		if len(into.Body) > message.MaxBuffered { // a chunked body, and longer than what is kept in memory
			b.upload = message.NewUpload(-1)
			into.Remainder = b.upload
			return nil
		}
		var n int
		n, err = b.Read(buffer)
		if !b.reserve(req.Context(), len(into.Body)+n) {
			return errNoMemory
		}
		into.Body = append(into.Body, buffer[:n]...)
	}
	if isEnd(err) {
		return nil
	}
	return err
}

// reserve waits until n bytes of the body may be in memory, and reports whether they may.
func (b *body) reserve(ctx context.Context, n int) bool {
	if n <= uncountedSize || int64(n) <= b.reserved {
		return true
	}
	wanted := int64(min(2*n, message.MaxBuffered+readSize))
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	if !b.budget.Acquire(ctx, wanted-b.reserved) {
		return false
	}
	b.reserved = wanted
	b.progress.Start(time.Now()) // the wait was not the client's
	return true
}

// release gives the reserved memory back.
func (b *body) release() {
	if b.reserved > 0 {
		b.budget.Release(b.reserved)
	}
	b.reserved = 0
}

// limitedBody reads no more than a number of bytes, and reports an error that is neither the body's end nor halt.
type limitedBody struct {
	*body
	remaining int64
	onError   func(error)
}

// Read is that of io.Reader.
func (l *limitedBody) Read(p []byte) (int, error) {
	n, err := l.body.Read(p)
	if l.remaining -= int64(n); l.remaining < 0 && !errors.Is(err, errHalted) {
		err = errTooLong
	}
	if err != nil && !isEnd(err) && !errors.Is(err, errHalted) {
		l.onError(err)
	}
	return n, err
}
