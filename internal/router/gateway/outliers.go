package gateway

import (
	"time"

	"petrelhook/internal/router/outlier"
)

// TakeOutcomeReport takes what this sidecar has to report of its sends now.
func (g *Gateway) TakeOutcomeReport() (outlier.Report, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.tally.Take(g.options.Now())
}

// SetEjections hands in the servers that are left alone but for trials, in place of those before, for some time.
func (g *Gateway) SetEjections(list []outlier.Ejection, good time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	byService := map[string]map[string]float64{}
	for _, e := range list {
		name, ok := g.serviceOf[e.Server]
		if !ok {
			continue
		}
		if byService[name] == nil {
			byService[name] = map[string]float64{}
		}
		byService[name][e.Server] = e.Trial
	}
	for name, s := range g.services {
		s.pool.SetEjections(byService[name], g.options.Now()+good)
	}
}
