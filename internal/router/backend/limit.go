package backend

import (
	"sync"
	"time"

	"petrelhook/internal/common/sock"
)

// Connections bounds what the connections of all pools of a process use of its machine. Its methods may be called from any goroutine, and
// without the lock of a pool.
type Connections struct {
	limit       int // of open connections
	bufferBytes int // of each of the kernel's two buffers of a connection; 0: the kernel chooses
	sendBuffers *sock.SendBuffers

	mutex sync.Mutex
	open  int
	pools map[*Pool]int // open connections of each; pools with none are left out
}

// NewConnections returns a bound on the number of connections and on the kernel's buffers of each of them, in bytes; 0: the kernel chooses.
// Requests that do not fit borrow one of sendBuffers; nil: there are none.
func NewConnections(limit, bufferBytes int, sendBuffers *sock.SendBuffers) *Connections {
	return &Connections{limit: limit, bufferBytes: bufferBytes, sendBuffers: sendBuffers, pools: map[*Pool]int{}}
}

// acquire reserves a connection of a pool and reports whether that was possible. Where none is left, it closes the connection of any pool
// that has been idle for longest.
func (c *Connections) acquire(p *Pool) bool {
	for !c.tryAcquire(p) {
		idle, from := c.longestIdle()
		if idle == nil {
			return false
		}
		from.discard(idle)
	}
	return true
}

// tryAcquire reserves a connection of a pool if one is left.
func (c *Connections) tryAcquire(p *Pool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.open >= c.limit {
		return false
	}
	c.open++
	c.pools[p]++
	return true
}

// longestIdle takes the connection that has been idle for longest from its pool. It returns nil if none is idle.
func (c *Connections) longestIdle() (idle *conn, from *Pool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var since time.Time
	for p := range c.pools {
		if idleSince, ok := p.idleSince(); ok && (from == nil || idleSince.Before(since)) {
			from, since = p, idleSince
		}
	}
	if from != nil {
		idle = from.takeLongestIdle()
	}
	return idle, from
}

// release returns a connection of a pool.
func (c *Connections) release(p *Pool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open--
	if c.pools[p]--; c.pools[p] == 0 {
		delete(c.pools, p)
	}
}

// idleSince returns since when the connection has been idle that has been idle for longest.
func (p *Pool) idleSince() (since time.Time, ok bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) == 0 {
		return time.Time{}, false
	}
	return p.idle[0].idleSince, true
}

// takeLongestIdle removes and returns the connection that has been idle for longest, or nil. It still counts as open.
func (p *Pool) takeLongestIdle() *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[0]
	p.idle = append(p.idle[:0], p.idle[1:]...)
	return c
}
