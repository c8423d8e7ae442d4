package message

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// Upload is the streamed part of a request body. One goroutine of the front runs Pump; one exchange with a server at a time reads
// chunk by chunk with Next. A chunk that an exchange has not read when it ends is available to the next exchange; a chunk that
// was read is not available again.
type Upload struct {
	Size int64 // size of the complete body in bytes; -1: unknown until its end

	chunks    chan chunk
	closed    chan struct{}
	closeOnce func()
	pending   *chunk // received by Await, and not yet returned by Next; used only by the goroutine that calls them
	finalErr  error  // the error with which the body ended, once Next has returned it; used only by the goroutine that calls Next
	consumed  atomic.Bool
}

// chunk is the result of one read of the body.
type chunk struct {
	data []byte
	err  error
}

// chunkSize is the size in bytes of each of two buffers: one chunk is read from the client while the other is written to the
// server.
const chunkSize = 16 << 10

// Errors of Next that are not errors of the body itself.
var (
	ErrStopped = errors.New("stopped before a chunk arrived")
	ErrClosed  = errors.New("the upload was closed")
)

// NewUpload returns an upload for a body of size bytes; -1: unknown. Pump feeds it.
func NewUpload(size int64) *Upload {
	u := &Upload{Size: size, chunks: make(chan chunk), closed: make(chan struct{})}
	u.closeOnce = sync.OnceFunc(func() { close(u.closed) })
	return u
}

// Pump passes the data of r to Next until r returns an error or the upload is closed. r must return io.EOF itself if the body is
// complete, and only then: an error that wraps io.EOF means that the body was cut short.
func (u *Upload) Pump(r io.Reader) {
	var buffers [2][chunkSize]byte
	for i := 0; ; i++ {
		buffer := buffers[i%2][:]
		n, err := r.Read(buffer)
		if n == 0 && err == nil {
			continue
		}
		select {
		case u.chunks <- chunk{buffer[:n], err}: // the receiver no longer uses the previous chunk, whose buffer is filled next
		case <-u.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// Consumed reports whether a chunk was read by Next, after which the body cannot be sent again. It is safe for concurrent use.
func (u *Upload) Consumed() bool { return u.consumed.Load() }

// Begun reports whether a chunk has arrived, or the end of the body. It must not be called beside Next or Await.
func (u *Upload) Begun() bool { return u.pending != nil || u.Consumed() }

// Close makes Next return at once, and Pump as soon as its reader returns. It may be called more than once and from any
// goroutine.
func (u *Upload) Close() { u.closeOnce() }

// Await waits until Next can return a chunk or the end of the body, and consumes nothing. It returns the error of a body that was cut short
// before its next byte, ErrStopped if stop was closed, or ErrClosed if the upload was. It must not be called beside Next.
func (u *Upload) Await(stop <-chan struct{}) error {
	if u.pending == nil && u.finalErr == nil {
		select {
		case next := <-u.chunks:
			u.pending = &next
		case <-stop:
			return ErrStopped
		case <-u.closed:
			return ErrClosed
		}
	}
	if u.pending != nil && len(u.pending.data) == 0 && u.pending.err != io.EOF { //nolint:errorlint // a wrapped one is a body that was cut short
		return u.pending.err
	}
	return nil
}

// Next returns the next chunk, which is valid until the next call. The error that ends the body comes with the last chunk or
// after it: io.EOF if the body is complete, otherwise the error of Pump's reader. ErrStopped means that stop was closed and no
// chunk was read. ErrClosed means that the upload was closed.
func (u *Upload) Next(stop <-chan struct{}) ([]byte, error) {
	if u.finalErr != nil {
		return nil, u.finalErr
	}
	select {
	case <-stop: // checked first, so that an available chunk is left to the next exchange
		return nil, ErrStopped
	default:
	}
	if next := u.pending; next != nil {
		u.pending = nil
		return u.consume(*next)
	}
	select {
	case next := <-u.chunks:
		return u.consume(next)
	case <-stop:
		return nil, ErrStopped
	case <-u.closed:
		return nil, ErrClosed
	}
}

// consume returns a chunk to the caller of Next.
func (u *Upload) consume(next chunk) ([]byte, error) {
	u.consumed.Store(true)
	u.finalErr = next.err
	return next.data, next.err
}
