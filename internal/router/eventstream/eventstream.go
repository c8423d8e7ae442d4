// Package eventstream splits a stream of server-sent events into complete events, as they come. It does not interpret them, but for their id.
//
// Invariant: what Next returns ends with the blank line that ends an event; an event that was cut off is never returned.
//
// A Reader is for one goroutine at a time.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// ErrPartial is returned where a stream ended within an event.
var ErrPartial = errors.New("the stream ended within an event")

// MaxEvent bounds one event, in bytes.
const MaxEvent = 1 << 20

// readBuffer is the size of the buffer in bytes; a longer line is assembled from several reads.
const readBuffer = 4 << 10

// Reader reads events.
type Reader struct {
	source *bufio.Reader
	event  []byte
	lastID string
}

// NewReader reads events from a body.
func NewReader(r io.Reader) *Reader { return &Reader{source: bufio.NewReaderSize(r, readBuffer)} }

// Next returns the next event's bytes, which are valid until the next call. The error is io.EOF where the stream ended after a complete event, ErrPartial
// where it ended within one, or that of the source.
func (r *Reader) Next() ([]byte, error) {
	r.event = r.event[:0]
	lineStart := true
	for {
		chunk, err := r.source.ReadSlice('\n')
		r.event = append(r.event, chunk...)
		completeLine := lineStart
		lineStart = !errors.Is(err, bufio.ErrBufferFull)
		if !lineStart && len(r.event) < MaxEvent {
			continue
		}
		if len(r.event) >= MaxEvent {
			return nil, fmt.Errorf("an event is longer than %d bytes", MaxEvent)
		}
		if errors.Is(err, io.EOF) && len(r.event) > 0 {
			return nil, ErrPartial
		}
		if err != nil {
			return nil, err
		}
		if completeLine && blank(chunk) && len(r.event) > len(chunk) {
			r.recordID()
			return r.event, nil
		}
	}
}

func blank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// Buffered reports whether more bytes have arrived already.
func (r *Reader) Buffered() bool { return r.source.Buffered() > 0 }

// LastID is the id of the last event that had one; "": none had.
func (r *Reader) LastID() string { return r.lastID }

// recordID finds the last id field of the event.
func (r *Reader) recordID() {
	for rest := r.event; len(rest) > 0; {
		line, more, _ := bytes.Cut(rest, []byte{'\n'})
		rest = more
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			r.lastID = string(bytes.TrimSpace(value))
		}
	}
}
