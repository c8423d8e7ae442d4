package gateway

import "petrelhook/internal/router/placement"

// recordPrefixUse records that a server processes the prefix of a request, both in this router's own placement and for the next
// report to the home. The caller holds the lock.
func (g *Gateway) recordPrefixUse(req *request, s *service, server *placement.Server) {
	key := placement.HashPrefix(req.placement.PrefixKey)
	s.pool.RecordUse(key, server.ID, g.options.Now())
	if g.options.PrefixTTL == 0 {
		return
	}
	uses := g.prefixUses[req.service]
	if uses == nil {
		uses = &placement.PrefixUses{Service: req.service}
		g.prefixUses[req.service] = uses
	}
	uses.Add(key, server.ID)
}

// TakePrefixUses returns the servers to which this router has sent shared prefixes since the last call, one element for each
// service. The caller reports them to this router's home.
func (g *Gateway) TakePrefixUses() []placement.PrefixUses {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var reports []placement.PrefixUses
	for _, uses := range g.prefixUses {
		reports = append(reports, *uses)
	}
	clear(g.prefixUses)
	return reports
}

// ApplyPrefixUses records the servers to which other routers have sent shared prefixes. It does not retain the reports.
func (g *Gateway) ApplyPrefixUses(reports []placement.PrefixUses) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.options.Now()
	for _, report := range reports {
		s := g.services[report.Service]
		if s == nil {
			continue
		}
		for key, server := range report.All() {
			s.pool.RecordUse(key, server, now)
		}
	}
}
