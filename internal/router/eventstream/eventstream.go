// Package eventstream reads server-sent events as they come, whole ones only.
//
// Invariant: what Next returns ends with the blank line that ends an event; an event that is cut off is never returned.
package eventstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrPartial says that a stream ended within an event.
var ErrPartial = errors.New("the stream ended within an event")

// MaxEvent bounds one event.
const MaxEvent = 1 << 20

// Reader reads events.
type Reader struct {
	source *bufio.Reader
	event  []byte
	id     string
}

// NewReader reads events from a body.
func NewReader(r io.Reader) *Reader { return &Reader{source: bufio.NewReaderSize(r, 4<<10)} }

// Next returns the next event's bytes, good until the next call; io.EOF means that the stream ended after a whole one.
func (r *Reader) Next() ([]byte, error) {
	r.event = r.event[:0]
	begins := true // of a line
	for {
		line, err := r.source.ReadSlice('\n')
		r.event = append(r.event, line...)
		whole := begins
		begins = err != bufio.ErrBufferFull
		if !begins && len(r.event) < MaxEvent {
			continue
		}
		if len(r.event) >= MaxEvent {
			return nil, errors.Newf("an event is longer than %d bytes", MaxEvent)
		}
		if err == io.EOF && len(r.event) > 0 {
			return nil, ErrPartial
		}
		if err != nil {
			return nil, err
		}
		if whole && blank(line) && len(r.event) > len(line) {
			r.note()
			return r.event, nil
		}
	}
}

func blank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// Buffered reports whether more has come already.
func (r *Reader) Buffered() bool { return r.source.Buffered() > 0 }

// LastID is the id of the last event that had one.
func (r *Reader) LastID() string { return r.id }

func (r *Reader) note() {
	for rest := r.event; len(rest) > 0; {
		line, more, _ := bytes.Cut(rest, []byte{'\n'})
		rest = more
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			r.id = string(bytes.TrimSpace(value))
		}
	}
}
