package placement

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// ejections are the servers that get no requests but trials, since the fleet found them to be outliers (package
// outlier).
type ejections struct {
	trialProbability map[string]float64 // by server ID, that a request is a trial there
	order            []string           // of the trials
	expires          time.Duration
	random           func() float64
}

// contains reports whether a server is ejected.
func (e *ejections) contains(id string, now time.Duration) bool {
	_, ok := e.trialProbability[id]
	return ok && now < e.expires
}

// SetEjections replaces the ejected servers by those named, each with the probability that a request is a trial there,
// until they expire. Where they are more than half of the pool none is ejected. The pool keeps the map.
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
	p.ejections.order = slices.SortedFunc(maps.Keys(trialProbability), func(a, b string) int {
		return cmp.Or(cmp.Compare(p.hash("", a), p.hash("", b)), strings.Compare(a, b))
	})
}

// trialServer is an ejected server for which this request is drawn as a trial, or nil.
func (p *Pool) trialServer(r Request, usable func(*Server) bool, now time.Duration) *Server {
	if len(p.ejections.order) == 0 || now >= p.ejections.expires {
		return nil
	}
	for _, id := range p.ejections.order {
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
