package message

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// Upload is the part of a request body that is streamed. The goroutine that owns the client's connection runs Pump; one exchange with a
// server at a time reads chunk by chunk with Next. A chunk that an exchange has not read when it ends is there for the next exchange; a
// chunk that was read is not available again.
type Upload struct {
	Size int64 // of the complete body; -1: unknown until its end

	chunks    chan chunk
	closed    chan struct{}
	closeOnce func()
	finalErr  error // the end of the body, once Next has returned it; owned by the goroutine that calls Next
	consumed  atomic.Bool
}

type chunk struct {
	data []byte
	err  error
}

// chunkSize is the size of each of two buffers: one chunk is read from the client while another is written to the server.
const chunkSize = 16 << 10

// Errors of Next that do not come from the body itself.
var (
	ErrStopped = errors.New("stopped before a chunk arrived")
	ErrClosed  = errors.New("the upload was closed")
)

// NewUpload returns an upload; Pump fills it.
func NewUpload(size int64) *Upload {
	u := &Upload{Size: size, chunks: make(chan chunk), closed: make(chan struct{})}
	u.closeOnce = sync.OnceFunc(func() { close(u.closed) })
	return u
}

// Pump passes on what r yields until r ends or the upload is closed. r must return io.EOF itself if the body is complete, and only then:
// an error that wraps it is an end before the last byte.
func (u *Upload) Pump(r io.Reader) {
	var buffers [2][chunkSize]byte
	for i := 0; ; i++ {
		buffer := buffers[i%2][:]
		n, err := r.Read(buffer)
		if n == 0 && err == nil {
			continue
		}
		select {
		case u.chunks <- chunk{buffer[:n], err}: // the receiver no longer uses the previous chunk, whose buffer is next
		case <-u.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// Consumed reports whether a chunk was read: then the body cannot be sent again. It is safe for concurrent use.
func (u *Upload) Consumed() bool { return u.consumed.Load() }

// Close ends Next at once and Pump as soon as its reader returns. It may be called more than once and from any goroutine.
func (u *Upload) Close() { u.closeOnce() }

// Next returns the next chunk, which is valid until the following call. The end of the body comes with the last chunk or after it: io.EOF
// if the body is complete, otherwise the reader's error. ErrStopped means that stop was closed and nothing was read, ErrClosed that the
// upload was closed.
func (u *Upload) Next(stop <-chan struct{}) ([]byte, error) {
	if u.finalErr != nil {
		return nil, u.finalErr
	}
	select {
	case <-stop: // checked first: a chunk that is available as well is left to the next exchange
		return nil, ErrStopped
	default:
	}
	select {
	case next := <-u.chunks:
		u.consumed.Store(true)
		u.finalErr = next.err
		return next.data, next.err
	case <-stop:
		return nil, ErrStopped
	case <-u.closed:
		return nil, ErrClosed
	}
}
