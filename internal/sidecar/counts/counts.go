// Package counts is what a sidecar tells of the requests that it took: how many of each class came to which end, how long those
// served took, from arrival, and what was asked of servers for them all. It compares nothing and decides nothing; who judges releases (package judge) reads it.
//
// Counts are of one process since its start and only grow: who reads them takes differences, and begins anew with another process. A
// request is counted once, when it ends. Times are counted in steps of a quarter of an octave, a fifth; the numbers of a class are
// read one after another, so those of one moment may differ by the requests that end meanwhile.
package counts

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"petrelhook/internal/sidecar/front"
)

// Steps is how many steps of time there are: up to a quarter of a millisecond, and then 4 to an octave; the last has no end.
const Steps = 64

const first = 250 * time.Microsecond

// Step is the step that a time falls in.
func Step(took time.Duration) int {
	if took <= first {
		return 0
	}
	return min(Steps-1, int(math.Ceil(4*math.Log2(float64(took)/float64(first)))))
}

// Class is what is told of one class.
type Class struct {
	Name    string        `json:"name"`
	Served  uint64        `json:"served"`
	Refused uint64        `json:"refused"`
	Failed  uint64        `json:"failed"`
	Gone    uint64        `json:"gone"` // clients that went away before their answer
	Took    [Steps]uint64 `json:"took"` // of those served
}

// Front counts what goes through a front.Core.
type Front struct {
	front.Core
	classes []class
}

type class struct {
	name                          string
	served, refused, failed, gone atomic.Uint64
	took                          [Steps]atomic.Uint64
}

// New counts requests of these classes on their way to core.
func New(core front.Core, classes []front.Class) *Front {
	f := &Front{core, make([]class, len(classes))}
	for i, c := range classes {
		f.classes[i].name = c.Name
	}
	return f
}

// Answer is core's, counted.
func (f *Front) Answer(ctx context.Context, r front.Request) (front.Answer, error) {
	a, err := f.Core.Answer(ctx, r)
	if r.Class < 0 || r.Class >= len(f.classes) {
		return a, err
	}
	c := &f.classes[r.Class]
	switch {
	case err != nil && ctx.Err() != nil, err == front.ErrGone:
		c.gone.Add(1)
	case err != nil: // it was not taken
	case a.Verdict == front.Served:
		c.served.Add(1)
		c.took[Step(time.Since(r.Arrived))].Add(1)
	case a.Verdict == front.Refused:
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
	return a, err
}

// Now is what is counted so far.
func (f *Front) Now() []Class {
	all := make([]Class, len(f.classes))
	for i := range f.classes {
		c := &f.classes[i]
		all[i] = Class{Name: c.name, Served: c.served.Load(), Refused: c.refused.Load(), Failed: c.failed.Load(), Gone: c.gone.Load()}
		for s := range c.took {
			all[i].Took[s] = c.took[s].Load()
		}
	}
	return all
}
