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
	way, err := link.New()
	if err != nil {
		return nil, err
	}
	r := &relay{addr: way.Addr, link: way}
	heads := [2][]byte{link.Forward: []byte("POST "), link.Backward: []byte("HTTP/1.1 ")}
	way.Observe(func(d link.Direction, piece []byte) {
		r.bytes[d].Add(uint64(len(piece)))
		if bytes.HasPrefix(piece, heads[d]) {
			r.heads[d].Add(1)
		}
	})
	way.SetTarget(target)
	return r, nil
}

// traffic is what went through, from the target's point of view.
func (r *relay) traffic() traffic {
	return traffic{r.bytes[link.Forward].Load(), r.bytes[link.Backward].Load(), r.heads[link.Forward].Load(), r.heads[link.Backward].Load(), r.link.Open()}
}

// close ends the relay and its connections.
func (r *relay) close() { r.link.Close() }
