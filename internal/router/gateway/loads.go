package gateway

import (
	"time"

	"petrelhook/internal/router/placement"
)

// promptRead notes that a server has read a request's prompt: its answer begins.
func (g *Gateway) promptRead(req *request, from *stream) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	took := time.Since(from.sent)
	recentOf(g.firsts, req.route.Name).add(took)
	if s := g.services[req.service]; s != nil {
		s.pool.Answered(req.work.Unread, took, g.options.Now())
	}
	from.server.End(placement.Work{Unread: req.work.Unread})
	req.work.Unread = 0
}

// Loads is what this sidecar's requests have left to do.
func (g *Gateway) Loads() placement.LoadSums {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	all := placement.LoadSums{}
	for _, s := range g.services {
		s.pool.Loads(all)
	}
	return all
}

// SetLoads hands in what the other sidecars' requests have left to do: nothing at servers that are not named.
func (g *Gateway) SetLoads(others placement.LoadSums) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.options.Now()
	for _, s := range g.services {
		s.pool.SetLoads(others, now)
	}
}
