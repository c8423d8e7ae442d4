// Package belief judges what several processes believed and did, each with its own log, on the one clock of their machine: no two
// hold at once, and what a guard admitted came in the order of its tokens.
package belief

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Look is a look of a holder at whether it holds, with yes for an answer, at some moment between From and To.
type Look struct {
	Who      string
	Token    uint64
	From, To time.Duration
}

// Act is what a guard was sent, in the order in which it came.
type Act struct {
	Who      string
	Token    uint64
	Admitted bool
}

// Verdict is what was wrong, and counts.
type Verdict struct {
	Wrong                      []string
	Looks, Holders, Acts, Late int // Holders: changes of holder; Late: acts that the guard refused
}

// Judge looks through all of it.
func Judge(looks []Look, acts []Act) (v Verdict) {
	v.Looks, v.Acts = len(looks), len(acts)
	owner := map[uint64]string{}
	own := func(token uint64, who, what string) {
		if o, known := owner[token]; known && o != who {
			v.Wrong = append(v.Wrong, fmt.Sprintf("token %d is %s's and %s's (%s)", token, o, who, what))
		}
		owner[token] = who
	}
	slices.SortFunc(looks, func(a, b Look) int { return cmp.Compare(a.From, b.From) })
	ended := slices.SortedFunc(slices.Values(looks), func(a, b Look) int { return cmp.Compare(a.To, b.To) })
	at, newest := 0, Look{}
	for _, l := range looks {
		own(l.Token, l.Who, "believed")
		for ; at < len(ended) && ended[at].To < l.From; at++ { // all that had certainly been seen before
			if ended[at].Token > newest.Token {
				newest = ended[at]
			}
		}
		if newest.Token > l.Token {
			v.Wrong = append(v.Wrong, fmt.Sprintf("%s believes in %d at %v, after %s did in %d at %v", l.Who, l.Token, l.From, newest.Who, newest.Token, newest.To))
		}
	}
	var last uint64
	for _, a := range acts {
		own(a.Token, a.Who, "acted")
		switch {
		case !a.Admitted:
			v.Late++
		case a.Token < last:
			v.Wrong = append(v.Wrong, fmt.Sprintf("an act of %d was admitted after one of %d", a.Token, last))
		case a.Token > last:
			v.Holders++
			last = a.Token
		}
	}
	return v
}
