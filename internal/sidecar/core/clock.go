package core

import (
	"math"
	"time"
)

// clock converts between time.Time and the module's time: Unix time in milliseconds that never goes back. It reads the wall clock
// once, because sources give the start times of servers as Unix time, and adds the monotonic time since then.
type clock struct {
	start       time.Time
	startMillis float64 // Unix time
}

func newClock() clock {
	start := time.Now()
	return clock{start, float64(start.UnixMicro()) / 1000}
}

// nowMillis returns the current time as the module's time.
func (c clock) nowMillis() float64 { return c.millisAt(time.Now()) }

// millisAt converts a time.Time to the module's time.
func (c clock) millisAt(t time.Time) float64 { return c.startMillis + toMillis(t.Sub(c.start)) }

// timeAt converts the module's time to a time.Time.
func (c clock) timeAt(millis float64) time.Time {
	return c.start.Add(toDuration(millis - c.startMillis))
}

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// toDuration converts milliseconds to a Duration. Values beyond half the range of a Duration are clamped to it, so that adding
// the result to a time does not overflow.
func toDuration(millis float64) time.Duration {
	const limit = float64(math.MaxInt64 / 2)
	return time.Duration(max(-limit, min(limit, millis*float64(time.Millisecond))))
}

// earlier returns the earlier of two times; a zero time means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
