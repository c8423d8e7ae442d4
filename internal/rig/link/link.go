// Package link is a way between two processes on loopback that a test can break: hold bytes back in one direction or both and
// deliver them late, slow it, reset what is open. It knows nothing of what it carries.
package link

import (
	"net"
	"sync"
	"time"

	"petrelhook/internal/common/sock"
)

// Direction is of bytes: Forth from who dials, Back to him.
type Direction int

// The directions.
const (
	Forward Direction = iota
	Backward
)

// Link listens at Addr and carries what comes to the target.
type Link struct {
	Addr string

	listener net.Listener
	mu       sync.Mutex
	cond     *sync.Cond
	target   string
	blocked  [2]bool
	delay    time.Duration
	conns    map[net.Conn]struct{}
	closed   bool
	pumps    sync.WaitGroup

	observe func(Direction, []byte)
}

// Observe has a function see each piece that is carried, before it is passed on; it is called from several goroutines. It is set
// before the link leads anywhere.
func (l *Link) Observe(f func(Direction, []byte)) { l.change(func() { l.observe = f }) }

// Open is how many connections it carries.
func (l *Link) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) / 2
}

// New makes a link that leads nowhere yet: who dials it waits.
func New() (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{Addr: ln.Addr().String(), listener: ln, conns: map[net.Conn]struct{}{}}
	l.cond = sync.NewCond(&l.mu)
	l.pumps.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			l.pumps.Go(func() { l.serve(c) })
		}
	})
	return l, nil
}

// SetTarget leads the link to an address from now on.
func (l *Link) SetTarget(addr string) { l.change(func() { l.target = addr }) }

// Block holds back what goes in a direction, or delivers it; a cut is both directions held.
func (l *Link) Block(d Direction, blocked bool) { l.change(func() { l.blocked[d] = blocked }) }

// Slow delays each piece.
func (l *Link) Slow(by time.Duration) { l.change(func() { l.delay = by }) }

func (l *Link) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	l.cond.Broadcast()
}

// Reset breaks all connections, with what was held back.
func (l *Link) Reset() {
	l.change(func() {
		for c := range l.conns {
			sock.Abort(c)
		}
		clear(l.conns)
	})
}

// Close ends the link.
func (l *Link) Close() {
	l.listener.Close()
	l.change(func() { l.closed = true })
	l.Reset()
	l.pumps.Wait()
}

// awaitOpen waits until bytes may go in a direction; false: the connection has ended.
func (l *Link) awaitOpen(d Direction, c net.Conn) (delay time.Duration, target string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		if _, open := l.conns[c]; !open || l.closed {
			return 0, "", false
		}
		if !l.blocked[d] && l.target != "" {
			return l.delay, l.target, true
		}
		l.cond.Wait()
	}
}

func (l *Link) register(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close()
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *Link) serve(from net.Conn) {
	if !l.register(from) {
		return
	}
	_, target, ok := l.awaitOpen(Forward, from)
	var to net.Conn
	if ok {
		var err error
		to, err = net.Dial("tcp", target)
		ok = err == nil && l.register(to)
	}
	if !ok {
		sock.Abort(from)
		l.change(func() { delete(l.conns, from) })
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.pump(Forward, from, to) })
	both.Go(func() { l.pump(Backward, to, from) })
	both.Wait()
}

// pump carries one direction until it ends, and then ends the connection.
func (l *Link) pump(d Direction, from, to net.Conn) {
	defer l.change(func() {
		delete(l.conns, from)
		delete(l.conns, to)
		from.Close()
		to.Close()
	})
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		delay, _, ok := l.awaitOpen(d, from)
		if !ok {
			return
		}
		if n > 0 {
			if l.observe != nil {
				l.observe(d, b[:n])
			}
			time.Sleep(delay)
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
