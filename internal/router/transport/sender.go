package transport

import (
	"sync/atomic"
	"time"
)

// peer is a router that messages are sent to.
type peer struct {
	address   string
	queue     chan any
	reconnect atomic.Bool // the connection is to an incarnation that has ended
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
