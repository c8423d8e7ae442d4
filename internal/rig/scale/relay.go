package scale

import (
	"bytes"
	"sync/atomic"

	"petrelhook/internal/rig/link"
)

// relay is a link that counts bytes, requests and responses of HTTP/1.1. A connection carries one request at a time, so a chunk
// that begins like a head is a head.
type relay struct {
	addr  string
	link  *link.Link
	bytes [2]atomic.Uint64 // by direction
	heads [2]atomic.Uint64
}

// newRelay starts a relay to an address.
func newRelay(target string) (*relay, error) {
	l, err := link.New()
	if err != nil {
		return nil, err
	}
	r := &relay{addr: l.Addr, link: l}
	heads := [2][]byte{link.Forward: []byte("POST "), link.Backward: []byte("HTTP/1.1 ")}
	l.Observe(func(d link.Direction, chunk []byte) {
		r.bytes[d].Add(uint64(len(chunk)))
		if bytes.HasPrefix(chunk, heads[d]) {
			r.heads[d].Add(1)
		}
	})
	l.SetTarget(target)
	return r, nil
}

// traffic is what went through, from the target's point of view.
func (r *relay) traffic() traffic {
	return traffic{
		In: r.bytes[link.Forward].Load(), Out: r.bytes[link.Backward].Load(),
		MessagesIn: r.heads[link.Forward].Load(), MessagesOut: r.heads[link.Backward].Load(), Open: r.link.Open(),
	}
}

// close ends the relay and its connections.
func (r *relay) close() { r.link.Close() }
