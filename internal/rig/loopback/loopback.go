// Package loopback is a network of sockets on 127.0.0.0/8 on which machines can be isolated, for stand-ins and sidecars in processes.
// Package memnet is its counterpart in memory.
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

// Network is a set of listeners on 127.0.0.0/8 whose machines can be isolated. It rejects every other address. It is safe for
// concurrent use.
//
// Packets cannot be dropped without privileges. An isolated machine leaves its connections open, discards what it reads and what is
// written, and the queue of its listener is filled: Linux then drops SYNs, and connection attempts wait.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// New makes a network of loopback sockets.
func New() *Network { return &Network{listeners: map[string]*listener{}} }

// Dial connects, as net.Dialer.DialContext does.
func (n *Network) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if err := isLoopback(addr); err != nil {
		return nil, err
	}
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, network, addr)
}

// isLoopback returns an error unless addr is an address of 127.0.0.0/8; names are not resolved.
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

// Listen listens at an address; port 0 means a free one.
func (n *Network) Listen(addr string) (net.Listener, error) {
	if err := isLoopback(addr); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &listener{TCPListener: ln.(*net.TCPListener), network: n, conns: map[*conn]struct{}{}}
	c.changed.L = &c.mu
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[ln.Addr().String()] = c
	return c, nil
}

// listenerAt is the listener at an address; nil: there is none.
func (n *Network) listenerAt(addr string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listeners[addr]
}

// Isolate partitions the machine that listens at addr from all others.
func (n *Network) Isolate(addr string) {
	if l := n.listenerAt(addr); l != nil {
		l.isolate()
	}
}

// Restore ends an Isolate. Connections that were open during it are reset.
func (n *Network) Restore(addr string) {
	if l := n.listenerAt(addr); l != nil {
		l.restore()
	}
}

// listener is a listener whose machine can be isolated.
type listener struct {
	*net.TCPListener
	network *Network

	mu           sync.Mutex
	changed      sync.Cond
	isolated     bool
	closed       bool
	conns        map[*conn]struct{}
	queueFillers []net.Conn // connections that fill the queue while the machine is isolated
}

// Accept waits for a connection; while the machine is isolated there is none.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		l.mu.Lock()
		if err != nil && l.isolated && !l.closed { // woken by isolate
			for l.isolated && !l.closed {
				l.changed.Wait()
			}
			l.mu.Unlock()
			continue
		}
		if err != nil {
			l.mu.Unlock()
			return nil, err
		}
		conn := &conn{TCPConn: c, listener: l, isolated: make(chan struct{}), closed: make(chan struct{})}
		if l.isolated { // it was established just before
			close(conn.isolated)
		}
		l.conns[conn] = struct{}{}
		l.mu.Unlock()
		return conn, nil
	}
}

// Close closes the listener. Connections of an isolated machine are reset.
func (l *listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.emptyQueue()
	for c := range l.conns {
		if c.isIsolated() {
			sock.Abort(c.TCPConn)
		}
	}
	l.mu.Unlock()
	l.network.mu.Lock()
	if l.network.listeners[l.Addr().String()] == l {
		delete(l.network.listeners, l.Addr().String())
	}
	l.network.mu.Unlock()
	return l.TCPListener.Close()
}

// fillAttempts is the number of attempts to fill a queue of length one; connections that are established are kept.
const fillAttempts = 3

// isolate starts the isolation of the machine.
func (l *listener) isolate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isolated || l.closed {
		return
	}
	l.isolated = true
	for c := range l.conns {
		close(c.isolated)
	}
	_ = l.SetDeadline(time.Now()) // wakes Accept; fails only on a closed listener
	l.setBacklog(0)
	for range fillAttempts {
		if c, err := net.DialTimeout("tcp", l.Addr().String(), 20*time.Millisecond); err == nil {
			l.queueFillers = append(l.queueFillers, c)
		}
	}
}

// restore ends it.
func (l *listener) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isolated {
		return
	}
	l.isolated = false
	l.emptyQueue()
	l.setBacklog(syscall.SOMAXCONN)
	_ = l.SetDeadline(time.Time{}) // fails only on a closed listener
	for c := range l.conns {
		if c.isIsolated() {
			sock.Abort(c.TCPConn)
		}
	}
	l.changed.Broadcast()
}

// emptyQueue ends the connections that fill the queue. The caller holds mu.
func (l *listener) emptyQueue() {
	for _, c := range l.queueFillers {
		sock.Abort(c)
	}
	l.queueFillers = nil
}

// setBacklog sets the length of the queue: on Linux, listen on a listening socket does that.
func (l *listener) setBacklog(n int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}

// conn is a connection of a machine that can be isolated.
type conn struct {
	*net.TCPConn
	listener *listener
	isolated chan struct{}
	once     sync.Once
	closed   chan struct{}
}

// isIsolated reports whether the connection was open during an isolation.
func (c *conn) isIsolated() bool {
	select {
	case <-c.isolated:
		return true
	default:
		return false
	}
}

// Read reads; what arrives while the machine is isolated is lost.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.isIsolated() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes; while the machine is isolated the bytes are discarded.
func (c *conn) Write(p []byte) (int, error) {
	if c.isIsolated() {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// Close closes the connection. While the machine is isolated the peer does not notice until Restore.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.isIsolated() && c.listener.isolated && !c.listener.closed {
		return nil
	}
	delete(c.listener.conns, c)
	return c.TCPConn.Close()
}
