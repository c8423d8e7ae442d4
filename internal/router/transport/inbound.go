package transport

import (
	"net"
	"sync"
	"time"
)

// firstMessageGrace is the time in which a connection without a message is not closed for another one.
const firstMessageGrace = time.Second

// inbound bounds the connections of other routers. Its methods may be called from any goroutine.
type inbound struct {
	limit int // 0: unlimited

	mutex     sync.Mutex
	conns     map[net.Conn]*inboundConn
	refused   uint64
	displaced uint64
}

// inboundConn is what is known of a connection.
type inboundConn struct {
	lastMessage time.Time // or when the connection was accepted
	used        bool      // a message has come
}

// admit adds a connection, in the place of another one where necessary: one without a message, else the one whose last message is the
// oldest. It reports whether there was room.
func (i *inbound) admit(conn net.Conn) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	if i.limit > 0 && len(i.conns) >= i.limit {
		other := i.leastUseful(now)
		if other == nil {
			i.refused++
			return false
		}
		i.displaced++
		delete(i.conns, other)
		_ = other.Close()
	}
	i.conns[conn] = &inboundConn{lastMessage: now}
	return true
}

// leastUseful returns the connection to close for a new one, or nil. The caller holds the mutex.
func (i *inbound) leastUseful(now time.Time) (worst net.Conn) {
	var last *inboundConn
	for conn, c := range i.conns {
		if now.Sub(c.lastMessage) < firstMessageGrace {
			continue
		}
		if last == nil || (last.used && !c.used) || (last.used == c.used && c.lastMessage.Before(last.lastMessage)) {
			worst, last = conn, c
		}
	}
	return worst
}

// received records that a message has come.
func (i *inbound) received(conn net.Conn) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if c := i.conns[conn]; c != nil {
		c.lastMessage, c.used = time.Now(), true
	}
}

// remove removes a connection that is closed.
func (i *inbound) remove(conn net.Conn) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	delete(i.conns, conn)
}

// InboundCounts returns the numbers of connections, since the start, that were refused and that were closed for others.
func (t *Transport) InboundCounts() (refused, displaced uint64) {
	t.inbound.mutex.Lock()
	defer t.inbound.mutex.Unlock()
	return t.inbound.refused, t.inbound.displaced
}
