package clientlimit

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// firstBufferBytes is the size of the first buffer of a body of unknown length.
	firstBufferBytes = 512
	// firstKnownBytes is the largest first buffer of a body of known length: a client that announces a long body and does not send it
	// takes no more.
	firstKnownBytes = 16 << 10
)

// ErrNoMemory is the error of a body for which no memory is left.
var ErrNoMemory = errors.New("no memory is left for the body")

// ReadBody reads a body of at most maxBytes, whose source ends there, and reserves memory for it, also where it fails. length is the
// announced length of the body; -1: unknown. A buffer that is full is replaced by a larger one, and both count while one is copied. With
// ErrNoMemory ReadBody returns what it has read. Other errors are those of the source; an announced body that ends early has
// io.ErrUnexpectedEOF.
func ReadBody(ctx context.Context, source io.Reader, length, maxBytes int64, memory *Reservation) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	most, size := maxBytes+1, int64(firstBufferBytes) // there is room to see the end of the source
	if length > 0 {
		most, size = length, min(length, firstKnownBytes)
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			larger := min(max(size, 2*int64(cap(body))), most)
			if larger >= firstKnownBytes && most-larger < firstKnownBytes { // no further buffer for the last bytes
				larger = most
			}
			if !memory.Grow(ctx, larger, larger) {
				return body, ErrNoMemory
			}
			smaller := int64(cap(body))
			body = append(make([]byte, 0, larger), body...)
			memory.Shrink(smaller)
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		memory.Received(int64(n))
		switch {
		case int64(len(body)) == length:
			return body, nil
		case err == io.EOF && length < 0: //nolint:errorlint // the plain io.EOF alone is the end of a complete body
			return body, nil
		case err == io.EOF: //nolint:errorlint // likewise
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case int64(len(body)) == most:
			return body, nil
		}
	}
}
