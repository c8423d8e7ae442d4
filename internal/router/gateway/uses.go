package gateway

import "petrelhook/internal/router/placement"

// used notes where a part is read, and that others should hear of it. The lock is held.
func (g *Gateway) used(req *request, s *service, server *placement.Server) {
	key := placement.HashPrefix(req.place.PrefixKey)
	s.pool.RecordUse(key, server.ID, g.options.Now())
	if g.options.PrefixTTL == 0 {
		return
	}
	u := g.uses[req.service]
	if u == nil {
		u = &placement.PrefixUses{Service: req.service}
		g.uses[req.service] = u
	}
	u.Add(key, server.ID)
}

// TakePrefixUses takes what this sidecar sent where since the last call.
func (g *Gateway) TakePrefixUses() []placement.PrefixUses {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var out []placement.PrefixUses
	for _, u := range g.uses {
		out = append(out, *u)
	}
	clear(g.uses)
	return out
}

// ApplyPrefixUses takes in what other sidecars sent where.
func (g *Gateway) ApplyPrefixUses(list []placement.PrefixUses) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.options.Now()
	for _, u := range list {
		s := g.services[u.Service]
		if s == nil {
			continue
		}
		for key, server := range u.All() {
			s.pool.RecordUse(key, server, now)
		}
	}
}
