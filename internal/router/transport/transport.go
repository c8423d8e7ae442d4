// Package transport carries messages between routers: encoding/gob over TCP, with one connection for each direction
// between two routers.
//
// Messages to one peer keep their order as long as its connection lasts. Any message may be lost without a sign to
// either side; whoever needs an answer sends the request again. Queues are bounded: messages to a peer that does not
// read are dropped. A connection to a machine that does not respond ends within deadPeerTimeout. What messages mean is
// not known here.
package transport

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLength bounds the messages that wait for one peer.
	queueLength = 256
	// dialTimeout bounds a dial. A machine without power does not answer at all, and one that is back is dialled anew.
	dialTimeout = 300 * time.Millisecond
	// writeTimeout bounds writing what is in the queue to a peer that does not read.
	writeTimeout = 700 * time.Millisecond
	// deadPeerTimeout bounds how long sent bytes may go without the peer's acknowledgement.
	deadPeerTimeout = 700 * time.Millisecond
	// redialDelay is the pause after a dial that did not succeed.
	redialDelay = 50 * time.Millisecond
	// idleTimeout is how long a connection stays open without messages. The receiver waits twice as long.
	idleTimeout = 15 * time.Second
	bufferBytes = 16 << 10
	// keepAliveInterval and keepAliveProbes find a dead peer while nothing is sent.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// Envelope is what is encoded on a connection.
type Envelope struct {
	From string // internal address of the sender
	Body any    // its type is registered with gob
}

// Handler receives a message. It is called from the goroutine of the connection on which the message came, so different
// peers' messages come at the same time. It must not block for long: the connection is not read meanwhile.
type Handler func(from string, body any)

// Codec converts messages to the values that gob encodes, whose types are registered with gob, and back. It is called
// from the goroutines of all connections.
type Codec interface {
	ToWire(message any) any
	FromWire(value any) any
}

// Transport is one router's end of all its connections to others. Make it by New; all methods may be called from any
// goroutine.
type Transport struct {
	self      string
	codec     Codec
	handler   Handler
	sentBytes atomic.Uint64

	mutex       sync.Mutex // guards all below
	peers       map[string]*peer
	connections map[net.Conn]bool
	closed      bool

	done       chan struct{} // closed by Close
	goroutines sync.WaitGroup
}

// peer is a router that messages are sent to.
type peer struct {
	address   string
	queue     chan any
	reconnect atomic.Bool // the connection is to an incarnation that has ended
}

// New returns the transport of the router at an internal address. The handler receives the messages of others once
// Serve runs, and those that the router sends to itself at once.
func New(self string, codec Codec, handler Handler) *Transport {
	return &Transport{self: self, codec: codec, handler: handler, peers: map[string]*peer{}, done: make(chan struct{}),
		connections: map[net.Conn]bool{}}
}

// Serve accepts connections of other routers until the listener or the transport is closed, and returns the error by
// which it ended.
func (t *Transport) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		if !t.track(conn) {
			_ = conn.Close()
			return net.ErrClosed
		}
		t.goroutines.Go(func() { t.receive(conn) })
	}
}

// track adds a connection to those that Close ends; it reports false where the transport is closed.
func (t *Transport) track(conn net.Conn) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.closed {
		t.connections[conn] = true
	}
	return !t.closed
}

// closeConnection ends a connection, which may have ended before. What was written and not read by the peer is lost, as
// any message may be.
func (t *Transport) closeConnection(conn net.Conn) {
	t.mutex.Lock()
	delete(t.connections, conn)
	t.mutex.Unlock()
	_ = conn.Close()
}

// receive passes the messages of a connection to the handler.
func (t *Transport) receive(conn net.Conn) {
	defer t.closeConnection(conn)
	decoder := gob.NewDecoder(bufio.NewReaderSize(conn, bufferBytes))
	for {
		if conn.SetReadDeadline(time.Now().Add(2*idleTimeout)) != nil {
			return
		}
		var e Envelope
		if decoder.Decode(&e) != nil {
			return
		}
		t.handler(e.From, t.codec.FromWire(e.Body))
	}
}

// Send puts a message into the queue to a peer; it is dropped where the queue is full. The message must not be changed
// afterwards. Send never calls the handler itself, also not for what the router sends to itself: callers hold locks
// that the handler acquires.
func (t *Transport) Send(to string, body any) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p := t.peers[to]
	if p == nil {
		if t.closed {
			return
		}
		p = t.addPeer(to)
	}
	select {
	case p.queue <- body:
	default:
	}
}

