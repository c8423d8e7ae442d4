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
		s.pool.ObservePrefill(req.work.PrefillTokens, took, g.options.Now())
	}
	from.server.End(placement.Work{PrefillTokens: req.work.PrefillTokens})
	req.work.PrefillTokens = 0
}

// LocalLoads is what this sidecar's requests have left to do.
func (g *Gateway) LocalLoads() placement.LoadSums {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	all := placement.LoadSums{}
	for _, s := range g.services {
		s.pool.AddLoads(all)
	}
	return all
}

// SetPeerLoads hands in what the other sidecars' requests have left to do: nothing at servers that are not named.
func (g *Gateway) SetPeerLoads(others placement.LoadSums) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.options.Now()
	for _, s := range g.services {
		s.pool.SetPeerLoads(others, now)
	}
}
