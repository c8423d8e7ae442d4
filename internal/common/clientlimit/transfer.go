package clientlimit

import (
	"sync"
	"time"

	"petrelhook/internal/common/progress"
)

const (
	// minProgressBytesPerSecond is the rate at which a client has to send, on average, to be safe at a bound.
	minProgressBytesPerSecond = 4 << 10
	// progressGrace is the time in which a client need not have made any progress.
	progressGrace = time.Second
	// recentBytes have to arrive in each recentInterval as well: half of that rate, so that a short pause does no harm.
	recentInterval = 2 * time.Second
	recentBytes    = minProgressBytesPerSecond
	// slowBytesPerSecond is the rate below which a client has to make room at a bound where all make progress, after slowGrace.
	slowBytesPerSecond = 32 << 10
	slowGrace          = 3 * time.Second
)

// transfer measures how fast a client sends a message. Its methods may be called from any goroutine.
type transfer struct {
	mutex  sync.Mutex
	began  time.Time
	bytes  int64
	recent progress.Deadline
}

// start begins a message.
func (t *transfer) start(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.began, t.bytes = now, 0
	t.recent = progress.Deadline{MinBytes: recentBytes, Interval: recentInterval}
	t.recent.Start(now)
}

// received records that bytes of the message have arrived.
func (t *transfer) received(bytes int64, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.bytes += bytes
	t.recent.Progressed(int(bytes), now)
}

// pace is how a message arrives. A message of a greater pace makes room for others first.
type pace int

const (
	paceFast pace = iota
	paceSlow
	paceStalled
)

// paceAt returns the pace of the message, and its average rate in bytes per second.
func (t *transfer) paceAt(now time.Time) (pace, float64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	elapsed := now.Sub(t.began)
	if elapsed <= progressGrace {
		return paceFast, 0
	}
	rate := float64(t.bytes) / elapsed.Seconds()
	due := (elapsed - progressGrace).Seconds() * minProgressBytesPerSecond
	switch {
	case float64(t.bytes) < due || now.After(t.recent.Expires()):
		return paceStalled, rate
	case rate < slowBytesPerSecond && elapsed > slowGrace:
		return paceSlow, rate
	}
	return paceFast, rate
}
