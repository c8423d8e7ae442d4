package placement

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// ejected are the servers that the fleet leaves alone but for trials.
type ejected struct {
	trials map[string]float64 // by ID, the probability with which a request is a trial
	order  []string
	until  time.Duration
	random func() float64
}

// holds reports whether a server is ejected.
func (e *ejected) holds(id string, now time.Duration) bool {
	_, ok := e.trials[id]
	return ok && now < e.until
}

// SetEjections takes in the servers that are left alone, until a time; where they are more than half of the pool, none is.
func (p *Pool) SetEjections(trials map[string]float64, until time.Duration) {
	held := 0
	for id := range trials {
		if p.servers[id] != nil {
			held++
		}
	}
	if 2*held > len(p.ordered) {
		trials = nil
	}
	p.ejected.trials, p.ejected.until = trials, until
	p.ejected.order = slices.SortedFunc(maps.Keys(trials), func(a, b string) int {
		return cmp.Or(cmp.Compare(p.hash("", a), p.hash("", b)), strings.Compare(a, b))
	})
}

// trial is an ejected server that this request tries, or nil.
func (p *Pool) trial(r Request, usable func(*Server) bool, now time.Duration) *Server {
	if len(p.ejected.order) == 0 || now >= p.ejected.until {
		return nil
	}
	for _, id := range p.ejected.order {
		s := p.servers[id]
		if s == nil || r.Tried[id] || s.Health.CoolingDown(now) || !usable(s) {
			continue
		}
		if p.ejected.random() < p.ejected.trials[id] {
			return s
		}
	}
	return nil
}
