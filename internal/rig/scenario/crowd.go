package scenario

import (
	"time"

	"petrelhook/internal/rig/statement"
)

// CrowdKind is what strange clients do: those beside the application's own, who take places and ask for little.
type CrowdKind string

// The crowds.
const (
	Idlers  CrowdKind = "idlers"   // connect, never ask, and stay
	Onces   CrowdKind = "onces"    // ask once and stay
	Stormer CrowdKind = "stormers" // ask once; turned away or closed, they are back at once
	Passers CrowdKind = "passers"  // ask once, close, and are back: one connection a request
	Heads   CrowdKind = "heads"    // send the head of a request a byte at a time
	Bodies  CrowdKind = "bodies"   // send a whole head, and the largest body a byte at a time
	Aborts  CrowdKind = "aborts"   // connect, send half a head, reset, and are back
)

var crowdKinds = []CrowdKind{Idlers, Onces, Stormer, Passers, Heads, Bodies, Aborts}

// Crowd is strange clients that come together.
type Crowd struct {
	At, For time.Duration // when the first comes, and when the last is gone
	Over    time.Duration // within which they come, evenly
	Kind    CrowdKind
	Count   int
	Line    int
}

// crowd reads "at TIME crowd KIND COUNT for TIME [over=TIME]".
func (p *parser) crowd(l *statement.Line, at time.Duration) error {
	c := Crowd{At: at, Line: l.No}
	c.Kind = statement.OneOf(l, "crowd", l.Word("what they do"), crowdKinds...)
	c.Count = l.ParseInteger("crowd", l.Word("how many they are"), 1, 1e5)
	if !l.Literal("for") {
		l.Fail("crowd", "for how long is missing, such as for 5s")
	} else if c.For = l.ParseDuration("for", l.Word("a duration")); c.For == 0 {
		l.Fail("for", "must be over 0")
	}
	if l.Duration("over", &c.Over); c.Over > c.For {
		l.Fail("over", "they come within %v and are gone after %v", c.Over, c.For)
	}
	p.s.Crowds = append(p.s.Crowds, c)
	return l.End("over")
}
