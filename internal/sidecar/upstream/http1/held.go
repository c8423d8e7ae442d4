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
	// holdTime is for how long an answer is held back to see it whole: until it is begun to the client another try may
	// still win. What is there by then is passed on.
	holdTime = 50 * time.Millisecond
	// holdSize is the most that is held back of an answer that says how long it is and for which there is room.
	holdSize = 1 << 20
)

var (
	errTooLong = fmt.Errorf("an answer over %d MiB", message.MaxBody>>20)
	// errNoRoom is of answers that are not passed on, and those that nobody can take in pieces.
	errNoRoom = errors.New("an answer that is long and not passed on")
)

// held is an answer as it comes: held back at first, and passed on from its beginning on. It is used by the goroutine that
// reads the answer; whoever the beginning was handed to reads the rest on his own.
type held struct {
	answers *answers
	room    *membudget.Budget
	most    int // bytes that are held back at most
	begun   func(upstream.Outcome)
	outcome upstream.Outcome
	header  http.Header
	size    int64 // of the whole; -1: not known

	body  []byte
	taken int64 // of the room
	rest  *io.PipeWriter
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// take reads the body to its end.
func (h *held) take(resp *http.Response) error {
	switch {
	case h.begun == nil && h.size > message.MaxBuffered:
		return errNoRoom
	case h.size > holdSize:
		h.most = 0
	case h.size > message.MaxBuffered:
		h.most = int(h.size)
	}
	h.answers.limit.N = message.MaxBody + message.MaxHead // chunks have heads too
	if h.begun == nil {
		h.answers.limit.N = message.MaxBuffered + message.MaxHead
	} else if h.size > message.MaxBuffered || h.size < 0 { // a short one may come late, but it is read whole
		h.answers.from.late = h.begin
		h.answers.from.SetReadDeadline(time.Now().Add(holdTime))
		defer func() {
			h.answers.from.late = nil
			h.answers.from.SetReadDeadline(time.Time{})
		}()
	}
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	read := int64(0)
	for {
		n, err := resp.Body.Read(*buffer)
		if read += int64(n); read > message.MaxBody {
			return errTooLong
		}
		if n > 0 {
			if err := h.add((*buffer)[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// add takes in what has come. What goes beyond what is held back begins the answer.
func (h *held) add(p []byte) error {
	if h.rest == nil && h.hold(len(h.body)+len(p)) {
		h.body = append(h.body, p...)
		return nil
	}
	if h.begun == nil {
		return errNoRoom
	}
	h.begin()
	_, err := h.rest.Write(p)
	return err
}

// freeSize is how much of every answer is held without being counted: nearly all have no more.
const freeSize = 4 << 10

// hold reports whether so many bytes of the body may be held. The room is asked for as they come; of a long answer for all
// of them at once, which may leave no room.
func (h *held) hold(n int) bool {
	if n > h.most {
		return false
	}
	if n <= freeSize || int64(n) <= h.taken {
		return true
	}
	want := int64(min(h.most, max(2*n, 4*freeSize)))
	if h.size > message.MaxBuffered {
		want = h.size
	}
	if !h.room.TryAcquire(want - h.taken) {
		return h.begun == nil // which is short, and nobody can take it in pieces
	}
	h.taken = want
	return true
}

// release is what gives the held bytes free; nil: none are counted.
func (h *held) release() func() {
	n := h.taken
	if h.taken = 0; n == 0 {
		return nil
	}
	return sync.OnceFunc(func() { h.room.Release(n) })
}

// begin hands the answer on as far as it has come.
func (h *held) begin() {
	if h.rest != nil {
		return
	}
	h.answers.from.late, h.answers.from.moving = nil, true
	var rest *io.PipeReader
	rest, h.rest = io.Pipe()
	out := h.outcome
	out.Result, out.Reply = upstream.Served, message.Reply{Header: h.header, Body: h.body, Remainder: rest, Size: h.size, Release: h.release()}
	h.body = nil
	h.begun(out)
}

// whole is the outcome of an answer that has come to its end.
func (h *held) whole() upstream.Outcome {
	out := h.outcome
	out.Result = upstream.Served
	if h.rest != nil {
		h.rest.Close()
		return out
	}
	out.Reply = message.Reply{Header: h.header, Body: h.body, Release: h.release()}
	return out
}

// drop ends an answer that is not served, or not to its end.
func (h *held) drop(err error) {
	if h.rest != nil {
		h.rest.CloseWithError(err)
	}
	if release := h.release(); release != nil {
		release()
	}
}
