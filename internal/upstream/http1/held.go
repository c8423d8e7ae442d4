package http1

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"petrelhook/internal/message"
	"petrelhook/internal/upstream"
)

const (
	// holdTime is for how long an answer is held back to see it whole: until it is begun to the client another try may
	// still win. What is there by then is passed on.
	holdTime = 50 * time.Millisecond
	// holdSize is the most that is held back of an answer that says how long it is and for which there is room.
	holdSize = 1 << 20
)

var (
	errTooLong = fmt.Errorf("an answer over %d MiB", message.Long>>20)
	// errNoRoom is of answers that are not passed on, and those that nobody can take in pieces.
	errNoRoom = errors.New("an answer that is long and not passed on")
)

// held is an answer as it comes: held back at first, and passed on from its beginning on. It is used by the goroutine that
// reads the answer; whoever the beginning was handed to reads the rest on his own.
type held struct {
	answers *answers
	room    *room
	most    int // bytes that are held back
	begun   func(upstream.Outcome)
	outcome upstream.Outcome
	header  http.Header
	size    int64 // of the whole; -1: not known

	body    []byte
	release func() // nil: the body is counted in no room
	rest    *io.PipeWriter
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// take reads the body to its end.
func (h *held) take(resp *http.Response) error {
	switch {
	case h.begun == nil && h.size > message.Short:
		return errNoRoom
	case h.size > holdSize:
		h.most = 0
	case h.size > message.Short:
		if release, ok := h.room.take(h.size); ok {
			h.release, h.most = release, int(h.size)
		} else {
			h.most = 0
		}
	}
	if h.size > 0 && h.size <= int64(h.most) {
		h.body = make([]byte, 0, min(h.size, message.Short))
	}
	h.answers.limit.N = message.Long + message.MaxHead // chunks have heads too
	if h.begun == nil {
		h.answers.limit.N = message.Short + message.MaxHead
	} else if h.size > message.Short || h.size < 0 { // a short one may come late, but it is read whole
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
		if read += int64(n); read > message.Long {
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
	if h.rest == nil && len(h.body)+len(p) <= h.most {
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

// begin hands the answer on as far as it has come.
func (h *held) begin() {
	if h.rest != nil {
		return
	}
	h.answers.from.late, h.answers.from.moving = nil, true
	var rest *io.PipeReader
	rest, h.rest = io.Pipe()
	out := h.outcome
	out.Result, out.Reply = upstream.Served, message.Reply{Header: h.header, Body: h.body, Rest: rest, Size: h.size, Release: h.release}
	h.body, h.release = nil, nil
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
	out.Reply = message.Reply{Header: h.header, Body: h.body, Release: h.release}
	return out
}

// drop ends an answer that is not served, or not to its end.
func (h *held) drop(err error) {
	if h.rest != nil {
		h.rest.CloseWithError(err)
	}
	if h.release != nil {
		h.release()
	}
}

// room is the memory for answers over message.Short that are held back, all of them together: a few hundred of the largest
// at once would be more than a sidecar has. The others are small enough for their number, which is bounded by connections,
// to bound them.
type room struct {
	most int64 // bytes; 0: no bound
	mu   sync.Mutex
	held int64
}

// take holds n bytes until release is called, which may be more than once; ok is false where there is no room.
func (r *room) take(n int64) (release func(), ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := r.most
	if most <= 0 {
		most = math.MaxInt64
	}
	if n > most-r.held {
		return nil, false
	}
	r.held += n
	return sync.OnceFunc(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.held -= n
	}), true
}
