package placement

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// ejections holds the servers that receive only trial requests because the fleet found them to be outliers (package
// outlier).
type ejections struct {
	trialProbability map[string]float64 // by server ID: the probability that a request is a trial there
	trialOrder       []string           // server IDs in the order in which trialServer draws
	expires          time.Duration
	random           func() float64
}

// contains reports whether a server is ejected.
func (e *ejections) contains(id string, now time.Duration) bool {
	_, ok := e.trialProbability[id]
	return ok && now < e.expires
}

// SetEjections replaces the set of ejected servers, by ID, each with the probability that a request is a trial there.
// They stay ejected until expires. If they are more than half of the pool, no server is ejected. The pool keeps the map.
func (p *Pool) SetEjections(trialProbability map[string]float64, expires time.Duration) {
	known := 0
	for id := range trialProbability {
		if p.servers[id] != nil {
			known++
		}
	}
	if 2*known > len(p.ordered) {
		trialProbability = nil
	}
	p.ejections.trialProbability, p.ejections.expires = trialProbability, expires
	p.ejections.trialOrder = slices.SortedFunc(maps.Keys(trialProbability), func(a, b string) int {
		return cmp.Or(cmp.Compare(p.hash("", a), p.hash("", b)), strings.Compare(a, b))
	})
}

// trialServer draws whether the request is a trial at one of the ejected servers, and returns that server or nil.
func (p *Pool) trialServer(r Request, usable func(*Server) bool, now time.Duration) *Server {
	if len(p.ejections.trialOrder) == 0 || now >= p.ejections.expires {
		return nil
	}
	for _, id := range p.ejections.trialOrder {
		s := p.servers[id]
		if s == nil || r.Tried[id] || s.Health.CoolingDown(now) || !usable(s) {
			continue
		}
		if p.ejections.random() < p.ejections.trialProbability[id] {
			return s
		}
	}
	return nil
}
