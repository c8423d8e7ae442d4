// Package reuse answers one question: how long may a connection to a server have been idle and still carry a request? It
// learns from how exchanges ended. Servers, and what stands between, close idle connections at times that no setting tells, and
// a request that is written to one ends as a reset: it may have run, and what must run once is lost.
//
// It is pure: ages and ends go in with their times, a bound comes out. It opens and closes nothing, and does not tell one
// server from another: what is between is common to them, and a sidecar with little traffic would learn of each too late.
//
// Invariants: connections that break no more often for having been idle are kept as long as before; what was learned fades, so
// that a bound is tried again when the cause may have gone; a young connection is never too old.
package reuse

import (
	"math"
	"time"
)

const (
	// cells of idle times double from the first on; the last has no end.
	first = time.Millisecond
	cells = 16
	// halfLife is how long what was seen counts half. Troubles last for seconds.
	halfLife = 10 * time.Second
	// dear is how much more often than younger ones a connection may break for being idle: a new connection costs a
	// round trip or two and some work of the server, a break the request where it must not run twice.
	dear = 0.05
	// sure is by how many standard deviations more must have broken than by chance. Each cell is looked at all the time.
	sure = 3
)

// Unlimited is no bound.
const Unlimited = time.Duration(math.MaxInt64)

// Fresh is the age of a connection that carries its first request.
const Fresh = time.Duration(-1)

// Ages holds what was learned. Its zero value has learned nothing. It is not safe for concurrent use; times must not go back.
type Ages struct {
	fresh tally
	idle  [cells]tally
	faded time.Time
}

// tally counts uses and those that broke, faded.
type tally struct{ used, broke float64 }

func (t *tally) add(broke bool) {
	t.used++
	if broke {
		t.broke++
	}
}

// Record takes in an exchange on a connection that had been idle for age: whether the connection broke under it. Exchanges
// that were given up tell nothing and are left out.
func (a *Ages) Record(now time.Time, age time.Duration, broke bool) {
	a.fade(now)
	if age < 0 {
		a.fresh.add(broke)
	} else {
		a.idle[cell(age)].add(broke)
	}
}

// MaxIdle is the longest that a connection may have been idle to be used now.
func (a *Ages) MaxIdle(now time.Time) time.Duration {
	a.fade(now)
	younger := a.fresh
	for c := range a.idle {
		t := a.idle[c]
		base := younger.broke / math.Max(younger.used, 1)
		excess, chance := t.broke-base*t.used, math.Sqrt(base*(1-base)*t.used+1)
		if c > 0 && excess > dear*t.used && excess > sure*chance { // what closes them at this age closes older ones too
			return first << (c - 1)
		}
		younger.used += t.used
		younger.broke += t.broke
	}
	return Unlimited
}

// cell is where an age is counted: below first, below twice that, and so on.
func cell(age time.Duration) int {
	c := 0
	for c < cells-1 && age >= first<<c {
		c++
	}
	return c
}

// fade lets what was seen count less, in steps: it is called for each use.
func (a *Ages) fade(now time.Time) {
	passed := now.Sub(a.faded)
	if passed < halfLife/20 {
		return
	}
	a.faded = now
	part := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	a.fresh.fade(part)
	for c := range a.idle {
		a.idle[c].fade(part)
	}
}

func (t *tally) fade(part float64) {
	t.used *= part
	t.broke *= part
}
