// Package transport carries messages between sidecars: gob over TCP, one connection for each direction between two
// sidecars. Messages to one peer keep their order, as long as its connection lasts; any may be lost, and whoever needs an
// answer asks again.
//
// Queues are bounded: where a peer does not read, what is sent to it is dropped. A connection whose peer's machine
// says nothing ends within deadPeer.
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
	queueLength     = 256
	dialTimeout     = 300 * time.Millisecond // a machine without power says nothing; one that is back is dialled anew
	writeTimeout    = 700 * time.Millisecond
	deadPeerTimeout = 700 * time.Millisecond
	redialDelay     = 50 * time.Millisecond
	idleTimeout     = 15 * time.Second
	bufferBytes     = 16 << 10
)

// Envelope is what goes over a connection.
type Envelope struct {
	From string // internal address of the sender
	Body any    // its type is registered with gob
}

// Handler takes in a message. It must not block for long.
type Handler func(from string, body any)

// Codec converts messages to the values that gob encodes, whose types are registered with gob, and back. It is called from the
// goroutines of all connections.
type Codec interface {
	ToWire(message any) any
	FromWire(value any) any
}

// Transport is one sidecar's end of all its connections to others.
type Transport struct {
	self      string
	codec     Codec
	handler   Handler
	sentBytes atomic.Uint64

	mutex      sync.Mutex
	peers      map[string]*peer
	closed     bool
	done       chan struct{}
	goroutines sync.WaitGroup
	conns      map[net.Conn]bool
}

type peer struct {
	address   string
	queue     chan any
	reconnect atomic.Bool // the connection is to a process that has ended
}

// New makes a transport for the sidecar at an internal address.
func New(self string, codec Codec, handler Handler) *Transport {
	return &Transport{self: self, codec: codec, handler: handler, peers: map[string]*peer{}, done: make(chan struct{}), conns: map[net.Conn]bool{}}
}

// Serve takes connections of others until the listener ends.
func (t *Transport) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		if !t.track(conn) {
			conn.Close()
			return net.ErrClosed
		}
		t.goroutines.Go(func() { t.receive(conn) })
	}
}

func (t *Transport) track(conn net.Conn) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.closed {
		t.conns[conn] = true
	}
	return !t.closed
}

func (t *Transport) forget(conn net.Conn) {
	t.mutex.Lock()
	delete(t.conns, conn)
	t.mutex.Unlock()
	conn.Close()
}

func (t *Transport) receive(conn net.Conn) {
	defer t.forget(conn)
	decoder := gob.NewDecoder(bufio.NewReaderSize(conn, bufferBytes))
	for {
		conn.SetReadDeadline(time.Now().Add(2 * idleTimeout))
		var e Envelope
		if decoder.Decode(&e) != nil {
			return
		}
		t.handler(e.From, t.codec.FromWire(e.Body))
	}
}

// Send puts a message in the queue to a peer; it is dropped where the queue is full. It never calls the handler itself, also
// where the sidecar sends to itself, since callers hold locks that the handler takes.
func (t *Transport) Send(to string, body any) {
	t.mutex.Lock()
	p := t.peers[to]
	if p == nil && !t.closed {
		p = &peer{address: to, queue: make(chan any, queueLength)}
		t.peers[to] = p
		if to == t.self {
			t.goroutines.Go(func() { t.deliverToSelf(p) })
		} else {
			t.goroutines.Go(func() { t.writeQueue(p) })
		}
	}
	if p != nil {
		select {
		case p.queue <- body:
		default:
		}
	}
	t.mutex.Unlock()
}

// Reconnect says that the process at an address is another one than before: what is sent next goes over a new connection. The old one
// may not have noticed, where a machine lost its power.
func (t *Transport) Reconnect(address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if p := t.peers[address]; p != nil {
		p.reconnect.Store(true)
	}
}

// deliverToSelf hands over what the sidecar sends to itself.
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

// writeQueue writes a peer's queue until it has been idle for long.
func (t *Transport) writeQueue(p *peer) {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	var link *link
	defer func() {
		if link != nil {
			t.forget(link.conn)
		}
	}()
	for {
		select {
		case <-t.done:
			return
		case body := <-p.queue:
			if p.reconnect.Swap(false) && link != nil {
				t.forget(link.conn)
				link = nil
			}
			link = t.write(link, p, body)
			idle.Reset(idleTimeout)
		case <-idle.C:
			t.mutex.Lock()
			empty := len(p.queue) == 0
			if empty {
				delete(t.peers, p.address)
			}
			t.mutex.Unlock()
			if empty {
				return
			}
			idle.Reset(idleTimeout)
		}
	}
}

type link struct {
	conn    net.Conn
	writer  *bufio.Writer
	encoder *gob.Encoder
}

// write writes a message and what waits behind it in one go.
func (t *Transport) write(current *link, p *peer, body any) *link {
	if current == nil {
		if current = t.dial(p.address); current == nil {
			t.dropUntilRedial(p)
			return nil
		}
	}
	current.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := current.encoder.Encode(Envelope{From: t.self, Body: t.codec.ToWire(body)})
	for more := true; err == nil && more; {
		select {
		case next := <-p.queue:
			err = current.encoder.Encode(Envelope{From: t.self, Body: t.codec.ToWire(next)})
		default:
			more = false
		}
	}
	if err == nil {
		err = current.writer.Flush()
	}
	if err != nil {
		t.forget(current.conn)
		return nil
	}
	return current
}

// dropUntilRedial waits before the next dial; what came meanwhile is old and dropped.
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

func (t *Transport) dial(address string) *link {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
	}, Control: userTimeout(deadPeerTimeout)}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil
	}
	if !t.track(conn) {
		conn.Close()
		return nil
	}
	t.goroutines.Go(func() { t.closeWithPeer(conn) })
	counted := &countingWriter{conn: conn, total: &t.sentBytes}
	writer := bufio.NewWriterSize(counted, bufferBytes)
	return &link{conn: conn, writer: writer, encoder: gob.NewEncoder(writer)}
}

// closeWithPeer closes a connection as soon as its peer does: nothing is ever read from it.
func (t *Transport) closeWithPeer(conn net.Conn) {
	var one [1]byte
	conn.Read(one[:])
	t.forget(conn)
}

// SentBytes is how many bytes were sent.
func (t *Transport) SentBytes() uint64 { return t.sentBytes.Load() }

// Close ends all connections and waits for what reads and writes them.
func (t *Transport) Close() {
	t.mutex.Lock()
	if t.closed {
		t.mutex.Unlock()
		return
	}
	t.closed = true
	close(t.done)
	for conn := range t.conns {
		conn.Close()
	}
	t.mutex.Unlock()
	t.goroutines.Wait()
}

type countingWriter struct {
	conn  net.Conn
	total *atomic.Uint64
}

// Write implements io.Writer, and counts.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.conn.Write(p)
	w.total.Add(uint64(n))
	return n, err
}
