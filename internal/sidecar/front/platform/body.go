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
	// A client's body moves by a quarter of 64 kB a second at least, in pieces of up to 2 s.
	leastBody  = 32 << 10
	bodyWindow = 2 * time.Second
	// stall is for how long a client may take nothing of its answer.
	stall = 10 * time.Second
)

var errHalted = errors.New("the rest of the body is not wanted any more")

// body reads a request's body at the pace that its client owes.
type body struct {
	io.Reader
	control  *http.ResponseController
	first    time.Time // the pace counts from here on
	progress progress.Deadline
	halted   atomic.Bool
	ended    atomic.Bool // it was read to its end
	rest     *message.Upload
	room     *membudget.Budget
	taken    int64         // of the room
	pumped   chan struct{} // closed when nobody reads it any more; nil: nobody else does
}

func newBody(w http.ResponseWriter, req *http.Request, due time.Time) *body {
	b := &body{Reader: req.Body, control: http.NewResponseController(w), first: due, progress: progress.Deadline{MinBytes: leastBody, Interval: bodyWindow}}
	b.progress.Start(time.Now())
	return b
}

// Read reads on until the client's time for it is up.
func (b *body) Read(p []byte) (int, error) {
	due := b.progress.Expires()
	if due.Before(b.first) {
		due = b.first
	}
	b.control.SetReadDeadline(due)
	if b.halted.Load() { // only now: Halt sets a deadline of its own
		return 0, errHalted
	}
	n, err := b.Reader.Read(p)
	b.progress.Progressed(n, time.Now())
	switch {
	case err == io.EOF:
		b.ended.Store(true)
		b.control.SetReadDeadline(time.Time{})
	case err != nil && b.halted.Load():
		err = errHalted
	}
	return n, err
}

// halt ends the reading: what is left of the body stays unread. Where nothing is left the connection is not touched: net/http
// waits on it for the client already, and would take the deadline for the client's end and give up the next request.
func (b *body) halt() {
	if !b.ended.Load() {
		b.halted.Store(true)
		b.control.SetReadDeadline(time.Unix(1, 0))
	}
	if b.rest != nil {
		b.rest.Close()
	}
	if b.pumped != nil {
		<-b.pumped
	}
}

// pump passes the rest on as it comes. Where it breaks off, failed is called with the reason.
func (b *body) pump(failed func(error)) {
	b.pumped = make(chan struct{})
	go func() {
		defer close(b.pumped)
		b.rest.Pump(&bounded{b, message.MaxBody, failed})
	}()
}

// status is the answer to a body that could not be read to its end; 0: there is nobody to answer.
func status(err error) int {
	var failed net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case err == errNoRoom:
		return http.StatusServiceUnavailable
	case errors.Is(err, context.Canceled) || errors.As(err, &failed) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return 0
	}
	return http.StatusBadRequest
}

// take takes a body in: whole where it is short, else with a rest that is passed on.
func (b *body) take(req *http.Request, m *message.Request) error {
	size := req.ContentLength
	if size > message.MaxBuffered {
		b.rest = message.NewUpload(size)
		m.Remainder = b.rest
		return nil
	}
	var err error
	if size >= 0 {
		m.Body = make([]byte, 0, min(size, 4<<10))
	}
	buffer := make([]byte, min(max(size, 512), bodyPiece))
	for err == nil {
		if len(m.Body) > message.MaxBuffered { // chunks, and more of them
			b.rest = message.NewUpload(-1)
			m.Remainder = b.rest
			return nil
		}
		var n int
		n, err = b.Read(buffer)
		if !b.hold(req.Context(), len(m.Body)+n) {
			return errNoRoom
		}
		m.Body = append(m.Body, buffer[:n]...)
	}
	if err == io.EOF {
		return nil
	}
	return err
}

// freeSize is how much of every body is held without being counted: nearly all have no more.
const freeSize = 4 << 10

// bodyPiece is the most that is read at once of a body that is held.
const bodyPiece = 4 << 10

// roomTime is how long a body waits for room before it is refused. Nothing of it ran, and those who hold room and do not move
// are ended in about the same time.
const roomTime = time.Second

var errNoRoom = errors.New("no room for the body")

// hold waits until so many bytes may be held.
func (b *body) hold(ctx context.Context, n int) bool {
	if n <= freeSize || int64(n) <= b.taken {
		return true
	}
	want := int64(min(2*n, message.MaxBuffered+bodyPiece))
	ctx, cancel := context.WithTimeout(ctx, roomTime)
	defer cancel()
	if !b.room.Acquire(ctx, want-b.taken) {
		return false
	}
	b.taken = want
	b.progress.Start(time.Now()) // the wait was not the client's
	return true
}

// give holds nothing any more.
func (b *body) give() {
	if b.taken > 0 {
		b.room.Release(b.taken)
	}
	b.taken = 0
}

var errTooLong = errors.New("body over 40 MiB")

// bounded reads no more than a bound, and tells of what is no end.
type bounded struct {
	*body
	left   int64
	failed func(error)
}

func (r *bounded) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if r.left -= int64(n); r.left < 0 && err != errHalted {
		err = errTooLong
	}
	if err != nil && err != io.EOF && err != errHalted {
		r.failed(err)
	}
	return n, err
}
