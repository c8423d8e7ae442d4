package transport

import (
	"bufio"
	"context"
	"io"
	"net"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/common/clientlimit"
)

const (
	// uncountedMessageBytes is the size up to which a message takes no reserved memory.
	uncountedMessageBytes = 4 << 10
	// memoryPerMessageByte is the bytes of memory that a byte of a message takes: in the decoder's buffer and decoded.
	memoryPerMessageByte = 2
	// maxLengthBytes is the size of the longest length of a message.
	maxLengthBytes = 8
	// oneByteLengths is the number of lengths that gob encodes in one byte. Of a longer one the first byte is the negated number of bytes
	// that follow.
	oneByteLengths = 0x80
)

// Errors that end a connection.
var (
	errMessageTooLong = errors.New("the message is too long")
	errMessageLength  = errors.New("the message has no valid length")
	errMessageMemory  = errors.New("no memory is left for the message")
)

// messageReader passes on a stream of gob messages, each of which has its length in front. It reserves memory for a message before the
// decoder sees that length, for which the decoder allocates a buffer at once.
type messageReader struct {
	source   *bufio.Reader
	limit    int64 // bytes of a message
	memory   *clientlimit.Memory
	conn     net.Conn
	reserved *clientlimit.Reservation // of the message in progress; nil: it is short

	remaining int64 // bytes of the message in progress that were not read yet
}

// Read implements io.Reader. It releases the memory of a message when the next one is read.
func (r *messageReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		r.release()
		if err := r.begin(); err != nil {
			return 0, err
		}
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	if r.reserved != nil {
		r.reserved.Received(int64(n))
		if r.remaining == 0 {
			r.reserved.Arrived()
		}
	}
	return n, err
}

// begin reads the length of the next message, which stays unread, and reserves memory for it.
func (r *messageReader) begin() error {
	length, lengthBytes, err := r.peekLength()
	if err != nil {
		return err
	}
	if length > uint64(r.limit) {
		return errMessageTooLong
	}
	r.remaining = lengthBytes + int64(length)
	if r.remaining <= uncountedMessageBytes {
		return nil
	}
	r.reserved = r.memory.Reserve(func() { _ = r.conn.Close() })
	bytes := memoryPerMessageByte * r.remaining
	if !r.reserved.Grow(context.Background(), bytes, bytes) {
		return errMessageMemory
	}
	return nil
}

// peekLength returns the length of the next message and the number of bytes that encode it.
func (r *messageReader) peekLength() (length uint64, lengthBytes int64, err error) {
	first, err := r.source.Peek(1)
	if err != nil {
		return 0, 0, err
	}
	if first[0] < oneByteLengths {
		return uint64(first[0]), 1, nil
	}
	count := -int(int8(first[0]))
	if count > maxLengthBytes {
		return 0, 0, errMessageLength
	}
	encoded, err := r.source.Peek(1 + count)
	if err != nil {
		return 0, 0, err
	}
	for _, b := range encoded[1:] {
		length = length<<8 | uint64(b)
	}
	return length, int64(1 + count), nil
}

// release releases the memory of the last message.
func (r *messageReader) release() {
	if r.reserved != nil {
		r.reserved.Release()
		r.reserved = nil
	}
}

var _ io.Reader = (*messageReader)(nil)
