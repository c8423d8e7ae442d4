package wiring

import (
	"sync"

	"petrelhook/internal/sidecar/lifecycle"
)

// resourceLimits limits the connections and the memory of a process. While the sidecar has other processes, these resources are divided among
// them. All methods may be called from any goroutine.
type resourceLimits struct {
	total lifecycle.ConnectionShare // allowed while this is the only process
	// inUse returns the connections that are open.
	inUse func() lifecycle.ConnectionShare
	// setConnections allows no new connections beyond a share. Those that are open stay open.
	setConnections func(lifecycle.ConnectionShare)
	// setMemoryShared sets whether another process uses a part of the memory.
	setMemoryShared func(shared bool)

	mu      sync.Mutex
	current lifecycle.ConnectionShare // of this process
	others  int                       // processes that have the remaining shares
}

// joinPredecessor limits this process to the share that its predecessor gave it, until otherEnded is called.
func (l *resourceLimits) joinPredecessor(share lifecycle.ConnectionShare) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others++
	l.set(share)
	l.setMemoryShared(true)
}

// shareWithSuccessor returns the share of a successor, and limits this process to what remains, until otherEnded is called.
func (l *resourceLimits) shareWithSuccessor() (next lifecycle.ConnectionShare) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others++
	before := l.current
	half, _ := before.Divide(lifecycle.ConnectionShare{})
	l.set(half) // connections that are opened from now on find room in the share of this process
	own, next := before.Divide(l.inUse())
	l.set(own)
	l.setMemoryShared(true)
	return next
}

// otherEnded is called when another process has ended, or has got no share after all. The last one leaves its resources to this process.
func (l *resourceLimits) otherEnded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others--
	if l.others > 0 {
		return
	}
	l.set(l.total)
	l.setMemoryShared(false)
}

// set limits the connections to a share. The caller holds mu.
func (l *resourceLimits) set(share lifecycle.ConnectionShare) {
	l.current = share
	l.setConnections(share)
}
