package core

import (
	"math"
	"time"
)

// clock is the edge between the module's time, Unix time in milliseconds that never goes back, and the times of
// everything else. The wall clock is read once, since sources say when servers started, and monotonic time is added.
type clock struct {
	start time.Time
	unix  float64 // ms
}

func newClock() clock {
	start := time.Now()
	return clock{start, float64(start.UnixMicro()) / 1000}
}

// now is the present moment.
func (c clock) now() float64 { return c.at(time.Now()) }

// at is a moment as the module counts it.
func (c clock) at(t time.Time) float64 { return c.unix + millis(t.Sub(c.start)) }

// time is the moment at which the clock shows ms.
func (c clock) time(ms float64) time.Time { return c.start.Add(duration(ms - c.unix)) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// duration holds what a Duration can't to the nearest that it can.
func duration(ms float64) time.Duration {
	const most = float64(math.MaxInt64 / 2)
	return time.Duration(max(-most, min(most, ms*float64(time.Millisecond))))
}

// earlier is the first of two moments; zero is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
