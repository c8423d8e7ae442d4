package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/scenario"
)

// Latencies are kept in microseconds, up to an hour, to 3 digits.
const (
	maxLatencyMicros  = int64(time.Hour / time.Microsecond)
	significantDigits = 3
	sliceDigits       = 2 // digits in slices of the run: there are many

	maxSlices = 600
)

// Result is the result of a load. It may be read when Run has returned.
type Result struct {
	mu sync.Mutex

	Classes           []ClassResult
	Timeline          Timeline
	Lag               *hdrhistogram.Histogram // of sending behind the schedule, in microseconds
	Duration          time.Duration
	Partial           bool     // ctx ended before the schedule
	Invalid           []string // reasons why the metrics are not valid; empty: they are
	PeakOpen          int      // connections at once
	NoConnection      int      // requests that got no connection for lack of descriptors
	UnexpectedAnswers int      // answers without a request
	Crowds            []*CrowdResult
}

// ClassResult is the result of one class; the first of a Result is of all classes together.
type ClassResult struct {
	Name           string
	LatencyTarget  time.Duration
	Counts         Counts
	Requests       int
	OnTime         int     // served within the latency target
	ValueRequested float64 // of all operations
	ValueEarned    float64
	Latency        *hdrhistogram.Histogram // of those served, in microseconds from when they were scheduled
}

// Counts are numbers of operations by their result.
type Counts struct{ Served, Refused, Failed, Lost, Unreached int }

// All is the sum of all results.
func (c Counts) All() int { return c.Served + c.Refused + c.Failed + c.Lost + c.Unreached }

func (c *Counts) add(r audit.Result, n int) {
	switch r {
	case audit.Served:
		c.Served += n
	case audit.Refused:
		c.Refused += n
	case audit.Failed:
		c.Failed += n
	case audit.Lost:
		c.Lost += n
	default:
		c.Unreached += n
	}
}

// Timeline is a run in slices of time, by when operations were scheduled. The slices grow wider as it goes on.
type Timeline struct {
	Width  time.Duration
	Slices []Slice
}

// Slice is one slice of a Timeline.
type Slice struct {
	Counts  Counts
	Latency *hdrhistogram.Histogram // of those served, in microseconds
}

// newResult is the empty result of a scenario's classes.
func newResult(s *scenario.Scenario) *Result {
	r := &Result{Lag: hdrhistogram.New(1, maxLatencyMicros, significantDigits), Timeline: Timeline{Width: 250 * time.Millisecond}}
	r.Classes = append(r.Classes, ClassResult{Name: "all", Latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits)})
	for _, c := range s.Classes {
		r.Classes = append(r.Classes, ClassResult{Name: c.Name, LatencyTarget: c.LatencyTarget, Latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits)})
	}
	return r
}

// record adds a duration to a histogram in microseconds.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros)) // within the bounds it cannot fail
}

// addLag records by how much a request was sent behind the schedule.
func (r *Result) addLag(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.Lag, lag)
}

func (r *Result) addUnexpectedAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.UnexpectedAnswers++
}

// add records an operation that has ended.
func (r *Result) add(op Operation, class *scenario.Class) {
	r.mu.Lock()
	defer r.mu.Unlock()
	earned := 0.0
	onTime := op.Result == audit.Served && op.Latency <= class.LatencyTarget
	switch {
	case onTime:
		earned = class.Value
	case op.Result == audit.Served:
		earned = class.Value * class.LateValue
	}
	for _, c := range []*ClassResult{&r.Classes[0], &r.Classes[op.Class+1]} {
		c.Counts.add(op.Result, 1)
		c.Requests += op.Requests
		c.ValueRequested += class.Value
		c.ValueEarned += earned
		if onTime {
			c.OnTime++
		}
		if op.Result == audit.Served {
			record(c.Latency, op.Latency)
		}
	}
	slice := r.Timeline.slice(op.ScheduledAt)
	slice.Counts.add(op.Result, 1)
	if op.Result == audit.Served {
		record(slice.Latency, min(op.Latency, time.Minute-time.Second))
	}
}

// slice returns the slice of a time. If there would be more than maxSlices, pairs of them are merged.
func (c *Timeline) slice(scheduledAt time.Duration) *Slice {
	for scheduledAt >= maxSlices*c.Width {
		var half []Slice
		for i, s := range c.Slices {
			if i%2 == 0 {
				half = append(half, s)
				continue
			}
			into := &half[i/2]
			into.Latency.Merge(s.Latency)
			into.Counts.Served += s.Counts.Served
			into.Counts.Refused += s.Counts.Refused
			into.Counts.Failed += s.Counts.Failed
			into.Counts.Lost += s.Counts.Lost
			into.Counts.Unreached += s.Counts.Unreached
		}
		c.Slices, c.Width = half, 2*c.Width
	}
	i := int(scheduledAt / c.Width)
	for len(c.Slices) <= i {
		c.Slices = append(c.Slices, Slice{Latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), sliceDigits)})
	}
	return &c.Slices[i]
}

// Percentile is a latency of a class's served operations, from when they were scheduled; 0: none was served.
func (c *ClassResult) Percentile(q float64) time.Duration { return Percentile(c.Latency, q) }

// Percentile is a percentile, 0 to 100, of a histogram in microseconds.
func Percentile(h *hdrhistogram.Histogram, q float64) time.Duration {
	if h.TotalCount() == 0 {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// finish records the measurements of the generator itself, and whether the result is valid.
func (r *Result) finish(duration time.Duration, partial bool, limit *connectionLimit, maxLag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Duration, r.Partial, r.PeakOpen, r.NoConnection = duration, partial, limit.peak, limit.rejected
	if lag := Percentile(r.Lag, 99); lag > maxLag {
		r.Invalid = append(r.Invalid, fmt.Sprintf("sending lagged behind the schedule by %v at the 99th percentile; at most %v is allowed", lag, maxLag))
	}
	if limit.rejected > 0 {
		r.Invalid = append(r.Invalid, fmt.Sprintf("%d requests found no descriptor for a connection", limit.rejected))
	}
}
