package gateway

import (
	"petrelhook/internal/router/backend"
	"petrelhook/internal/router/placement"
	"petrelhook/internal/router/registry"
)

// service is the data plane's state of one service.
type service struct {
	pool  *placement.Pool
	conns map[string]*backend.Pool // by instance
}

const (
	connectionPart     = 0.8 // of what a server takes is used by all sidecars together
	unlimitedPart      = 64  // connections to a server for which the configuration tells no bound
	connectionsAtLeast = 2
)

// UpdateServers takes in entries of the registry that changed. It costs as much as there are changes.
func (g *Gateway) UpdateServers(changed []*registry.Entry) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, e := range changed {
		if before, ok := g.serviceOf[e.ID]; ok && (!e.Usable() || before != e.Service) {
			g.removeServer(before, e.ID)
		}
		if e.Usable() {
			g.putServer(&e.Instance)
		}
	}
}

func (g *Gateway) removeServer(name, id string) {
	s := g.services[name]
	s.pool.Remove(id)
	s.conns[id].Close()
	delete(s.conns, id)
	delete(g.serviceOf, id)
}

func (g *Gateway) putServer(i *registry.Instance) {
	s := g.services[i.Service]
	if s == nil {
		s = &service{pool: placement.NewPool(g.options.Zone, g.options.PrefixTTL, placement.DefaultPolicy(), nil), conns: map[string]*backend.Pool{}}
		g.services[i.Service] = s
	}
	if c := s.conns[i.ID]; c != nil && c.Address() != i.Address {
		g.removeServer(i.Service, i.ID)
	}
	if s.conns[i.ID] == nil {
		s.conns[i.ID] = backend.NewPool(i.Address, g.connections(i.Service))
	}
	s.pool.Put(placement.Server{ID: i.ID, Address: i.Address, Zone: i.Zone, Slots: i.Slots})
	g.serviceOf[i.ID] = i.Service
}

// ServerCounts is how many servers of each service requests may go to.
func (g *Gateway) ServerCounts() map[string]int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	count := make(map[string]int, len(g.services))
	for name, s := range g.services {
		count[name] = len(s.conns)
	}
	return count
}

// ServerCount counts the servers of a service that requests may go to.
func (g *Gateway) ServerCount(name string) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.services[name]
	if s == nil {
		return 0
	}
	return len(s.conns)
}

// connections is this sidecar's part of what a server of a service takes.
func (g *Gateway) connections(name string) int {
	t := g.table.Load()
	if t == nil {
		return connectionsAtLeast
	}
	s := t.Service(name)
	if s == nil || s.MaxConnections == 0 {
		return unlimitedPart
	}
	return max(connectionsAtLeast, int(connectionPart*float64(s.MaxConnections)/float64(g.fleet.size)))
}

// limitConnections bounds the connections to all servers by the configuration and the size of the fleet. The lock is held.
func (g *Gateway) limitConnections() {
	for name, s := range g.services {
		limit := g.connections(name)
		for _, c := range s.conns {
			c.SetLimit(limit)
		}
	}
}
