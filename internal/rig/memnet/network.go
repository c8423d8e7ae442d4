// Package memnet is a network in memory: listeners and connections that behave like TCP on loopback as far as the sidecar can
// observe, with a delay on every delivery, and machines that can be isolated.
//
// With it a complete sidecar with its clients, servers and discovery runs inside a testing/synctest bubble, in which time is virtual
// and passes only when all goroutines wait. Every wait here is one that synctest understands (a sync.Cond or a channel), and no two
// deliveries happen at the same instant, so the effects of one are complete before the next: the same run gives the same result.
//
// It models of TCP: segments in order, a half close, a reset if a side closes with unread bytes or is written to after its close, a
// bounded buffer that blocks the writer, refused connections. It does not model loss, reordering, bandwidth or SYN retransmission.
package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Network is a set of listeners and connections that can reach one another. It is safe for concurrent use.
type Network struct {
	latency time.Duration // one way

	mu         sync.Mutex
	listeners  map[string]*acceptQueue
	isolated   map[string]chan struct{} // by address; closed when the machine is restored
	conns      map[*Conn]string         // the accepting sides that are open, with the address that was dialled
	lastPort   int                      // of listeners
	lastClient int                      // the number of the last connection
	deliveries int64
}

// New makes a network on which each delivery takes the latency and some nanoseconds that are different for each.
func New(latency time.Duration) *Network {
	return &Network{
		latency: latency, listeners: map[string]*acceptQueue{}, isolated: map[string]chan struct{}{},
		conns: map[*Conn]string{}, lastPort: 20000,
	}
}

// nextDelay is the delay of the next delivery. Deliveries that start at the same time have different ones.
func (n *Network) nextDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.deliveries++
	return n.latency + time.Duration(n.deliveries%9973) // a prime, so that the pattern does not coincide with that of a load
}

// Listen listens at a host:port; port 0 means a free one. An address in use is an error, as with TCP.
func (n *Network) Listen(addr string) (net.Listener, error) {
	at, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if at.Port == 0 {
		at.Port = n.freePort()
	}
	if n.listeners[at.String()] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: at, Err: syscall.EADDRINUSE}
	}
	q := &acceptQueue{network: n, addr: at, backlog: make(chan *Conn, backlog), open: 1}
	n.listeners[at.String()] = q
	return q.listener(), nil
}

// freePort returns a port that no listener had before. The caller holds mu.
func (n *Network) freePort() int {
	n.lastPort++
	return n.lastPort
}

// ReserveAddr returns an address that Listen gives nobody else by itself.
func (n *Network) ReserveAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return fmt.Sprintf("127.0.0.1:%d", n.freePort())
}

// backlog is the number of connections that may wait to be accepted; further ones get no answer, as when Linux drops them.
const backlog = 4096

// Dial connects to a listener, as net.Dialer.DialContext does. Without a listener the connection is refused; to an isolated machine
// Dial waits for ctx, and is reset when the machine is restored.
func (n *Network) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	at, err := net.ResolveTCPAddr(network, addr)
	if err != nil {
		return nil, err
	}
	opError := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: network, Addr: at, Err: err}
	}
	if err := sleep(ctx, n.nextDelay()); err != nil {
		return opError(err)
	}
	n.mu.Lock()
	restored := n.isolated[at.String()]
	queue := n.listeners[at.String()]
	n.mu.Unlock()
	if restored != nil {
		select {
		case <-ctx.Done():
			return opError(ctx.Err())
		case <-restored:
			return opError(syscall.ECONNRESET)
		}
	}
	if queue == nil {
		if err := sleep(ctx, n.nextDelay()); err != nil {
			return opError(err)
		}
		return opError(syscall.ECONNREFUSED)
	}
	client, server := n.pair(at)
	if err := queue.enqueue(ctx, server); err != nil {
		_ = server.Close()
		return opError(err)
	}
	if err := sleep(ctx, n.nextDelay()); err != nil {
		_ = client.Close()
		return opError(err)
	}
	return client, nil
}

// sleep waits for a duration, or until ctx ends.
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

// The ports of the dialling sides of connections, which are used in turn. Listeners have those below.
const (
	firstClientPort = 32768
	clientPorts     = 28232
)

