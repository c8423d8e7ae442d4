package gateway

import (
	"time"

	"petrelhook/internal/router/placement"
)

// recordPrefill records that a server has completed the prefill of a request, as the first event of its response shows: the time
// it took, and that the prompt is no longer part of the server's pending work.
func (g *Gateway) recordPrefill(req *request, upstream *upstreamResponse) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	elapsed := time.Since(upstream.sentAt)
	g.routeState(req.route.Name).firstEvents.add(elapsed)
	work := &req.attempts.work
	if s := g.services[req.service]; s != nil {
		s.pool.ObservePrefill(work.PrefillTokens, elapsed, g.options.Now())
	}
	upstream.server.End(placement.Work{PrefillTokens: work.PrefillTokens})
	work.PrefillTokens = 0
}

// LocalLoads returns the pending work of this router's requests, by server. The caller reports it to the other routers.
func (g *Gateway) LocalLoads() placement.LoadSums {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	loads := placement.LoadSums{}
	for _, s := range g.services {
		s.pool.AddLoads(loads)
	}
	return loads
}

// SetPeerLoads replaces the pending work of the other routers' requests by the last reported one; servers that are not listed
// have none. A value that is not set again decays within a second.
func (g *Gateway) SetPeerLoads(loads placement.LoadSums) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.options.Now()
	for _, s := range g.services {
		s.pool.SetPeerLoads(loads, now)
	}
}
