// Package belief checks the records of several processes that contend for a lease, by the clock of their machine: no two believed at the
// same time that they hold it, and the writes that the protected resource admitted are in the order of their fencing tokens. It is pure.
package belief

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Belief is a check by which a holder found, at some moment between From and To, that it holds the lease. The times are of the machine's
// monotonic clock.
type Belief struct {
	Holder   string
	Token    uint64
	From, To time.Duration
}

// Write is a write to the protected resource; a list of them is in the order in which they arrived.
type Write struct {
	Holder   string
	Token    uint64
	Admitted bool
}

// Verdict is the result of Check.
type Verdict struct {
	Violations    []string
	Beliefs       int
	HolderChanges int // writes of a larger token than all before
	Writes        int
	Rejected      int // writes that the resource did not admit
}

// Check checks all beliefs and writes. It sorts beliefs in place.
func Check(beliefs []Belief, writes []Write) (v Verdict) {
	v.Beliefs, v.Writes = len(beliefs), len(writes)
	owner := map[uint64]string{}
	claim := func(token uint64, holder, what string) {
		if other, known := owner[token]; known && other != holder {
			v.Violations = append(v.Violations, fmt.Sprintf("token %d is %s's and %s's (%s)", token, other, holder, what))
		}
		owner[token] = holder
	}
	slices.SortFunc(beliefs, func(a, b Belief) int { return cmp.Compare(a.From, b.From) })
	ended := slices.SortedFunc(slices.Values(beliefs), func(a, b Belief) int { return cmp.Compare(a.To, b.To) })
	next, newest := 0, Belief{}
	for _, l := range beliefs {
		claim(l.Token, l.Holder, "believed")
		for ; next < len(ended) && ended[next].To < l.From; next++ { // all checks that had certainly ended before
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
		claim(a.Token, a.Holder, "wrote")
		switch {
		case !a.Admitted:
			v.Rejected++
		case a.Token < last:
			v.Violations = append(v.Violations, fmt.Sprintf("a write with token %d was admitted after one with %d", a.Token, last))
		case a.Token > last:
			v.HolderChanges++
			last = a.Token
		}
	}
	return v
}
