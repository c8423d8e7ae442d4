package clientlimit

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// smallMessageBytes is the size up to which a message may use all of the memory.
	smallMessageBytes = 64 << 10
	// largeMessagesFraction is the fraction of the memory which larger messages may use, so that a few of them do not keep all others
	// out.
	largeMessagesFraction = 0.75
	// stoppedTimeout bounds the wait for the memory of a message that was stopped.
	stoppedTimeout = 500 * time.Millisecond
)

// Memory bounds the memory of messages. Memory is reserved before it is used, so that messages that arrive at the same time count from
// their first byte on. Its methods may be called from any goroutine.
type Memory struct {
	// AloneLimit is how many bytes a message may take that is alone, where that is more than the limit. It is set before the first
	// reservation.
	AloneLimit int64

	limit int64 // bytes; 0: unlimited

	mutex    sync.Mutex
	reserved int64 // bytes
	arriving map[*Reservation]bool
	released chan struct{} // closed and replaced when memory is released that somebody waits for; nil: nobody waits
	stopped  uint64        // messages that were stopped for others
	refused  uint64        // messages for which nothing was left
}

// NewMemory returns a memory with a limit in bytes; 0 means no limit.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, arriving: map[*Reservation]bool{}}
}

// Reserved returns how many bytes are reserved.
func (m *Memory) Reserved() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.reserved
}

// Counts returns the numbers of messages, since the start, that were stopped for others and that were refused.
func (m *Memory) Counts() (stopped, refused uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.stopped, m.refused
}

// Reservation is the memory of one message. Its methods may be called from any goroutine, and after Release they do nothing.
type Reservation struct {
	memory   *Memory
	stop     func() // ends the arrival of the message
	transfer transfer

	// Guarded by memory.mutex:
	bytes     int64
	arrived   bool // Arrived was called
	ended     bool // Release was called
	isStopped bool
}

// Reserve returns an empty reservation for a message that begins to arrive. stop is called, at most once and not after Arrived, if the
// message is stalled or slow and its memory is needed for another one: it ends the arrival, after which the caller releases the
// reservation. It must not block, nor call the Memory.
func (m *Memory) Reserve(stop func()) *Reservation {
	r := &Reservation{memory: m, stop: stop}
	r.transfer.start(time.Now())
	return r
}

// Grow reserves more bytes for a message that takes messageBytes with them, and reports whether they were available. It may stop messages
// that are stalled or slow, and waits then until their memory is released, for a bounded time and not longer than the context.
func (r *Reservation) Grow(ctx context.Context, bytes, messageBytes int64) bool {
	ok, released := r.tryGrow(bytes, messageBytes)
	if released == nil {
		return ok
	}
	ctx, cancel := context.WithTimeout(ctx, stoppedTimeout)
	defer cancel()
	for {
		select {
		case <-released:
		case <-ctx.Done():
			return r.TryGrow(bytes, messageBytes)
		}
		if ok, released = r.tryGrow(bytes, messageBytes); released == nil {
			return ok
		}
	}
}

// TryGrow is Grow without stopping any message and without a wait.
func (r *Reservation) TryGrow(bytes, messageBytes int64) bool {
	m := r.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if r.ended || !m.fits(r, bytes, messageBytes) {
		m.refused++
		return false
	}
	r.add(bytes)
	return true
}

// tryGrow reserves memory if that is possible. Otherwise it stops messages that are stalled or slow; if there are any, released is closed
// when memory is released.
func (r *Reservation) tryGrow(bytes, messageBytes int64) (ok bool, released <-chan struct{}) {
	m := r.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	switch {
	case r.ended || r.isStopped:
		return false, nil
	case m.fits(r, bytes, messageBytes):
		r.add(bytes)
		return true, nil
	case !m.stopOthers(bytes, r):
		m.refused++
		return false, nil
	}
	if m.released == nil {
		m.released = make(chan struct{})
	}
	return false, m.released
}

// fits reports whether a message of a size may reserve more bytes. The caller holds the mutex.
func (m *Memory) fits(r *Reservation, bytes, messageBytes int64) bool {
	if m.reserved == r.bytes && r.bytes+bytes <= m.AloneLimit {
		return true
	}
	limit := m.limit
	if messageBytes > smallMessageBytes {
		limit = int64(largeMessagesFraction * float64(limit))
	}
	return m.limit <= 0 || m.reserved+bytes <= limit
}

// stopOthers stops messages until those that are stopped hold enough bytes: first the stalled ones and then, the slowest first, the slow
// ones. It reports whether any message is stopped and will release its memory. The caller holds the mutex.
func (m *Memory) stopOthers(bytes int64, but *Reservation) (waits bool) {
	for r := range m.arriving {
		if r.isStopped {
			bytes -= r.bytes
			waits = true
		}
	}
	for _, r := range m.stoppable(but) {
		if bytes <= 0 {
			break
		}
		r.isStopped = true
		m.stopped++
		bytes -= r.bytes
		waits = true
		r.stop()
	}
	return waits
}

// stoppable returns the messages that may be stopped for another one, in the order in which they are. The caller holds the mutex.
func (m *Memory) stoppable(but *Reservation) []*Reservation {
	type candidate struct {
		*Reservation
		pace pace
		rate float64 // bytes per second
	}
	now := time.Now()
	var candidates []candidate
	for r := range m.arriving {
		if r == but || r.isStopped || r.bytes == 0 {
			continue
		}
		if pace, rate := r.transfer.paceAt(now); pace != paceFast {
			candidates = append(candidates, candidate{r, pace, rate})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.pace, a.pace), cmp.Compare(a.rate, b.rate))
	})
	ordered := make([]*Reservation, len(candidates))
	for i, c := range candidates {
		ordered[i] = c.Reservation
	}
	return ordered
}

// add adds reserved bytes. The caller holds the mutex.
func (r *Reservation) add(bytes int64) {
	r.bytes += bytes
	r.memory.reserved += bytes
	if !r.arrived {
		r.memory.arriving[r] = true
	}
}

// Shrink returns reserved bytes.
func (r *Reservation) Shrink(bytes int64) {
	m := r.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !r.ended {
		r.bytes -= bytes
		m.release(bytes)
	}
}

// Received records that bytes of the message have arrived.
func (r *Reservation) Received(bytes int64) {
	r.transfer.received(bytes, time.Now())
}

// Arrived records that the message has arrived. Its memory stays reserved, and it is not stopped any more.
func (r *Reservation) Arrived() {
	r.memory.mutex.Lock()
	defer r.memory.mutex.Unlock()
	r.arrived = true
	delete(r.memory.arriving, r)
}

// Release returns all reserved bytes.
func (r *Reservation) Release() {
	m := r.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	delete(m.arriving, r)
	m.release(r.bytes)
	r.bytes = 0
}

// release returns bytes and wakes those that wait for memory. The caller holds the mutex.
func (m *Memory) release(bytes int64) {
	m.reserved -= bytes
	if m.released != nil {
		close(m.released)
		m.released = nil
	}
}
