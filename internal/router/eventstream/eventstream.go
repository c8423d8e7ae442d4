// Package eventstream splits a stream of server-sent events into complete events as they arrive, and checks that events from several servers
// continue one stream. It does not interpret the events, except for their id.
//
// Invariant: the bytes that Next returns end with the blank line that ends an event; a truncated event is never
// returned.
//
// A Reader may be used by one goroutine at a time.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// MaxEvent is the size limit of an event in bytes; an event must be smaller.
const MaxEvent = 1 << 20

// The errors of Reader.Next in addition to io.EOF and those of the source.
var (
	ErrPartial = errors.New("the stream ended within an event")
	ErrTooLong = fmt.Errorf("an event is longer than %d bytes", MaxEvent)
	ErrMemory  = errors.New("no memory is left for an event")
)

// unreservedEvent is the size in bytes up to which an event takes no reserved memory.
const unreservedEvent = 8 << 10

// readBuffer is the size of the read buffer in bytes; a longer line is assembled from several reads.
const readBuffer = 4 << 10

// Reader reads the events of one stream. Create it with NewReader.
type Reader struct {
	// Reserve reserves more bytes of memory for long events and reports whether that was possible; nil: there is no limit. It is set before
	// the first Next.
	Reserve func(bytes int64) bool

	source   *bufio.Reader
	event    []byte
	reserved int // bytes
}

// Event is one event of a stream.
type Event struct {
	Bytes   []byte // the complete event, valid until the next call of Next
	ID      string // the value of its last id field; "" if it has none
	HasData bool   // it has a data field; an event without one is a comment, or sets the id alone
}

// NewReader returns a reader of the events in a body. It does not close the body.
func NewReader(r io.Reader) *Reader { return &Reader{source: bufio.NewReaderSize(r, readBuffer)} }

// Next returns the next event. The error is io.EOF if the stream ended after a complete event, ErrPartial if it ended within an
// event, ErrTooLong if an event reaches MaxEvent bytes, ErrMemory, or the error of the source. The caller must not use the Reader
// after an error.
func (r *Reader) Next() (Event, error) {
	r.event = r.event[:0]
	lineStart := true
	for {
		chunk, err := r.source.ReadSlice('\n')
		if !r.reserveFor(len(r.event) + len(chunk)) {
			return Event{}, ErrMemory
		}
		r.event = append(r.event, chunk...)
		completeLine := lineStart
		lineStart = err != bufio.ErrBufferFull //nolint:errorlint // the buffer returns it plain; an error of the source that wraps it is another one
		if !lineStart && len(r.event) < MaxEvent {
			continue
		}
		if len(r.event) >= MaxEvent {
			return Event{}, ErrTooLong
		}
		if err == io.EOF && len(r.event) > 0 {
			return Event{}, ErrPartial
		}
		if err != nil {
			return Event{}, err
		}
		if completeLine && blank(chunk) && len(r.event) > len(chunk) {
			return parse(r.event), nil
		}
	}
}

// reserveFor reserves memory for an event of a size, whose buffer doubles as it grows and is kept for later events.
func (r *Reader) reserveFor(size int) bool {
	if r.Reserve == nil || size <= unreservedEvent || 2*size <= r.reserved {
		return true
	}
	wanted := 4 * size
	if !r.Reserve(int64(wanted - r.reserved)) {
		return false
	}
	r.reserved = wanted
	return true
}

func blank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// Buffered reports whether the complete event after the one that Next returned has already been read from the source.
func (r *Reader) Buffered() bool {
	buffered, _ := r.source.Peek(r.source.Buffered()) // reads nothing
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// parse returns the event that has these bytes.
func parse(text []byte) Event {
	event := Event{Bytes: text}
	for rest := text; len(rest) > 0; {
		line, more, _ := bytes.Cut(rest, []byte{'\n'})
		rest = more
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			event.ID = string(bytes.TrimSpace(value))
		}
		event.HasData = event.HasData || bytes.HasPrefix(line, []byte("data"))
	}
	return event
}
