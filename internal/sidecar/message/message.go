// Package message defines the two messages that pass through a sidecar, a request on its way to a server and a server's reply, and the
// limits on their sizes. The core carries them between the front and the servers' side and does not look into them.
//
// A short body is buffered as bytes. A long body is streamed: it is read at the pace at which it is written, and no more than a few
// chunks of it are in memory at a time. Package message parses nothing and opens no connection.
package message

import "io"

// The limits of one message, in bytes.
const (
	// MaxBuffered is the largest body that is buffered completely before it is sent on. A longer one is streamed.
	MaxBuffered = 64 << 10
	// MaxBody is the largest body that is accepted at all.
	MaxBody = 40 << 20
	// MaxHead is the largest head: the first line and all header fields.
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
	Remainder io.ReadCloser // the part of the body that follows Body; io.EOF only at a complete end; nil: Body is the complete body
	Size      int64         // of the complete body if there is a Remainder; -1: unknown
	// Release frees the memory that the reply was counted in; nil: it was not counted.
	Release func()
}

// Done closes the remainder and frees the reply's memory. Whoever has written the reply, or discards it, calls it once.
func (r *Reply) Done() {
	if r.Remainder != nil {
		_ = r.Remainder.Close() // it is only read from: no data can be lost
	}
	if r.Release != nil {
		r.Release()
	}
}
