package message

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// Upload is the rest of a body that is passed on as it comes: whoever has the client's connection pumps, and one exchange at a
// time takes piece by piece. What one has not taken when it ends is there for the next; what has been taken is gone.
type Upload struct {
	Size int64 // of the whole body; -1: its end will tell

	pieces chan piece
	ended  chan struct{}
	end    func()
	over   error // the body's end, once it was taken; owned by the one who takes
	taken  atomic.Bool
}

type piece struct {
	data []byte
	err  error
}

// pieceSize is how much of a body is held on its way, twice: one piece is read while another is written.
const pieceSize = 16 << 10

// What Next reports beside the body's own errors.
var (
	ErrStopped = errors.New("stopped before a piece came")
	ErrClosed  = errors.New("the body is given up")
)

// NewUpload makes an upload; Pump fills it.
func NewUpload(size int64) *Upload {
	u := &Upload{Size: size, pieces: make(chan piece), ended: make(chan struct{})}
	u.end = sync.OnceFunc(func() { close(u.ended) })
	return u
}

// Pump hands on what r has until that ends, or until Close. r ends with io.EOF only where the body is whole.
func (u *Upload) Pump(r io.Reader) {
	var buffers [2][pieceSize]byte
	for i := 0; ; i++ {
		buffer := buffers[i%2][:]
		n, err := r.Read(buffer)
		if n == 0 && err == nil {
			continue
		}
		select {
		case u.pieces <- piece{buffer[:n], err}: // whoever takes this one has done with the one before
		case <-u.ended:
			return
		}
		if err != nil {
			return
		}
	}
}

// Taken reports whether anything has been taken: then the body cannot be sent again.
func (u *Upload) Taken() bool { return u.taken.Load() }

// Close ends the pump once its reader returns, and whoever waits for a piece. It may be called more than once.
func (u *Upload) Close() { u.end() }

// Next takes the next piece, which is good until the call after this one. The body's end comes with the last piece or after
// it, as io.EOF where it is whole.
func (u *Upload) Next(stop <-chan struct{}) ([]byte, error) {
	if u.over != nil {
		return nil, u.over
	}
	select {
	case <-stop: // before a piece that is there as well: it is for the next exchange
		return nil, ErrStopped
	default:
	}
	select {
	case p := <-u.pieces:
		u.taken.Store(true)
		u.over = p.err
		return p.data, p.err
	case <-stop:
		return nil, ErrStopped
	case <-u.ended:
		return nil, ErrClosed
	}
}
