// Package arrival schedules the requests of a load: the streams of a scenario, merged, and traces that are replayed or recorded. It
// sends nothing and has no clock; a schedule of any length is generated as it is read. A schedule is used by one goroutine at a time.
package arrival

import (
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"petrelhook/internal/rig/scenario"
)

// Arrival is one scheduled request. What the schedule leaves empty is drawn from the scenario's mix.
type Arrival struct {
	ScheduledAt time.Duration // from the start of the load
	Class       string        // "": drawn
	Tenant      string        // "": drawn
	Object      string        // that the request is about; "": drawn
	Patience    time.Duration // how long the client waits; 0: drawn
}

// Schedule returns arrivals in order of time. Next returns io.EOF at the end; after any error it is not called again.
type Schedule interface {
	Next() (Arrival, error)
}

// NewSchedule merges all streams of a scenario, for the scenario's length. Traces that it opens are closed when they end, or by Close
// if the schedule has one.
func NewSchedule(s *scenario.Scenario) (Schedule, error) {
	m := &mergedStreams{length: s.Length}
	for i, a := range s.Arrivals {
		var stream Schedule
		if a.Shape == scenario.Trace {
			t, err := OpenTrace(a.File)
			if err != nil {
				_ = m.Close()
				return nil, err
			}
			t.scenario = s
			stream = t
		} else {
			stream = &shapedStream{shape: NewShape(a), groupSize: max(a.Size, 1), gaps: gapSource(a, s.Seed, i)}
		}
		m.streams = append(m.streams, stream)
	}
	m.next = make([]Arrival, len(m.streams))
	m.ended = make([]bool, len(m.streams))
	for i := range m.streams {
		if err := m.advance(i); err != nil {
			_ = m.Close()
			return nil, err
		}
	}
	return m, nil
}

// gapSource returns the source of intervals between arrivals, in units of the mean interval: 1 if they are equal.
func gapSource(a scenario.Arrival, seed uint64, stream int) func() float64 {
	if !a.Poisson {
		return func() float64 { return 1 }
	}
	rng := rand.New(rand.NewPCG(seed, uint64(stream)))
	return rng.ExpFloat64
}

// mergedStreams merges several streams in order of time.
type mergedStreams struct {
	length  time.Duration
	streams []Schedule
	next    []Arrival
	ended   []bool
}

// advance reads the next arrival of stream i.
func (m *mergedStreams) advance(i int) (err error) {
	m.next[i], err = m.streams[i].Next()
	if err == nil && m.next[i].ScheduledAt >= m.length {
		err = io.EOF
	}
	if errors.Is(err, io.EOF) {
		m.ended[i] = true
		return nil
	}
	return err
}

// Next returns the earliest of the streams' arrivals; those at the same time are in the order of the streams.
func (m *mergedStreams) Next() (Arrival, error) {
	first := -1
	for i := range m.streams {
		if !m.ended[i] && (first < 0 || m.next[i].ScheduledAt < m.next[first].ScheduledAt) {
			first = i
		}
	}
	if first < 0 {
		return Arrival{}, io.EOF
	}
	a := m.next[first]
	return a, m.advance(first)
}

// Close closes the traces that are open.
func (m *mergedStreams) Close() error {
	var failures []error
	for _, s := range m.streams {
		if c, ok := s.(io.Closer); ok {
			failures = append(failures, c.Close())
		}
	}
	return errors.Join(failures...)
}

// shapedStream is a stream of arrivals by a shape, in groups that arrive at once.
type shapedStream struct {
	shape       Shape
	gaps        func() float64
	groupSize   int // at once
	count       float64
	sentOfGroup int // arrivals of the present group that were returned
}

func (s *shapedStream) Next() (Arrival, error) {
	if s.sentOfGroup == s.groupSize {
		s.sentOfGroup = 0
		s.count += s.gaps()
	}
	s.sentOfGroup++
	at := s.shape.TimeOf(s.count)
	if math.IsInf(at, 1) || at > math.MaxInt64/1e10 {
		return Arrival{}, io.EOF
	}
	return Arrival{ScheduledAt: time.Duration(math.Round(at * float64(time.Second)))}, nil
}

// Shape is a rate that changes with time, as the inverse of its integral: TimeOf returns the seconds after which there have been a number
// of arrivals, +Inf if there are never so many. It is exact, so that no error accumulates over a long run.
type Shape interface {
	TimeOf(count float64) float64
}

// NewShape is the shape of a scenario's stream; a must not be a trace.
func NewShape(a scenario.Arrival) Shape {
	switch a.Shape {
	case scenario.Ramp:
		return ramp{a.FromRate, a.ToRate, a.Over.Seconds()}
	case scenario.Step:
		return step{a.FromRate, a.ToRate, a.At.Seconds()}
	case scenario.Wave:
		return wave{a.FromRate, a.ToRate, a.Every.Seconds()}
	case scenario.Bursts:
		return constant(1 / a.Every.Seconds())
	default:
		return constant(a.FromRate)
	}
}

// constant is one rate.
type constant float64

func (c constant) TimeOf(count float64) float64 {
	if count == 0 {
		return 0
	}
	return count / float64(c)
}

// ramp is linear from one rate to another within a duration in seconds, then constant.
type ramp struct{ from, to, duration float64 }

// TimeOf solves from·t + (to-from)·t²/(2·duration) = count within the ramp, in the form that is exact for a small slope.
func (r ramp) TimeOf(count float64) float64 {
	if all := (r.from + r.to) / 2 * r.duration; count > all {
		return r.duration + constant(r.to).TimeOf(count-all)
	}
	if count == 0 {
		return 0
	}
	slope := (r.to - r.from) / r.duration
	return 2 * count / (r.from + math.Sqrt(math.Max(r.from*r.from+2*slope*count, 0)))
}

// step is one rate, and another from a time on, in seconds.
type step struct{ from, to, stepTime float64 }

func (s step) TimeOf(count float64) float64 {
	if before := s.from * s.stepTime; count > before || before == 0 {
		return s.stepTime + constant(s.to).TimeOf(count-before)
	}
	return constant(s.from).TimeOf(count)
}

// wave is a sine between two rates, with a period in seconds.
type wave struct{ from, to, period float64 }

// TimeOf inverts mean·t - swing·sin(2πt/period)·period/2π, which begins at the lower rate, by bisection: the integral never decreases.
func (w wave) TimeOf(count float64) float64 {
	mean, swing := (w.from+w.to)/2, (w.to-w.from)/2
	if count == 0 {
		return 0
	}
	if mean == 0 {
		return math.Inf(1)
	}
	sum := func(t float64) float64 { return mean*t - swing*w.period/(2*math.Pi)*math.Sin(2*math.Pi*t/w.period) }
	low, high := math.Max(0, count/mean-w.period), count/mean+w.period
	for range 64 {
		if mid := (low + high) / 2; sum(mid) < count {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}
