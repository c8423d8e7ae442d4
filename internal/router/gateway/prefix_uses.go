package gateway

import "petrelhook/internal/router/placement"

// recordPrefixUse records that a server reads the prefix of a request, here and for the next report. The lock is held.
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

// TakePrefixUses returns where this router sent shared prefixes since the last call, by service. The caller reports it
// to the home.
func (g *Gateway) TakePrefixUses() []placement.PrefixUses {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var out []placement.PrefixUses
	for _, uses := range g.prefixUses {
		out = append(out, *uses)
	}
	clear(g.prefixUses)
	return out
}

// ApplyPrefixUses records where other routers sent shared prefixes. It keeps none of the reports.
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
