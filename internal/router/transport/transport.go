// Package transport carries messages between routers: encoding/gob over TCP, with one connection for each direction
// between two routers.
//
// Messages to one peer keep their order as long as the connection lasts. Any message may be lost without notice to
// either side; a sender that needs an answer repeats its request. Queues are bounded: messages to a peer that does not
// read are dropped. A connection to a machine that does not respond is closed within deadPeerTimeout. The package does
// not interpret the messages.
package transport

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"petrelhook/internal/common/clientlimit"
)

const (
	// queueLength is the maximum number of messages that wait for one peer.
	queueLength = 256
	// dialTimeout limits a dial. A machine without power does not answer at all, and a machine that has come back is
	// dialled again.
	dialTimeout = 300 * time.Millisecond
	// writeTimeout limits writing the queued messages to a peer that does not read.
	writeTimeout = 700 * time.Millisecond
	// deadPeerTimeout limits how long sent bytes may stay unacknowledged by the peer.
	deadPeerTimeout = 700 * time.Millisecond
	// redialDelay is the pause after a failed dial.
	redialDelay = 50 * time.Millisecond
	// idleTimeout is how long a connection stays open without messages. The receiver waits twice as long.
	idleTimeout = 15 * time.Second
	bufferBytes = 16 << 10
	// keepAliveInterval and keepAliveProbes detect a dead peer while nothing is sent.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// Envelope is the value that is encoded on a connection, once for each message.
type Envelope struct {
	From string // internal address of the sender
	Body any    // its type is registered with gob
}

// Handler receives a message. It is called from the goroutine of the connection on which the message arrived, so it is
// called concurrently for different peers. It must not block for long, because the connection is not read meanwhile.
type Handler func(from string, body any)

// Codec converts messages to the values that gob encodes, whose types are registered with gob, and back. Its methods
// are called concurrently from the goroutines of all connections.
type Codec interface {
	ToWire(message any) any
	FromWire(value any) any
}

// Transport is one router's end of all its connections to other routers. Create it with New; all methods may be called
// from any goroutine.
type Transport struct {
	self      string
	codec     Codec
	handler   Handler
	limits    Limits
	inbound   inbound
	sentBytes atomic.Uint64

	mutex       sync.Mutex // guards peers, connections and closed
	peers       map[string]*peer
	connections map[net.Conn]bool
	closed      bool

	done       chan struct{} // closed by Close
	goroutines sync.WaitGroup
}

// Limits bound what other processes can make a router use at its internal address. 0 means no limit.
type Limits struct {
	Connections  int                 // that are open
	MessageBytes int64               // of one message
	Memory       *clientlimit.Memory // of all messages that arrive; nil: unlimited
}

// unlimitedMessageBytes is the longest message where there is no limit: gob accepts no longer one.
const unlimitedMessageBytes = 1 << 30

// New returns the transport of the router with internal address self. The handler receives messages of other routers
// once Serve runs, and those that the router sends to itself immediately.
func New(self string, codec Codec, handler Handler, limits Limits) *Transport {
	if limits.Memory == nil {
		limits.Memory = clientlimit.NewMemory(0)
	}
	if limits.MessageBytes == 0 {
		limits.MessageBytes = unlimitedMessageBytes
	}
	return &Transport{self: self, codec: codec, handler: handler, limits: limits, peers: map[string]*peer{}, done: make(chan struct{}),
		inbound: inbound{limit: limits.Connections, conns: map[net.Conn]*inboundConn{}}, connections: map[net.Conn]bool{}}
}

// track adds a connection to those that Close closes; it returns false if the transport is closed.
func (t *Transport) track(conn net.Conn) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.closed {
		t.connections[conn] = true
	}
	return !t.closed
}

// closeConnection closes a connection, which may already be closed. Messages that were written and not yet read by the
// peer are lost, which is allowed for any message.
func (t *Transport) closeConnection(conn net.Conn) {
	t.mutex.Lock()
	delete(t.connections, conn)
	t.mutex.Unlock()
	_ = conn.Close()
}

// SentBytes returns the number of bytes sent to other routers.
func (t *Transport) SentBytes() uint64 { return t.sentBytes.Load() }

// Close closes all connections and waits for the goroutines that read and write them. The handler is not called after
// Close returns. Close does not close the listener that was passed to Serve.
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
