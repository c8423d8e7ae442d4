// Package loopback is a network of sockets on 127.0.0.0/8 on which machines can be cut off, for stand-ins and sidecars in
// processes. Package memnet is its counterpart in memory.
package loopback

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"petrelhook/internal/common/sock"
)

// Network is sockets on 127.0.0.0/8, with machines that can be cut off. It refuses every other address.
//
// No packet can be dropped without privileges. A machine that is cut off leaves its connections open, reads nothing
// that anyone hears of and writes nothing, and its listener is left with a full queue: Linux then drops what asks for
// a connection, and who dials it waits.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*cutListener
}

// New makes a network of loopback sockets.
func New() *Network { return &Network{listeners: map[string]*cutListener{}} }

// Dial connects, as net.Dialer.DialContext does.
func (n *Network) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if err := isLoopback(addr); err != nil {
		return nil, err
	}
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, network, addr)
}

// isLoopback refuses what is not an address of 127.0.0.0/8; names are not looked up.
func isLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host).To4(); ip == nil || ip[0] != 127 {
		return fmt.Errorf("address %s: not in 127.0.0.0/8", addr)
	}
	return nil
}

// Listen listens at an address; port 0 takes a free one.
func (n *Network) Listen(addr string) (net.Listener, error) {
	if err := isLoopback(addr); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &cutListener{TCPListener: ln.(*net.TCPListener), n: n, conns: map[*cutConn]struct{}{}}
	c.changed.L = &c.mu
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[ln.Addr().String()] = c
	return c, nil
}

func (n *Network) at(addr string) *cutListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listeners[addr]
}

// Silence cuts off the machine that listens at addr.
func (n *Network) Silence(addr string) {
	if l := n.at(addr); l != nil {
		l.cutOff()
	}
}

// Restore brings it back: the connections that it had are reset.
func (n *Network) Restore(addr string) {
	if l := n.at(addr); l != nil {
		l.restore()
	}
}

// cutListener is a listener whose machine can be cut off.
type cutListener struct {
	*net.TCPListener
	n *Network

	mu      sync.Mutex
	changed sync.Cond
	cut     bool
	closed  bool
	conns   map[*cutConn]struct{}
	fill    []net.Conn // they keep the queue full
}

// Accept waits for a connection; while the machine is cut off, there is none.
func (l *cutListener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		l.mu.Lock()
		if err != nil && l.cut && !l.closed { // woken by cutOff
			for l.cut && !l.closed {
				l.changed.Wait()
			}
			l.mu.Unlock()
			continue
		}
		if err != nil {
			l.mu.Unlock()
			return nil, err
		}
		conn := &cutConn{TCPConn: c, l: l, cut: make(chan struct{}), ended: make(chan struct{})}
		if l.cut { // it came up just before
			close(conn.cut)
		}
		l.conns[conn] = struct{}{}
		l.mu.Unlock()
		return conn, nil
	}
}

// Close closes the listener.
func (l *cutListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.unfill()
	for c := range l.conns {
		if c.isCut() {
			sock.Abort(c.TCPConn)
		}
	}
	l.mu.Unlock()
	l.n.mu.Lock()
	if l.n.listeners[l.Addr().String()] == l {
		delete(l.n.listeners, l.Addr().String())
	}
	l.n.mu.Unlock()
	return l.TCPListener.Close()
}

// fillers is how many connections are tried to fill a queue of one; those that come up are kept.
const fillers = 3

func (l *cutListener) cutOff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut || l.closed {
		return
	}
	l.cut = true
	for c := range l.conns {
		close(c.cut)
	}
	l.SetDeadline(time.Now()) // Accept lets go
	l.backlog(0)
	for range fillers {
		if c, err := net.DialTimeout("tcp", l.Addr().String(), 20*time.Millisecond); err == nil {
			l.fill = append(l.fill, c)
		}
	}
}

func (l *cutListener) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		return
	}
	l.cut = false
	l.unfill()
	l.backlog(syscall.SOMAXCONN)
	l.SetDeadline(time.Time{})
	for c := range l.conns {
		if c.isCut() {
			sock.Abort(c.TCPConn)
		}
	}
	l.changed.Broadcast()
}

// unfill gives the queue free. The caller holds mu.
func (l *cutListener) unfill() {
	for _, c := range l.fill {
		sock.Abort(c)
	}
	l.fill = nil
}

// backlog sets how many connections may wait: to listen again on a socket that listens does so on Linux.
func (l *cutListener) backlog(n int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
}

// cutConn is a connection of a machine that can be cut off.
type cutConn struct {
	*net.TCPConn
	l     *cutListener
	cut   chan struct{}
	once  sync.Once
	ended chan struct{}
}

func (c *cutConn) isCut() bool {
	select {
	case <-c.cut:
		return true
	default:
		return false
	}
}

// Read reads; what comes while the machine is cut off never arrives.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.isCut() {
		<-c.ended
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes; while the machine is cut off it goes nowhere.
func (c *cutConn) Write(p []byte) (int, error) {
	if c.isCut() {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// Close closes the connection. That of a machine that is cut off is not heard of until it is back.
func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.isCut() && c.l.cut && !c.l.closed {
		return nil
	}
	delete(c.l.conns, c)
	return c.TCPConn.Close()
}
