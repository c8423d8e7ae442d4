// Package transport carries messages between routers: encoding/gob over TCP, with one connection for each direction
// between two routers.
//
// Messages to one peer keep their order as long as its connection lasts. Any message may be lost without a sign to
// either side; whoever needs an answer sends the request again. Queues are bounded: messages to a peer that does not
// read are dropped. A connection to a machine that does not respond ends within deadPeerTimeout. What messages mean is
// not known here.
package transport

import (
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

// New returns the transport of the router at an internal address. The handler receives the messages of others once
// Serve runs, and those that the router sends to itself at once.
func New(self string, codec Codec, handler Handler) *Transport {
	return &Transport{self: self, codec: codec, handler: handler, peers: map[string]*peer{}, done: make(chan struct{}),
		connections: map[net.Conn]bool{}}
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
