// Package arrival says what is due when: the shapes of a scenario's load, merged, and traces that are played or recorded.
// It sends nothing and waits for nothing; a schedule of any length is drawn as it is read.
package arrival

import (
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"petrelhook/internal/rig/scenario"
)

// Arrival is one request that is due. Where the schedule leaves something open, the mix draws it.
type Arrival struct {
	Due    time.Duration // from the start of the load
	Class  string        // "": drawn
	Tenant string        // "": drawn
	About  string        // what the request is about; "": drawn
	Wait   time.Duration // how long the client waits; 0: drawn
}

// Schedule gives arrivals in order of their due times; io.EOF ends it.
type Schedule interface {
	Next() (Arrival, error)
}

// NewSchedule is the arrivals of a scenario: all its streams together, for as long as it goes on. Traces that it opens
// are closed when they end, or by Close where the schedule has one.
func NewSchedule(s *scenario.Scenario) (Schedule, error) {
	m := &merged{length: s.Length}
	for i, a := range s.Arrivals {
		var one Schedule
		if a.Shape == scenario.Trace {
			t, err := OpenTrace(a.File)
			if err != nil {
				_ = m.Close()
				return nil, err
			}
			t.check = s
			one = t
		} else {
			one = &shaped{shape: NewShape(a), size: max(a.Size, 1), gaps: gaps(a, s.Seed, i)}
		}
		m.streams = append(m.streams, one)
	}
	m.heads = make([]Arrival, len(m.streams))
	m.ended = make([]bool, len(m.streams))
	for i := range m.streams {
		if err := m.advance(i); err != nil {
			_ = m.Close()
			return nil, err
		}
	}
	return m, nil
}

// gaps draws the distances of arrivals, in arrivals: 1 where they are even.
func gaps(a scenario.Arrival, seed uint64, stream int) func() float64 {
	if !a.Poisson {
		return func() float64 { return 1 }
	}
	rng := rand.New(rand.NewPCG(seed, uint64(stream)))
	return rng.ExpFloat64
}

// merged is several streams in the order of their due times.
type merged struct {
	length  time.Duration
	streams []Schedule
	heads   []Arrival
	ended   []bool
}

func (m *merged) advance(i int) (err error) {
	m.heads[i], err = m.streams[i].Next()
	if err == nil && m.heads[i].Due >= m.length {
		err = io.EOF
	}
	if errors.Is(err, io.EOF) {
		m.ended[i] = true
		return nil
	}
	return err
}

// Next gives the earliest of the streams' arrivals; equal ones come in the order of the streams.
func (m *merged) Next() (Arrival, error) {
	first := -1
	for i := range m.streams {
		if !m.ended[i] && (first < 0 || m.heads[i].Due < m.heads[first].Due) {
			first = i
		}
	}
	if first < 0 {
		return Arrival{}, io.EOF
	}
	a := m.heads[first]
	return a, m.advance(first)
}

// Close closes the traces that are open.
func (m *merged) Close() error {
	var all []error
	for _, s := range m.streams {
		if c, ok := s.(io.Closer); ok {
			all = append(all, c.Close())
		}
	}
	return errors.Join(all...)
}

// shaped is arrivals as a shape has them.
type shaped struct {
	shape Shape
	gaps  func() float64
	size  int // at once
	sum   float64
	sent  int // of the present ones
}

func (s *shaped) Next() (Arrival, error) {
	if s.sent == s.size {
		s.sent = 0
		s.sum += s.gaps()
	}
	s.sent++
	at := s.shape.At(s.sum)
	if math.IsInf(at, 1) || at > math.MaxInt64/1e10 {
		return Arrival{}, io.EOF
	}
	return Arrival{Due: time.Duration(math.Round(at * float64(time.Second)))}, nil
}

// Shape is a rate that changes with time, as its inverse sum: At gives the seconds after which a number of arrivals
// has come, +Inf where it never comes to so many. It is exact, so that no error adds up over a long run.
type Shape interface {
	At(count float64) float64
}

// NewShape is the shape of a scenario's arrivals, other than those of a trace.
func NewShape(a scenario.Arrival) Shape {
	switch a.Shape {
	case scenario.Ramp:
		return ramp{a.From, a.To, a.Over.Seconds()}
	case scenario.Step:
		return step{a.From, a.To, a.At.Seconds()}
	case scenario.Wave:
		return wave{a.From, a.To, a.Every.Seconds()}
	case scenario.Bursts:
		return constant(1 / a.Every.Seconds())
	default:
		return constant(a.From)
	}
}

type constant float64

func (c constant) At(count float64) float64 {
	if count == 0 {
		return 0
	}
	return count / float64(c)
}

type ramp struct{ from, to, over float64 }

// At solves from·t + (to-from)·t²/(2·over) = count within the ramp, in the form that is exact for a small slope.
func (r ramp) At(count float64) float64 {
	if all := (r.from + r.to) / 2 * r.over; count > all {
		return r.over + constant(r.to).At(count-all)
	}
	if count == 0 {
		return 0
	}
	slope := (r.to - r.from) / r.over
	return 2 * count / (r.from + math.Sqrt(math.Max(r.from*r.from+2*slope*count, 0)))
}

type step struct{ from, to, at float64 }

func (s step) At(count float64) float64 {
	if before := s.from * s.at; count > before || before == 0 {
		return s.at + constant(s.to).At(count-before)
	}
	return constant(s.from).At(count)
}

type wave struct{ from, to, every float64 }

// At inverts mean·t - swing·sin(2πt/every)·every/2π, which begins at the lower rate, by bisection: it never falls.
func (w wave) At(count float64) float64 {
	mean, swing := (w.from+w.to)/2, (w.to-w.from)/2
	if count == 0 {
		return 0
	}
	if mean == 0 {
		return math.Inf(1)
	}
	sum := func(t float64) float64 { return mean*t - swing*w.every/(2*math.Pi)*math.Sin(2*math.Pi*t/w.every) }
	low, high := math.Max(0, count/mean-w.every), count/mean+w.every
	for range 64 {
		if mid := (low + high) / 2; sum(mid) < count {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}
