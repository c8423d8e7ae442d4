package clientlimit

import (
	"context"
	"sync"
	"time"
)

const (
	// minProgressBytesPerSecond is the rate at which a client has to send or read, on average, to be safe at a bound.
	minProgressBytesPerSecond = 4 << 10
	// progressGrace is the time in which a client need not have made any progress.
	progressGrace = time.Second
	// smallMessageBytes is the size up to which a message may use all of the memory.
	smallMessageBytes = 64 << 10
	// largeMessagesFraction is the fraction of the memory which larger messages may use, so that a few of them do not keep all others
	// out.
	largeMessagesFraction = 0.75
	// stalledTimeout bounds the wait for the memory of a message that was stopped.
	stalledTimeout = 500 * time.Millisecond
)

// Memory bounds the memory of messages. Memory is reserved before it is used, so that messages that arrive at the same time count from
// their first byte on. Its methods may be called from any goroutine.
type Memory struct {
	// AdmitsAlone says that a message which is alone may exceed the limit. It is set before the first reservation.
	AdmitsAlone bool

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
	memory *Memory
	stop   func() // ends the arrival of the message

	// Guarded by memory.mutex:
	bytes     int64
	received  int64
	began     time.Time
	arrived   bool // Arrived was called
	ended     bool // Release was called
	isStopped bool
}

// Reserve returns an empty reservation for a message that begins to arrive. stop is called, at most once and not after Arrived, if the
// message makes no progress and its memory is needed for another one: it ends the arrival, after which the caller releases the
// reservation. It must not block, nor call the Memory.
func (m *Memory) Reserve(stop func()) *Reservation {
	return &Reservation{memory: m, stop: stop, began: time.Now()}
}

// Grow reserves more bytes for a message that takes messageBytes with them, and reports whether they were available. It may stop messages
// that make no progress, and waits then until their memory is released, for a bounded time and not longer than the context.
func (r *Reservation) Grow(ctx context.Context, bytes, messageBytes int64) bool {
	ok, released := r.tryGrow(bytes, messageBytes)
	if released == nil {
		return ok
	}
	ctx, cancel := context.WithTimeout(ctx, stalledTimeout)
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

// tryGrow reserves memory if that is possible. Otherwise it stops messages that make no progress; if there are any, released is closed when
// memory is released.
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
	case !m.stopStalled(bytes, r):
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
	if m.AdmitsAlone && m.reserved == r.bytes {
		return true
	}
	limit := m.limit
	if messageBytes > smallMessageBytes {
		limit = int64(largeMessagesFraction * float64(limit))
	}
	return m.limit <= 0 || m.reserved+bytes <= limit
}

// stopStalled stops messages that make no progress, until those that are stopped hold enough bytes. It reports whether any message is
// stopped and will release its memory. The caller holds the mutex.
func (m *Memory) stopStalled(bytes int64, but *Reservation) (waits bool) {
	now := time.Now()
	for r := range m.arriving {
		if r.isStopped {
			bytes -= r.bytes
			waits = true
		}
	}
	for r := range m.arriving {
		if bytes <= 0 {
			break
		}
		if r == but || r.isStopped || r.bytes == 0 || !stalled(r.received, now.Sub(r.began)) {
			continue
		}
		r.isStopped = true
		m.stopped++
		bytes -= r.bytes
		waits = true
		r.stop()
	}
	return waits
}

// stalled reports whether a client makes no progress that has transferred so many bytes in so long a time.
func stalled(bytes int64, elapsed time.Duration) bool {
	due := (elapsed - progressGrace).Seconds() * minProgressBytesPerSecond
	return elapsed > progressGrace && float64(bytes) < due
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
	r.memory.mutex.Lock()
	defer r.memory.mutex.Unlock()
	r.received += bytes
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
