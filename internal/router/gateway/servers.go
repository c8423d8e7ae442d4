package gateway

import (
	"petrelhook/internal/router/backend"
	"petrelhook/internal/router/placement"
	"petrelhook/internal/router/registry"
)

// service is the data plane's state of one service.
type service struct {
	pool        *placement.Pool
	connections map[string]*backend.Pool // by instance
}

const (
	usableFraction     = 0.8 // of the connections that a server accepts is used by all routers together
	defaultConnections = 64  // to a server for which the configuration has no bound
	minConnections     = 2
)

// UpdateServers applies entries of the registry that changed; it keeps none of them. The cost is proportional to the
// number of changes.
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
	s.connections[id].Close()
	delete(s.connections, id)
	delete(g.serviceOf, id)
}

func (g *Gateway) putServer(i *registry.Instance) {
	s := g.services[i.Service]
	if s == nil {
		s = &service{
			pool:        placement.NewPool(g.options.Zone, g.options.PrefixTTL, placement.DefaultPolicy(), nil),
			connections: map[string]*backend.Pool{},
		}
		g.services[i.Service] = s
	}
	if pool := s.connections[i.ID]; pool != nil && pool.Address() != i.Address {
		g.removeServer(i.Service, i.ID)
	}
	if s.connections[i.ID] == nil {
		s.connections[i.ID] = backend.NewPool(i.Address, g.connectionLimit(i.Service))
	}
	s.pool.Put(placement.Endpoint{ID: i.ID, Address: i.Address, Zone: i.Zone, Slots: i.Slots})
	g.serviceOf[i.ID] = i.Service
}

// ServerCounts returns the number of servers that requests may go to, by service.
func (g *Gateway) ServerCounts() map[string]int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	counts := make(map[string]int, len(g.services))
	for name, s := range g.services {
		counts[name] = len(s.connections)
	}
	return counts
}

// ServerCount returns the number of servers of a service that requests may go to.
func (g *Gateway) ServerCount(name string) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.services[name]
	if s == nil {
		return 0
	}
	return len(s.connections)
}

// connectionLimit is this router's part of the connections that a server of a service accepts.
func (g *Gateway) connectionLimit(name string) int {
	t := g.table.Load()
	if t == nil {
		return minConnections
	}
	s := t.Service(name)
	if s == nil || s.MaxConnections == 0 {
		return defaultConnections
	}
	return max(minConnections, int(usableFraction*float64(s.MaxConnections)/float64(g.fleet.size)))
}

// limitConnections bounds the connections to all servers by the configuration and the number of routers. The lock is
// held.
func (g *Gateway) limitConnections() {
	for name, s := range g.services {
		limit := g.connectionLimit(name)
		for _, pool := range s.connections {
			pool.SetLimit(limit)
		}
	}
}
