package gateway

import (
	"petrelhook/internal/router/backend"
	"petrelhook/internal/router/placement"
	"petrelhook/internal/router/registry"
)

// service holds the servers of one service and the connections to them.
type service struct {
	pool        *placement.Pool
	connections map[string]*backend.Pool // by instance id; exactly the servers in pool
}

const (
	usableFraction     = 0.8 // fraction of the connections accepted by a server that all routers together may use
	defaultConnections = 64  // limit for a server for which the configuration sets none
	minConnections     = 2
)

// UpdateServers applies the registry entries that have changed. It does not retain them. Its cost is proportional to the number
// of changes.
func (g *Gateway) UpdateServers(changed []*registry.Entry) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, e := range changed {
		if previousService, ok := g.serviceOf[e.ID]; ok && (!e.Usable() || previousService != e.Service) {
			g.removeServer(previousService, e.ID)
		}
		if e.Usable() {
			g.upsertServer(&e.Instance)
		}
	}
}

// removeServer removes a server of a service. The caller holds the lock.
func (g *Gateway) removeServer(service, id string) {
	s := g.services[service]
	s.pool.Remove(id)
	s.connections[id].Close()
	delete(s.connections, id)
	delete(g.serviceOf, id)
}

// upsertServer adds a server or updates a known one, whose connections are replaced if its address has changed. The caller holds the
// lock.
func (g *Gateway) upsertServer(instance *registry.Instance) {
	s := g.services[instance.Service]
	if s == nil {
		s = &service{
			pool:        placement.NewPool(g.options.Zone, g.options.PrefixTTL, placement.DefaultPolicy(), nil),
			connections: map[string]*backend.Pool{},
		}
		g.services[instance.Service] = s
	}
	if pool := s.connections[instance.ID]; pool != nil && pool.Address() != instance.Address {
		g.removeServer(instance.Service, instance.ID)
	}
	if s.connections[instance.ID] == nil {
		s.connections[instance.ID] = backend.NewPool(instance.Address, g.connectionLimit(instance.Service), g.options.Connections)
	}
	s.pool.Put(placement.Endpoint{ID: instance.ID, Address: instance.Address, Zone: instance.Zone, Slots: instance.Slots})
	g.serviceOf[instance.ID] = instance.Service
}

// ServerCounts returns the number of usable servers of each service.
func (g *Gateway) ServerCounts() map[string]int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	counts := make(map[string]int, len(g.services))
	for name, s := range g.services {
		counts[name] = len(s.connections)
	}
	return counts
}

// ServerCount returns the number of usable servers of a service.
func (g *Gateway) ServerCount(name string) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.services[name]
	if s == nil {
		return 0
	}
	return len(s.connections)
}

// connectionLimit returns the number of connections that this router may open to each server of a service: its share of those
// that a server accepts. The caller holds the lock.
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

// limitConnections updates the connection limits of all servers after a change of the configuration or of the number of routers.
// The caller holds the lock.
func (g *Gateway) limitConnections() {
	for name, s := range g.services {
		limit := g.connectionLimit(name)
		for _, pool := range s.connections {
			pool.SetLimit(limit)
		}
	}
}
