// Package message is what clients and servers write to one another through a sidecar: a request as it goes on, a reply
// as it comes back, and the bounds of both. Between front and servers' side it is carried and never looked into.
//
// What is short is carried whole, as bytes. What is long is passed on as it comes, by whoever reads it at the pace of
// whoever writes it, and nobody holds the whole of it.
package message

import "io"

// The bounds of one message, in bytes.
const (
	// Short is how much of a body is carried whole.
	Short = 64 << 10
	// Long is the most that a body may have.
	Long    = 40 << 20
	MaxHead = 32 << 10
)

// Request is a request as it goes on to a server.
type Request struct {
	Method, Target string
	Header         [][2]string // names and values, in order
	Body           []byte
	Rest           *Upload // what follows Body; nil: nothing does
}

// Reply is a server's answer of success.
type Reply struct {
	Header map[string][]string // names in canonical form
	Body   []byte
	Rest   io.ReadCloser // what follows Body, and ends with io.EOF only where the reply is whole; nil: nothing does
	Size   int64         // of the whole body, where there is a rest; -1: its end will tell
	// Release gives the memory free that the reply was counted in; nil: in none.
	Release func()
}

// Done is called by whoever has written the reply or drops it.
func (r *Reply) Done() {
	if r.Rest != nil {
		r.Rest.Close()
	}
	if r.Release != nil {
		r.Release()
	}
}
