package gateway

import (
	"time"

	"petrelhook/internal/router/outlier"
)

// TakeOutcomeReport returns the outcomes of this router's attempts since the last report; ok is false if no report is due. The
// caller sends the report to this router's home.
func (g *Gateway) TakeOutcomeReport() (report outlier.Report, ok bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.tally.Take(g.options.Now())
}

// SetEjections replaces the ejected servers, which get only trial requests, by those that the home reports. The ejections expire
// after ttl.
func (g *Gateway) SetEjections(ejections []outlier.Ejection, ttl time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	byService := map[string]map[string]float64{}
	for _, e := range ejections {
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
		s.pool.SetEjections(byService[name], g.options.Now()+ttl)
	}
}
