// Package reuse answers one question: how long may a connection to a server have been idle and still carry a request? It learns from how
// exchanges ended. Servers, and what stands between, close idle connections after times that no setting gives, and a request that is
// written to a closed one ends as a reset: it may have been executed, so an unsafe request is lost.
//
// The package is pure: idle times and ends go in with their times, a limit comes out. It opens and closes nothing, and does not tell
// servers apart: what stands between is common to them, and a sidecar with little traffic would learn about each too late.
//
// Invariants: connections that do not break more often for having been idle are used as long as before; what was learned decays, so that
// a limit is tried again when its cause may have gone; the limit is never below the first cell.
package reuse

import (
	"math"
	"time"
)

const (
	// firstCell is the end of the first cell of idle times. Each of the others is as long as all before it; the last has no end.
	firstCell = time.Millisecond
	cellCount = 16
	// halfLife is the time in which the weight of an observation halves. Faults of this kind last for seconds.
	halfLife = 10 * time.Second
	// decayStep is the least time between two decays: the limit is computed for each use of a connection.
	decayStep = halfLife / 20
	// tolerance is how much more often than younger ones a connection may break for being idle: a new connection costs a round trip or
	// two and some work of the server, a break costs the request if it is unsafe.
	tolerance = 0.05
	// minDeviations is by how many standard deviations more must have broken than by chance. All cells are tested all the time.
	minDeviations = 3
)

// Unlimited means that a connection may have been idle for any time.
const Unlimited = time.Duration(math.MaxInt64)

// Fresh is the idle time of a connection that carries its first request.
const Fresh = time.Duration(-1)

// Ages holds what was learned. Its zero value has learned nothing. It is not safe for concurrent use; the times that its methods are given
// must not go back.
type Ages struct {
	fresh     tally
	cells     [cellCount]tally
	lastDecay time.Time
}

// tally holds decayed counts of uses, and of those under which the connection broke.
type tally struct{ uses, breaks float64 }

func (t *tally) add(broke bool) {
	t.uses++
	if broke {
		t.breaks++
	}
}

// Record adds the end of an exchange on a connection that had been idle for idleTime: whether the connection broke under it. Exchanges
// that were cancelled say nothing and must not be recorded.
func (a *Ages) Record(now time.Time, idleTime time.Duration, broke bool) {
	a.decay(now)
	if idleTime < 0 {
		a.fresh.add(broke)
	} else {
		a.cells[cellOf(idleTime)].add(broke)
	}
}

// MaxIdle returns the longest that a connection may have been idle to be used now.
func (a *Ages) MaxIdle(now time.Time) time.Duration {
	a.decay(now)
	younger := a.fresh
	for i := range a.cells {
		cell := a.cells[i]
		rate := younger.breaks / math.Max(younger.uses, 1)
		excess, deviation := cell.breaks-rate*cell.uses, math.Sqrt(rate*(1-rate)*cell.uses+1)
		if i > 0 && excess > tolerance*cell.uses && excess > minDeviations*deviation { // what closes these closes older ones too
			return firstCell << (i - 1)
		}
		younger.uses += cell.uses
		younger.breaks += cell.breaks
	}
	return Unlimited
}

// cellOf returns the cell of an idle time: 0 below firstCell, 1 below twice that, and so on.
func cellOf(idleTime time.Duration) int {
	i := 0
	for i < cellCount-1 && idleTime >= firstCell<<i {
		i++
	}
	return i
}

// decay reduces the weight of earlier observations, in steps.
func (a *Ages) decay(now time.Time) {
	passed := now.Sub(a.lastDecay)
	if passed < decayStep {
		return
	}
	a.lastDecay = now
	factor := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	a.fresh.decay(factor)
	for i := range a.cells {
		a.cells[i].decay(factor)
	}
}

func (t *tally) decay(factor float64) {
	t.uses *= factor
	t.breaks *= factor
}
