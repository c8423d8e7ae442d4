// Package message is what clients and servers write to one another through a sidecar: a request as it goes on, a reply
// as it comes back, and the bounds of both. Between front and servers' side it is carried and never looked into.
package message

// The bounds of one message, in bytes.
const (
	MaxBody = 64 << 10 // of a request
	MaxHead = 32 << 10
	// MaxReply is of an answer: some servers send more than they were said to, and what they did is done.
	MaxReply = 1 << 20
)

// Request is a request as it goes on to a server.
type Request struct {
	Method, Target string
	Header         [][2]string // names and values, in order
	Body           []byte
}

// Reply is a server's whole answer of success.
type Reply struct {
	Header map[string][]string // names in canonical form
	Body   []byte
	// Release gives the memory free that the reply was counted in; nil: in none.
	Release func()
}

// Done is called by whoever has written the reply or drops it.
func (r *Reply) Done() {
	if r.Release != nil {
		r.Release()
	}
}
