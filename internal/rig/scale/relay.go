package scale

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
)

// relay is a way on loopback that counts what it carries: bytes, requests and answers of HTTP/1.1. A connection
// carries one request at a time, so a read that begins as a head does is a head.
type relay struct {
	addr string

	ln              net.Listener
	target          string
	forth, back     atomic.Uint64 // bytes
	asked, answered atomic.Uint64 // heads

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	sides  sync.WaitGroup
}

// newRelay begins one to an address.
func newRelay(target string) (*relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{addr: ln.Addr().String(), ln: ln, target: target, conns: map[net.Conn]struct{}{}}
	r.sides.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.sides.Go(func() { r.carry(c) })
		}
	})
	return r, nil
}

// carried is what went through, as who listens at the target has it.
func (r *relay) carried() traffic {
	r.mu.Lock()
	open := len(r.conns) / 2
	r.mu.Unlock()
	return traffic{r.forth.Load(), r.back.Load(), r.asked.Load(), r.answered.Load(), open}
}

// close ends the relay and what it carries.
func (r *relay) close() {
	r.ln.Close()
	r.mu.Lock()
	r.closed = true
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.sides.Wait()
}

func (r *relay) keep(some ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range some {
		if r.closed {
			c.Close()
			continue
		}
		r.conns[c] = struct{}{}
	}
	return !r.closed
}

func (r *relay) drop(some ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range some {
		c.Close()
		delete(r.conns, c)
	}
}

func (r *relay) carry(from net.Conn) {
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		from.Close()
		return
	}
	if !r.keep(from, to) {
		return
	}
	defer r.drop(from, to)
	var other sync.WaitGroup
	other.Go(func() { pump(to, from, &r.back, &r.answered, "HTTP/1.1 ") })
	pump(from, to, &r.forth, &r.asked, "POST ")
	other.Wait()
}

// pump carries one direction until it ends, and then ends both.
func pump(from, to net.Conn, carried, heads *atomic.Uint64, head string) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			carried.Add(uint64(n))
			if bytes.HasPrefix(buf[:n], []byte(head)) {
				heads.Add(1)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
