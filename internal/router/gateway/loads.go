package gateway

import (
	"time"

	"petrelhook/internal/router/placement"
)

// prefillDone records that a server has read a request's prompt, since its answer begins.
func (g *Gateway) prefillDone(req *request, from *serverAnswer) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	took := time.Since(from.sentAt)
	g.routeState(req.route.Name).firstEvents.add(took)
	work := &req.attempts.work
	if s := g.services[req.service]; s != nil {
		s.pool.ObservePrefill(work.PrefillTokens, took, g.options.Now())
	}
	from.server.End(placement.Work{PrefillTokens: work.PrefillTokens})
	work.PrefillTokens = 0
}

// LocalLoads returns the work that this router's requests have pending, by server. The caller reports it to the others.
func (g *Gateway) LocalLoads() placement.LoadSums {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	all := placement.LoadSums{}
	for _, s := range g.services {
		s.pool.AddLoads(all)
	}
	return all
}

// SetPeerLoads sets the work that the other routers' requests have pending, as last reported: none at servers that are
// not named. It fades within a second where it is not set again.
func (g *Gateway) SetPeerLoads(others placement.LoadSums) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.options.Now()
	for _, s := range g.services {
		s.pool.SetPeerLoads(others, now)
	}
}
