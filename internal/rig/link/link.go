// Package link is a TCP relay between two processes on loopback whose faults a test controls: it blocks bytes in one direction or both
// and delivers them late, delays them, or resets connections. It does not interpret what it carries. All methods may be called from
// any goroutine.
package link

import (
	"context"
	"net"
	"sync"
	"time"

	"petrelhook/internal/common/sock"
)

// Direction is a direction of bytes: Forward from the side that dials, Backward to it.
type Direction int

// The directions.
const (
	Forward Direction = iota
	Backward
)

// Link listens at Addr and relays connections to its target.
type Link struct {
	Addr string

	network  Network
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

// Observe sets a function that is called with each chunk before it is written, from several goroutines; it must not keep the chunk.
// It is set before SetTarget.
func (l *Link) Observe(f func(Direction, []byte)) { l.change(func() { l.observe = f }) }

// Open is the number of connections that the link relays.
func (l *Link) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) / 2
}

// Network is where a link listens and connects.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
}

// tcp is the network of the operating system.
type tcp struct{}

func (tcp) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

func (tcp) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, network, addr)
}

// New makes a link on loopback without a target yet: connections to it wait.
func New() (*Link, error) { return NewOn(tcp{}) }

// NewOn is New on a given network.
func NewOn(network Network) (*Link, error) {
	ln, err := network.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{Addr: ln.Addr().String(), network: network, listener: ln, conns: map[net.Conn]struct{}{}}
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

// SetTarget sets the address that new connections are relayed to.
func (l *Link) SetTarget(addr string) { l.change(func() { l.target = addr }) }

// Block stops bytes in a direction, or lets them through again; a partition is both directions blocked.
func (l *Link) Block(d Direction, blocked bool) { l.change(func() { l.blocked[d] = blocked }) }

// Slow delays each chunk.
func (l *Link) Slow(by time.Duration) { l.change(func() { l.delay = by }) }

// change changes the state under the lock and wakes waiting goroutines.
func (l *Link) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	l.cond.Broadcast()
}

// Reset resets all connections; blocked bytes are lost.
func (l *Link) Reset() {
	l.change(func() {
		for c := range l.conns {
			sock.Abort(c)
		}
		clear(l.conns)
	})
}

// Close ends the link and its connections, and waits for its goroutines.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.change(func() { l.closed = true })
	l.Reset()
	l.pumps.Wait()
}

// awaitOpen waits until bytes may pass in a direction, and returns the delay and the target. ok is false if the connection has ended.
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

// register adds a connection; false: the link is closed, and so is the connection.
func (l *Link) register(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = c.Close()
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

// serve relays one connection until it ends.
func (l *Link) serve(from net.Conn) {
	if !l.register(from) {
		return
	}
	_, target, ok := l.awaitOpen(Forward, from)
	var to net.Conn
	if ok {
		var err error
		to, err = l.network.Dial(context.Background(), "tcp", target)
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

// pump copies one direction until it ends, and then ends the connection.
func (l *Link) pump(d Direction, from, to net.Conn) {
	defer l.change(func() {
		delete(l.conns, from)
		delete(l.conns, to)
		_ = from.Close()
		_ = to.Close()
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
