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

	"petrelhook/internal/common/progress"
	"petrelhook/internal/sidecar/membudget"
	"petrelhook/internal/sidecar/message"
)

const (
	// minBodyBytes of a body must arrive in each bodyInterval: a quarter of the 64 kB/s that the platform guarantees.
	minBodyBytes = 32 << 10
	bodyInterval = 2 * time.Second
	// writeTimeout is how long a client may stop reading its response before the connection is closed.
	writeTimeout = 10 * time.Second
	// uncountedSize is how many bytes of each body may be in memory without a reservation; nearly all bodies are no longer than
	// this.
	uncountedSize = 4 << 10
	// readSize is the largest single read of a body that is kept in memory.
	readSize = 4 << 10
	// reserveTimeout is how long a body waits for memory before its request is rejected. The rejected request was not executed,
	// and requests that hold memory without making progress are ended in about the same time.
	reserveTimeout = time.Second
)

var (
	errHalted   = errors.New("reading of the body was halted")
	errNoMemory = errors.New("no room for the body")
	errTooLong  = errors.New("body over 40 MiB")
)

// isEnd reports whether a body was read to its end. An error that wraps io.EOF does not count: that body was cut short.
func isEnd(err error) bool {
	return err == io.EOF //nolint:errorlint // only the plain value means the end
}

// body reads a request's body and aborts the read if the client sends too slowly. One goroutine reads at a time: first the
// handler's, then that of pump. halt may be called concurrently.
type body struct {
	io.Reader
	control          *http.ResponseController
	earliestDeadline time.Time // no read times out before it
	progress         progress.Deadline
	halted           atomic.Bool
	ended            atomic.Bool     // the body was read to its end
	upload           *message.Upload // nil if the body is in memory
	budget           *membudget.Budget
	reserved         int64         // bytes reserved from the budget
	pumpDone         chan struct{} // closed when the pump has ended; nil: no pump was started
}

func newBody(w http.ResponseWriter, req *http.Request, earliestDeadline time.Time) *body {
	b := &body{
		Reader: req.Body, control: http.NewResponseController(w), earliestDeadline: earliestDeadline,
		progress: progress.Deadline{MinBytes: minBodyBytes, Interval: bodyInterval},
	}
	b.progress.Start(time.Now())
	return b
}

// Read implements io.Reader. It returns os.ErrDeadlineExceeded if the client misses the deadline of the current interval, and
// errHalted after halt.
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

// halt aborts reading and waits for the pump; the rest of the body stays unread. For a body that was read to its end it sets no
// deadline on the connection: net/http already reads there to detect a disconnect. It would take an expired deadline for a
// disconnect, and drop the next request.
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

// pump starts a goroutine that forwards the body through the upload as it arrives. If the body is cut short, onError is called on
// that goroutine with the reason. halt waits for the goroutine.
func (b *body) pump(onError func(error)) {
	b.pumpDone = make(chan struct{})
	go func() {
		defer close(b.pumpDone)
		b.upload.Pump(&limitedBody{b, message.MaxBody, onError})
	}()
}

// statusOfBodyError returns the HTTP status for a body that could not be read to its end, or 0 if the client has disconnected and
// gets no response.
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

// readInto reads a short body into the message. A long one becomes the message's upload, which pump forwards.
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
		if len(into.Body) > message.MaxBuffered { // a chunked body that is too long to be kept in memory
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

// reserve waits until memory for n bytes of the body in total is reserved. It returns false if that takes longer than
// reserveTimeout.
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
	b.progress.Start(time.Now()) // the client is not charged for the wait
	return true
}

// release returns the reserved memory to the budget.
func (b *body) release() {
	if b.reserved > 0 {
		b.budget.Release(b.reserved)
	}
	b.reserved = 0
}

// limitedBody is a body that fails with errTooLong once more than remaining bytes were read. It passes each error other than the
// end of the body and errHalted to onError.
type limitedBody struct {
	*body
	remaining int64
	onError   func(error)
}

// Read implements io.Reader.
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
