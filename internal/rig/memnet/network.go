// Package memnet is a network in memory: listeners and connections that behave as TCP on loopback does where the
// sidecar can tell, with a delay on every delivery, and machines that fall silent.
//
// It exists so that a whole sidecar with its clients, servers and discovery runs inside a testing/synctest bubble, in
// which time is virtual and passes only when all goroutines wait. Every wait here is one that synctest understands (a
// sync.Cond or a channel), and no two deliveries fall on the same instant, so what follows from one is over before the
// next begins: the same run gives the same result.
//
// What it models of TCP: segments in order, a half close, a reset where a side closes with bytes unread or is written
// to after its close, a bounded buffer that holds the writer up, refused connections. What it does not: loss,
// reordering, bandwidth, a SYN that is sent again.
package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Network holds the listeners and connections that can reach one another. It is safe for concurrent use.
type Network struct {
	latency time.Duration // one way

	mu         sync.Mutex
	listeners  map[string]*Listener
	silent     map[string]chan struct{} // by address; closed when the machine is back
	conns      map[*Conn]string         // the servers' sides that are open, with the address that was dialled
	lastPort   int
	deliveries int64
}

// New makes a network on which everything takes latency one way, and some nanoseconds of its own.
func New(latency time.Duration) *Network {
	return &Network{
		latency: latency, listeners: map[string]*Listener{}, silent: map[string]chan struct{}{},
		conns: map[*Conn]string{}, lastPort: 20000,
	}
}

// instant is how long the next delivery takes: no two at the same time take equally long.
func (n *Network) instant() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.deliveries++
	return n.latency + time.Duration(n.deliveries%9973) // a prime: the pattern falls in with no schedule
}

// Listen listens at a host:port; port 0 takes a free one. An address in use is an error, as on TCP.
func (n *Network) Listen(addr string) (net.Listener, error) {
	at, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if at.Port == 0 {
		n.lastPort++
		at.Port = n.lastPort
	}
	if n.listeners[at.String()] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: at, Err: syscall.EADDRINUSE}
	}
	l := &Listener{net: n, at: at, backlog: make(chan *Conn, backlog), ended: make(chan struct{})}
	n.listeners[at.String()] = l
	return l, nil
}

// backlog is how many connections may wait to be accepted; more find no answer, as where Linux drops them.
const backlog = 4096

// Dial connects to a listener, as net.Dialer.DialContext does. Where nobody listens it is refused; at a silent machine
// it waits for ctx, and is reset when the machine is back.
func (n *Network) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	at, err := net.ResolveTCPAddr(network, addr)
	if err != nil {
		return nil, err
	}
	failed := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: network, Addr: at, Err: err}
	}
	if err := sleep(ctx, n.instant()); err != nil {
		return failed(err)
	}
	n.mu.Lock()
	back := n.silent[at.String()]
	l := n.listeners[at.String()]
	n.mu.Unlock()
	if back != nil {
		select {
		case <-ctx.Done():
			return failed(ctx.Err())
		case <-back:
			return failed(syscall.ECONNRESET)
		}
	}
	if l == nil {
		if err := sleep(ctx, n.instant()); err != nil {
			return failed(err)
		}
		return failed(syscall.ECONNREFUSED)
	}
	client, server := n.pair(at)
	if err := l.offer(ctx, server); err != nil {
		_ = server.Close()
		return failed(err)
	}
	if err := sleep(ctx, n.instant()); err != nil {
		_ = client.Close()
		return failed(err)
	}
	return client, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

func (n *Network) pair(at *net.TCPAddr) (client, server *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastPort++
	from := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: n.lastPort}
	w := &wire{}
	w.changed.L = &w.mu
	client = &Conn{net: n, wire: w, local: from, remote: at}
	server = &Conn{net: n, wire: w, local: at, remote: from}
	client.peer, server.peer = server, client
	n.conns[server] = at.String()
	return client, server
}

// Silence cuts the machine at addr off: what is written to it or by it from now on vanishes, and nobody who dials it
// hears anything.
func (n *Network) Silence(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.silent[addr] == nil {
		n.silent[addr] = make(chan struct{})
	}
	for c, at := range n.conns {
		if at == addr {
			c.wire.mu.Lock()
			c.wire.lost = true
			c.wire.mu.Unlock()
		}
	}
}

// Restore ends a Silence. The connections that were open in it are reset.
func (n *Network) Restore(addr string) {
	n.mu.Lock()
	if back := n.silent[addr]; back != nil {
		close(back)
		delete(n.silent, addr)
	}
	var cut []*Conn
	for c, at := range n.conns {
		if at == addr && c.wire.isLost() {
			cut = append(cut, c)
		}
	}
	n.mu.Unlock()
	for _, c := range cut {
		c.abort()
		c.peer.abort()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range cut {
		if c.isClosed() {
			delete(n.conns, c)
		}
	}
}

// Open is how many connections are open, counted at the side that accepted them.
func (n *Network) Open() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	open := 0
	for c := range n.conns {
		if !c.isClosed() {
			open++
		}
	}
	return open
}

// Listener takes connections at one address.
type Listener struct {
	net     *Network
	at      *net.TCPAddr
	backlog chan *Conn
	ended   chan struct{}

	mu     sync.Mutex
	closed bool // nothing more is queued
}

// offer queues a connection. Where the queue is full nobody answers, as where Linux drops what asks for one.
func (l *Listener) offer(ctx context.Context, c *Conn) error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return syscall.ECONNREFUSED
	}
	select {
	case l.backlog <- c:
		l.mu.Unlock()
		return nil
	default:
	}
	l.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case <-l.ended:
		return nil, fmt.Errorf("accept at %v: %w", l.at, net.ErrClosed)
	default:
	}
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.ended:
		return nil, fmt.Errorf("accept at %v: %w", l.at, net.ErrClosed)
	}
}

// Close stops listening; connections that were not accepted are reset.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	l.net.mu.Lock()
	delete(l.net.listeners, l.at.String())
	l.net.mu.Unlock()
	close(l.ended)
	for {
		select {
		case c := <-l.backlog:
			c.SetLinger(0)
			_ = c.Close()
		default:
			return nil
		}
	}
}

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.at }