// Pipe returns the two sides of a connection that no listener accepts, such as one between two processes of a machine.
func (n *Network) Pipe() (one, other net.Conn) {
	return n.pair(&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1})
}

// pair makes the two sides of a connection to an address.
func (n *Network) pair(at *net.TCPAddr) (client, server *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastClient++
	from := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: firstClientPort + n.lastClient%clientPorts}
	state := &connState{}
	state.changed.L = &state.mu
	client = &Conn{network: n, state: state, local: from, remote: at}
	server = &Conn{network: n, state: state, local: at, remote: from}
	client.peer, server.peer = server, client
	n.conns[server] = at.String()
	return client, server
}

// Isolate partitions the machine at addr from all others: what is written to it or by it is lost, and connections to it get no answer.
func (n *Network) Isolate(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated[addr] == nil {
		n.isolated[addr] = make(chan struct{})
	}
	for c, at := range n.conns {
		if at == addr {
			c.state.mu.Lock()
			c.state.isolated = true
			c.state.mu.Unlock()
		}
	}
}

// Restore ends an Isolate. Connections that were open during it are reset.
func (n *Network) Restore(addr string) {
	n.mu.Lock()
	if restored := n.isolated[addr]; restored != nil {
		close(restored)
		delete(n.isolated, addr)
	}
	var isolated []*Conn
	for c, at := range n.conns {
		if at == addr && c.state.isIsolated() {
			isolated = append(isolated, c)
		}
	}
	n.mu.Unlock()
	for _, c := range isolated {
		c.abort()
		c.peer.abort()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range isolated {
		if c.isClosed() {
			delete(n.conns, c)
		}
	}
}

// Open is the number of open connections, counted at the accepting side.
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

// acceptQueue is what listeners at one address accept connections from: the first one and its duplicates. Its mu guards its fields.
type acceptQueue struct {
	network *Network
	addr    *net.TCPAddr
	backlog chan *Conn

	mu     sync.Mutex
	open   int  // listeners that are not closed
	closed bool // no more connections are queued: no listener is open
}

// enqueue queues a connection. If the queue is full it waits for ctx, as a client does whose SYN Linux drops.
func (q *acceptQueue) enqueue(ctx context.Context, c *Conn) error {
	q.mu.Lock()
	if q.closed {
		q.mu.Unlock()
		return syscall.ECONNREFUSED
	}
	select {
	case q.backlog <- c:
		q.mu.Unlock()
		return nil
	default:
	}
	q.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

// release ends one listener. The last one stops listening; connections that were not accepted are reset.
func (q *acceptQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.open--; q.open > 0 {
		return
	}
	q.closed = true
	q.network.mu.Lock()
	delete(q.network.listeners, q.addr.String())
	q.network.mu.Unlock()
	for {
		select {
		case c := <-q.backlog:
			_ = c.SetLinger(0) // it has no error
			_ = c.Close()
		default:
			return
		}
	}
}

// Listener accepts connections at one address.
type Listener struct {
	queue *acceptQueue
	done  chan struct{}
	close func() // once
}

// listener returns a listener of the queue. The caller counts it in open.
func (q *acceptQueue) listener() *Listener {
	l := &Listener{queue: q, done: make(chan struct{})}
	l.close = sync.OnceFunc(func() {
		close(l.done)
		q.release()
	})
	return l
}

// Duplicate returns another listener of the same queue, as a process has that was passed the socket: each connection is accepted by one of
// them, and none is lost when either is closed. It fails if the queue has no open listener.
func (l *Listener) Duplicate() (*Listener, error) {
	l.queue.mu.Lock()
	defer l.queue.mu.Unlock()
	if l.queue.closed {
		return nil, fmt.Errorf("duplicate the listener at %v: %w", l.queue.addr, net.ErrClosed)
	}
	l.queue.open++
	return l.queue.listener(), nil
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case <-l.done:
		return nil, fmt.Errorf("accept at %v: %w", l.queue.addr, net.ErrClosed)
	default:
	}
	select {
	case c := <-l.queue.backlog:
		return c, nil
	case <-l.done:
		return nil, fmt.Errorf("accept at %v: %w", l.queue.addr, net.ErrClosed)
	}
}

// Close stops listening.
func (l *Listener) Close() error {
	l.close()
	return nil
}

// Addr is the address at which it listens.
func (l *Listener) Addr() net.Addr { return l.queue.addr }
