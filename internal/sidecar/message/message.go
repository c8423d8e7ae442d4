// Package message defines the two messages that pass through a sidecar, a request to a server and a server's reply, and the
// limits on their sizes. The core passes them between the front and package upstream without inspecting them.
//
// A short body is buffered. A long body is streamed: it is read as fast as it can be written, and no more than a few chunks of it
// are in memory at a time. The package parses nothing and opens no connection.
package message

import "io"

// The limits of one message, in bytes.
const (
	// MaxBuffered is the size of the largest body that is buffered completely before it is forwarded. A longer body is streamed.
	MaxBuffered = 64 << 10
	// MaxBody is the size of the largest accepted body.
	MaxBody = 40 << 20
	// MaxHead is the size of the largest accepted head: the first line and all header fields.
	MaxHead = 32 << 10
)

// Request is a client's request in the form in which it is sent to a server.
type Request struct {
	Method, Target string
	Header         [][2]string // names and values, in order
	Body           []byte
	Remainder      *Upload // the part of the body that follows Body and is streamed; nil: Body is the complete body
}

// Reply is a server's successful response.
type Reply struct {
	Header    map[string][]string // names in canonical form
	Body      []byte
	Remainder io.ReadCloser // the part that follows Body; Read returns io.EOF only if the body arrived completely; nil: Body is complete
	Size      int64         // if there is a Remainder, the size of the complete body in bytes; -1: unknown
	// Release frees the memory that is reserved for the reply; nil: none is reserved.
	Release func()
}

// Done closes the remainder and frees the reply's memory. The code that writes or discards the reply must call Done exactly once,
// after it has written or discarded the reply.
func (r *Reply) Done() {
	if r.Remainder != nil {
		_ = r.Remainder.Close() // the remainder is only read, so an error of Close loses no data
	}
	if r.Release != nil {
		r.Release()
	}
}
