package gateway

import "petrelhook/internal/router/placement"

// used notes where a part is read, and that others should hear of it. The lock is held.
func (g *Gateway) used(req *request, s *service, server *placement.Server) {
	key := placement.HashKey(req.place.Key)
	s.pool.Used(key, server.ID, g.options.Now())
	if g.options.Again == 0 {
		return
	}
	u := g.uses[req.service]
	if u == nil {
		u = &placement.Uses{Service: req.service}
		g.uses[req.service] = u
	}
	u.Add(key, server.ID)
}

// TakeUses takes what this sidecar sent where since the last call.
func (g *Gateway) TakeUses() []placement.Uses {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var out []placement.Uses
	for _, u := range g.uses {
		out = append(out, *u)
	}
	clear(g.uses)
	return out
}

// NoteUses takes in what other sidecars sent where.
func (g *Gateway) NoteUses(list []placement.Uses) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.options.Now()
	for _, u := range list {
		s := g.services[u.Service]
		if s == nil {
			continue
		}
		for key, server := range u.All() {
			s.pool.Used(key, server, now)
		}
	}
}