// addPeer starts the goroutine that empties a peer's queue. The lock is held.
func (t *Transport) addPeer(address string) *peer {
	p := &peer{address: address, queue: make(chan any, queueLength)}
	t.peers[address] = p
	if address == t.self {
		t.goroutines.Go(func() { t.deliverToSelf(p) })
	} else {
		t.goroutines.Go(func() { t.writeQueue(p) })
	}
	return p
}

// Reconnect says that another incarnation of the router at an address has started: what is sent next goes over a new
// connection. The end of the old one may not have been noticed, where a machine lost its power.
func (t *Transport) Reconnect(address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if p := t.peers[address]; p != nil {
		p.reconnect.Store(true)
	}
}

// deliverToSelf passes to the handler what the router sends to itself.
func (t *Transport) deliverToSelf(p *peer) {
	for {
		select {
		case <-t.done:
			return
		case body := <-p.queue:
			t.handler(t.self, body)
		}
	}
}

// writeQueue writes a peer's messages to its connection, until there have been none for idleTimeout.
func (t *Transport) writeQueue(p *peer) {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	var current *connection
	defer func() {
		if current != nil {
			t.closeConnection(current.conn)
		}
	}()
	for {
		select {
		case <-t.done:
			return
		case body := <-p.queue:
			if p.reconnect.Swap(false) && current != nil {
				t.closeConnection(current.conn)
				current = nil
			}
			current = t.write(current, p, body)
			idle.Reset(idleTimeout)
		case <-idle.C:
			if t.removeIdlePeer(p) {
				return
			}
			idle.Reset(idleTimeout)
		}
	}
}

// removeIdlePeer removes a peer unless there is a message for it; it reports whether it did.
func (t *Transport) removeIdlePeer(p *peer) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(t.peers, p.address)
	return true
}

// connection is one to a peer, with the encoder that belongs to it: gob sends each type's description once a
// connection.
type connection struct {
	conn    net.Conn
	writer  *bufio.Writer
	encoder *gob.Encoder
}

// write sends a message and all that wait behind it together, over the current connection or a new one. It returns the
// connection to use next, nil where there is none.
func (t *Transport) write(current *connection, p *peer, body any) *connection {
	if current == nil {
		if current = t.dial(p.address); current == nil {
			t.dropUntilRedial(p)
			return nil
		}
	}
	if err := t.writeAll(current, p, body); err != nil {
		t.closeConnection(current.conn)
		return nil
	}
	return current
}

func (t *Transport) writeAll(current *connection, p *peer, body any) error {
	_ = current.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails on a closed connection alone, as the flush does
	for {
		if err := current.encoder.Encode(Envelope{From: t.self, Body: t.codec.ToWire(body)}); err != nil {
			return err
		}
		select {
		case body = <-p.queue:
		default:
			return current.writer.Flush()
		}
	}
}

// dropUntilRedial waits before the next dial. The messages that came meanwhile are out of date and dropped.
func (t *Transport) dropUntilRedial(p *peer) {
	select {
	case <-t.done:
	case <-time.After(redialDelay):
	}
	for {
		select {
		case <-p.queue:
		default:
			return
		}
	}
}

// dial returns a connection to a router, or nil.
func (t *Transport) dial(address string) *connection {
	dialer := net.Dialer{Timeout: dialTimeout, Control: UserTimeout(deadPeerTimeout), KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil
	}
	if !t.track(conn) {
		_ = conn.Close()
		return nil
	}
	t.goroutines.Go(func() { t.closeWithPeer(conn) })
	writer := bufio.NewWriterSize(&countingWriter{conn: conn, total: &t.sentBytes}, bufferBytes)
	return &connection{conn: conn, writer: writer, encoder: gob.NewEncoder(writer)}
}

// closeWithPeer closes a connection as soon as its peer does. The peer never writes to it, so a read ends with the
// connection alone.
func (t *Transport) closeWithPeer(conn net.Conn) {
	var unused [1]byte
	_, _ = conn.Read(unused[:])
	t.closeConnection(conn)
}

// SentBytes returns how many bytes were sent to other routers.
func (t *Transport) SentBytes() uint64 { return t.sentBytes.Load() }

// Close ends all connections and waits for the goroutines that read and write them. The handler is not called after it
// returns. The listener of Serve stays the caller's.
func (t *Transport) Close() {
	t.mutex.Lock()
	if t.closed {
		t.mutex.Unlock()
		return
	}
	t.closed = true
	close(t.done)
	for conn := range t.connections {
		_ = conn.Close()
	}
	t.mutex.Unlock()
	t.goroutines.Wait()
}

// countingWriter writes to a connection and counts the bytes.
type countingWriter struct {
	conn  net.Conn
	total *atomic.Uint64
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.conn.Write(p)
	w.total.Add(uint64(n))
	return n, err
}
