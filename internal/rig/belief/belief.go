// Package belief judges what several processes believed and did, each with its own log, on the one clock of their machine: no two
// hold at once, and what a guard admitted came in the order of its tokens.
package belief

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Belief is a look of a holder at whether it holds, with yes for an answer, at some moment between From and To.
type Belief struct {
	Holder   string
	Token    uint64
	From, To time.Duration
}

// Write is what a guard was sent, in the order in which it came.
type Write struct {
	Holder   string
	Token    uint64
	Admitted bool
}

// Verdict is what was wrong, and counts.
type Verdict struct {
	Violations                               []string
	Beliefs, HolderChanges, Writes, Rejected int // Holders: changes of holder; Late: acts that the guard refused
}

// Check looks through all of it.
func Check(beliefs []Belief, writes []Write) (v Verdict) {
	v.Beliefs, v.Writes = len(beliefs), len(writes)
	owner := map[uint64]string{}
	claim := func(token uint64, who, what string) {
		if o, known := owner[token]; known && o != who {
			v.Violations = append(v.Violations, fmt.Sprintf("token %d is %s's and %s's (%s)", token, o, who, what))
		}
		owner[token] = who
	}
	slices.SortFunc(beliefs, func(a, b Belief) int { return cmp.Compare(a.From, b.From) })
	ended := slices.SortedFunc(slices.Values(beliefs), func(a, b Belief) int { return cmp.Compare(a.To, b.To) })
	next, newest := 0, Belief{}
	for _, l := range beliefs {
		claim(l.Token, l.Holder, "believed")
		for ; next < len(ended) && ended[next].To < l.From; next++ { // all that had certainly been seen before
			if ended[next].Token > newest.Token {
				newest = ended[next]
			}
		}
		if newest.Token > l.Token {
			v.Violations = append(v.Violations, fmt.Sprintf("%s believes in %d at %v, after %s did in %d at %v", l.Holder, l.Token, l.From, newest.Holder, newest.Token, newest.To))
		}
	}
	var last uint64
	for _, a := range writes {
		claim(a.Token, a.Holder, "acted")
		switch {
		case !a.Admitted:
			v.Rejected++
		case a.Token < last:
			v.Violations = append(v.Violations, fmt.Sprintf("an act of %d was admitted after one of %d", a.Token, last))
		case a.Token > last:
			v.HolderChanges++
			last = a.Token
		}
	}
	return v
}
