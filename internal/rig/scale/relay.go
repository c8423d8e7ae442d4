package scale

import (
	"bytes"
	"sync/atomic"

	"petrelhook/internal/rig/link"
)

// relay is a link that counts what it carries: bytes, requests and answers of HTTP/1.1. A connection carries one request at a time, so a
// piece that begins as a head does is a head.
type relay struct {
	addr  string
	way   *link.Link
	bytes [2]atomic.Uint64 // by direction
	heads [2]atomic.Uint64
}

// newRelay begins one to an address.
func newRelay(target string) (*relay, error) {
	way, err := link.New()
	if err != nil {
		return nil, err
	}
	r := &relay{addr: way.Addr, way: way}
	heads := [2][]byte{link.Forth: []byte("POST "), link.Back: []byte("HTTP/1.1 ")}
	way.Observe(func(d link.Direction, piece []byte) {
		r.bytes[d].Add(uint64(len(piece)))
		if bytes.HasPrefix(piece, heads[d]) {
			r.heads[d].Add(1)
		}
	})
	way.To(target)
	return r, nil
}

// carried is what went through, as who listens at the target has it.
func (r *relay) carried() traffic {
	return traffic{r.bytes[link.Forth].Load(), r.bytes[link.Back].Load(), r.heads[link.Forth].Load(), r.heads[link.Back].Load(), r.way.Open()}
}

// close ends the relay and what it carries.
func (r *relay) close() { r.way.Close() }
