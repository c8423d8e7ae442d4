package clientlimit

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"petrelhook/internal/common/sock"
)

const (
	// maxRejecting is how many connections may be rejected with a response at the same time; further ones are closed at once.
	maxRejecting = 8
	// rejectTimeout bounds the rejection of one connection, and maxRejectedBytes what is read of it meanwhile.
	rejectTimeout    = 500 * time.Millisecond
	maxRejectedBytes = 64 << 10
	// otherHostsPart is the part of the connections, as a divisor, that no single IP address gets.
	otherHostsPart = 8
	// idleGrace is the time in which a connection whose response has ended is not closed for a new one.
	idleGrace = 200 * time.Millisecond
)

// rejection is the response to a connection for which there is no room.
const rejection = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// ConnCounts are totals of a listener since its start.
type ConnCounts struct {
	Refused    uint64 // connections for which there was no room
	Displaced  uint64 // connections that were closed for new ones
	Unreadable uint64 // heads that were refused because they were too long or no memory was left for them
}

// Listener bounds the open connections of an HTTP server. Its methods may be called from any goroutine.
type Listener struct {
	net.Listener
	// SendBuffers lends buffers for long responses; nil: none are needed. It is set before the first Accept.
	SendBuffers *sock.SendBuffers

	limit     int
	memory    *Memory
	timeouts  func() RequestLimits
	rejecting chan struct{} // semaphore: holds a value for each connection that is being rejected

	mutex     sync.Mutex
	conns     map[*Conn]bool
	byHost    map[string]int  // open connections by the IP address of the client
	addresses map[string]bool // of refused and displaced connections, at most maxAddresses, since the last TakeAddresses

	refused, displaced, unreadable atomic.Uint64
}

// RequestLimits are those that a configuration sets. 0 means none.
type RequestLimits struct {
	HeadBytes   int
	HeadTimeout time.Duration // for the bytes of a head after the first
	IdleTimeout time.Duration // of a connection that has had a request
}

// NewListener returns a listener that keeps at most limit connections of another one open. Long heads of requests reserve memory. limits
// returns the limits in force; it is called from the goroutines of the connections, often.
func NewListener(listener net.Listener, limit int, memory *Memory, limits func() RequestLimits) *Listener {
	return &Listener{Listener: listener, limit: limit, memory: memory, timeouts: limits, rejecting: make(chan struct{}, maxRejecting),
		conns: map[*Conn]bool{}, byHost: map[string]int{}, addresses: map[string]bool{}}
}

// Counts returns the totals.
func (l *Listener) Counts() ConnCounts {
	return ConnCounts{Refused: l.refused.Load(), Displaced: l.displaced.Load(), Unreadable: l.unreadable.Load()}
}

// maxAddresses bounds the addresses that are counted.
const maxAddresses = 1024

// TakeAddresses returns from how many addresses connections were refused or displaced since the last call, 1024 at most.
func (l *Listener) TakeAddresses() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := len(l.addresses)
	clear(l.addresses)
	return count
}

// noteAddress counts the address of a connection that is refused or displaced. The caller holds the mutex.
func (l *Listener) noteAddress(host string) {
	if len(l.addresses) < maxAddresses {
		l.addresses[host] = true
	}
}

// hostOf returns the IP address of a client; empty if it has none.
func hostOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

// Open returns how many connections are open.
func (l *Listener) Open() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.conns)
}

// Accept implements net.Listener. It returns the next connection for which there is room, a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: conn, listener: l, host: hostOf(conn), cancel: func() {}}
		c.sendBuffer.Init(l.SendBuffers)
		c.enter(stateNew)
		if l.admit(c) {
			return c, nil
		}
		l.refused.Add(1)
		select {
		case l.rejecting <- struct{}{}:
			go func() {
				reject(conn)
				<-l.rejecting
			}()
		default:
			_ = conn.Close()
		}
	}
}

// admit adds a connection to the open ones, in the place of another one where necessary, and reports whether there was room.
func (l *Listener) admit(c *Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.isFullFor(c.host) {
		other := l.leastUseful(c.host)
		if other == nil {
			other = l.oldestOfLargestShare(c.host)
		}
		if other == nil {
			l.noteAddress(c.host)
			return false
		}
		l.noteAddress(other.host)
		l.forget(other)
		l.displaced.Add(1)
		other.displace() // net/http notices that, and calls Conn.Close
	}
	l.conns[c] = true
	l.byHost[c.host]++
	return true
}

// isFullFor reports whether there is no room for a connection of a host, which others have to leave. The caller holds the mutex.
func (l *Listener) isFullFor(host string) bool {
	return len(l.conns) >= l.limit || l.byHost[host] >= l.hostLimit()
}

// hostLimit returns how many connections one host may have, so that there is room for other hosts whatever it does with them.
func (l *Listener) hostLimit() int { return l.limit - l.limit/otherHostsPart }

// forget removes a connection from the open ones. The caller holds the mutex.
func (l *Listener) forget(c *Conn) {
	if !l.conns[c] {
		return
	}
	delete(l.conns, c)
	if l.byHost[c.host]--; l.byHost[c.host] == 0 {
		delete(l.byHost, c.host)
	}
}

// oldestOfLargestShare returns the connection that may be closed for a new one of a host though it makes progress: of the host with the most
// connections, if it has at least two more than the other one, that one whose request has been arriving for longest. It returns nil if there
// is none. The caller holds the mutex.
func (l *Listener) oldestOfLargestShare(newHost string) (oldest *Conn) {
	largest := l.byHost[newHost] + 1
	host := ""
	for h, count := range l.byHost {
		if count > largest {
			host, largest = h, count
		}
	}
	if largest == l.byHost[newHost]+1 {
		return nil
	}
	for c := range l.conns {
		if c.host == host && c.isArriving() && (oldest == nil || c.entered.Load() < oldest.entered.Load()) {
			oldest = c
		}
	}
	return oldest
}

// leastUseful returns the connection that may be closed for a new one of a host, or nil. A host that has more than half of all connections
// takes the place of no one else's that rests or is slow, and one that has all that a host may have takes that of its own. The caller holds
// the mutex.
func (l *Listener) leastUseful(newHost string) (worst *Conn) {
	hasMost := l.byHost[newHost] > l.limit/2
	hasAll := l.byHost[newHost] >= l.hostLimit()
	now := time.Now()
	var worstRank usefulness
	var worstTime time.Duration
	for c := range l.conns {
		rank, elapsed := c.usefulness(now)
		if rank == useful || rank < worstRank || (rank == worstRank && elapsed <= worstTime) {
			continue
		}
		if c.host != newHost && (hasAll || hasMost && (rank == hasRested || rank == slowSending)) {
			continue
		}
		if !c.mayBeDisplaced(rank, elapsed) {
			continue
		}
		worst, worstRank, worstTime = c, rank, elapsed
	}
	return worst
}

// remove removes a connection that is closed.
func (l *Listener) remove(c *Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.forget(c)
}

// reject answers that there is no room and closes the connection. Before that it reads what the client sends, for a bounded time, because
// closing a connection with unread bytes sends a reset, which can discard the response.
func reject(conn net.Conn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(rejectTimeout))
	io.WriteString(conn, rejection)
	if half, ok := conn.(closeWriter); ok {
		_ = half.CloseWrite() // the connection is closed in any case
	}
	_, _ = io.CopyN(io.Discard, conn, maxRejectedBytes) // up to the deadline
}

// closeWriter is a connection whose sending side can be closed separately.
type closeWriter interface{ CloseWrite() error }
