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
	longest  = int64(time.Hour / time.Microsecond)
	digits   = 3
	inSlices = 2 // digits in slices of the run: there are many

	maxSlices = 600
)

// Result is what came of a load.
type Result struct {
	mu sync.Mutex

	Classes  []ClassResult
	Course   Course
	Lag      *hdrhistogram.Histogram // of sending behind the schedule, in microseconds
	Took     time.Duration
	Partial  bool     // it was stopped before the schedule ended
	Invalid  []string // why the figures are not what they seem; empty: they are valid
	PeakOpen int      // connections at once
	NoRoom   int      // requests that found no room for a connection
	Extras   int      // answers that nobody asked for
	Crowds   []*CrowdResult
}

// ClassResult is what came of one class; of all of them together it is in the first place.
type ClassResult struct {
	Name    string
	Aim     time.Duration
	Counts  Counts
	Tries   int
	InAim   int     // served within the aim
	Worth   float64 // asked for
	Earned  float64
	Latency *hdrhistogram.Histogram // of those served, in microseconds from when they were due
}

// Counts counts operations by how they ended.
type Counts struct{ Served, Refused, Failed, Lost, Unreached int }

// All is the sum.
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

// Course is a run in slices of time, by when operations were due. The slices grow wider as it goes on.
type Course struct {
	Width  time.Duration
	Slices []Slice
}

// Slice is one of them.
type Slice struct {
	Counts  Counts
	Latency *hdrhistogram.Histogram // of those served, in microseconds
}

func newResult(s *scenario.Scenario) *Result {
	r := &Result{Lag: hdrhistogram.New(1, longest, digits), Course: Course{Width: 250 * time.Millisecond}}
	r.Classes = append(r.Classes, ClassResult{Name: "all", Latency: hdrhistogram.New(1, longest, digits)})
	for _, c := range s.Classes {
		r.Classes = append(r.Classes, ClassResult{Name: c.Name, Aim: c.LatencyTarget, Latency: hdrhistogram.New(1, longest, digits)})
	}
	return r
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longest)) // within the bounds it cannot fail
}

func (r *Result) addLag(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.Lag, lag)
}

func (r *Result) addExtra() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Extras++
}

func (r *Result) add(op Operation, class *scenario.Class) {
	r.mu.Lock()
	defer r.mu.Unlock()
	earned := 0.0
	inAim := op.Result == audit.Served && op.Latency <= class.LatencyTarget
	switch {
	case inAim:
		earned = class.Value
	case op.Result == audit.Served:
		earned = class.Value * class.LateValue
	}
	for _, c := range []*ClassResult{&r.Classes[0], &r.Classes[op.Class+1]} {
		c.Counts.add(op.Result, 1)
		c.Tries += op.Tries
		c.Worth += class.Value
		c.Earned += earned
		if inAim {
			c.InAim++
		}
		if op.Result == audit.Served {
			record(c.Latency, op.Latency)
		}
	}
	slice := r.Course.at(op.Due)
	slice.Counts.add(op.Result, 1)
	if op.Result == audit.Served {
		record(slice.Latency, min(op.Latency, time.Minute-time.Second))
	}
}

// at is the slice of a time. Where there are too many, pairs of them become one.
func (c *Course) at(due time.Duration) *Slice {
	for due >= maxSlices*c.Width {
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
	i := int(due / c.Width)
	for len(c.Slices) <= i {
		c.Slices = append(c.Slices, Slice{Latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), inSlices)})
	}
	return &c.Slices[i]
}

// Percentile is a latency of a class's served operations, from when they were due; 0: none was served.
func (c *ClassResult) Percentile(q float64) time.Duration { return Percentile(c.Latency, q) }

// Percentile is a percentile, 0 to 100, of a histogram in microseconds.
func Percentile(h *hdrhistogram.Histogram, q float64) time.Duration {
	if h.TotalCount() == 0 {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// finish looks at how the generator itself did.
func (r *Result) finish(took time.Duration, partial bool, room *room, maxLag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Took, r.Partial, r.PeakOpen, r.NoRoom = took, partial, room.peak, room.full
	if lag := Percentile(r.Lag, 99); lag > maxLag {
		r.Invalid = append(r.Invalid, fmt.Sprintf("sending lagged behind the schedule by %v at the 99th percentile; at most %v is allowed", lag, maxLag))
	}
	if room.full > 0 {
		r.Invalid = append(r.Invalid, fmt.Sprintf("%d requests found no descriptor for a connection", room.full))
	}
}
