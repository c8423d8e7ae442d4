package transport

import (
	"sync/atomic"
	"time"
)

// peer is a router with a queue of messages to it.
type peer struct {
	address   string
	queue     chan any
	reconnect atomic.Bool   // the connection belongs to an incarnation that has ended; set with Transport.mutex held
	restarted chan struct{} // receives a value when reconnect is set; it has room for one
}

// Send appends a message to the queue of a peer, or drops it if the queue is full. The caller must not change the
// message afterwards. Send never calls the handler itself, not even for messages of the router to itself, because
// callers hold locks that the handler acquires.
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

// addPeer adds a peer and starts the goroutine that empties its queue. The caller holds t.mutex.
func (t *Transport) addPeer(address string) *peer {
	p := &peer{address: address, queue: make(chan any, queueLength), restarted: make(chan struct{}, 1)}
	t.peers[address] = p
	if address == t.self {
		t.goroutines.Go(func() { t.deliverToSelf(p) })
	} else {
		t.goroutines.Go(func() { t.writeQueue(p) })
	}
	return p
}

// Reconnect tells the transport that a new incarnation of the router at an address has started: the next message to it
// goes over a new connection, at once if the transport waits to dial it again. The end of the old connection may have gone
// unnoticed, for instance if the machine lost power.
func (t *Transport) Reconnect(address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if p := t.peers[address]; p != nil {
		p.reconnect.Store(true)
		select {
		case p.restarted <- struct{}{}:
		default:
		}
	}
}

// deliverToSelf passes the messages that the router sends to itself to the handler.
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

// writeQueue writes a peer's messages to its connection, and returns after idleTimeout without a message.
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

// removeIdlePeer removes a peer if its queue is empty, and reports whether it did.
func (t *Transport) removeIdlePeer(p *peer) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(t.peers, p.address)
	return true
}

// write sends a message together with all messages that are queued behind it, over the current connection or a new one.
// It returns the connection to use next, or nil if there is none.
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
	_ = current.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as the flush does
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

// dropUntilRedial waits for redialDelay and then drops the queued messages, which are out of date by then. If Reconnect is called
// meanwhile it returns at once and drops nothing, because messages to the new incarnation may be among them.
func (t *Transport) dropUntilRedial(p *peer) {
	select {
	case <-t.done:
	case <-p.restarted:
	case <-time.After(redialDelay):
	}
	t.mutex.Lock() // Reconnect and Send acquire it too: no message that follows a Reconnect is dropped
	defer t.mutex.Unlock()
	for !p.reconnect.Load() {
		select {
		case <-p.queue:
		default:
			return
		}
	}
}
