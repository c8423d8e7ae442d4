package scenario

import (
	"time"

	"petrelhook/internal/rig/statement"
)

// CrowdKind is what foreign clients do: clients besides the application's own, which occupy connections and request little.
type CrowdKind string

// The kinds of crowds.
const (
	IdleClients             CrowdKind = "idlers"   // connect, send nothing, and stay
	SingleRequestClients    CrowdKind = "onces"    // send one request and stay
	ReconnectingClients     CrowdKind = "stormers" // send one request; rejected or closed, they reconnect at once
	OneConnectionPerRequest CrowdKind = "passers"  // send one request, close, and reconnect: one connection a request
	SlowHeads               CrowdKind = "heads"    // send the head of a request byte by byte
	SlowBodies              CrowdKind = "bodies"   // send a complete head, and the largest body byte by byte
	AbortedHeads            CrowdKind = "aborts"   // connect, send half a head, reset, and reconnect
)

var crowdKinds = []CrowdKind{IdleClients, SingleRequestClients, ReconnectingClients, OneConnectionPerRequest, SlowHeads, SlowBodies, AbortedHeads}

// Crowd is a group of foreign clients of one kind.
type Crowd struct {
	At, Duration  time.Duration // when the first connects, and for how long they stay
	ArrivalPeriod time.Duration // within which they connect, evenly
	Kind          CrowdKind
	Count         int
	Line          int
}

// crowd reads "at TIME crowd KIND COUNT for TIME [over=TIME]".
func (p *parser) crowd(l *statement.Line, at time.Duration) error {
	c := Crowd{At: at, Line: l.LineNumber}
	c.Kind = statement.OneOf(l, "crowd", l.NextWord("what they do"), crowdKinds...)
	c.Count = l.ParseInteger("crowd", l.NextWord("how many they are"), 1, 1e5)
	if !l.AcceptWord("for") {
		l.Fail("crowd", "for how long is missing, such as for 5s")
	} else if c.Duration = l.ParseDuration("for", l.NextWord("a duration")); c.Duration == 0 {
		l.Fail("for", "must be over 0")
	}
	if l.Duration("over", &c.ArrivalPeriod); c.ArrivalPeriod > c.Duration {
		l.Fail("over", "they come within %v and are gone after %v", c.ArrivalPeriod, c.Duration)
	}
	p.scenario.Crowds = append(p.scenario.Crowds, c)
	return l.Finish("over")
}
