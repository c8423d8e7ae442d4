package routetable

import (
	"strings"
	"time"
)

// Kind tells whether requests of a route are idempotent.
type Kind int

// The kinds of routes.
const (
	Unsafe    Kind = iota // a request must not run twice
	Safe                  // a request may run more than once
	Streaming             // the answer is a stream of events; like Unsafe, unless the route allows resuming the stream
)

// CompiledRoute is a route prepared for the data plane. It is immutable.
type CompiledRoute struct {
	Route
	Kind          Kind
	Timeout       time.Duration
	TargetLatency time.Duration // for the first part of the answer; 0: none
	TargetGap     time.Duration // for the longest time between two parts of the answer; 0: none
	Attempts      int           // maximum number of servers to which a request is sent; at least 1
	Backends      []WeightedBackend
}

// Idempotent reports whether a request of the route may be retried even if a server may already have run it.
func (r *CompiledRoute) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.StreamResume
}

// Table is a configuration compiled for lookups. It is immutable. A request uses the same Table from its start to its
// end.
type Table struct {
	Generation int64
	Limits     ClientLimits
	hosts      map[string]map[string]*CompiledRoute // by lower-case host and path prefix
	routes     map[*Route]*CompiledRoute
	routeNames map[string]bool
	services   map[string]*Service
	*tenantIndex
}

// tenantIndex indexes the tenants of a configuration by API key and by name. Tables share it if their configurations
// share the list of tenants.
type tenantIndex struct {
	list    []Item[Tenant]
	keys    map[string]*Tenant // by API key
	tenants map[string]*Tenant // by name
}

func newTenantIndex(list []Item[Tenant]) *tenantIndex {
	t := &tenantIndex{list: list, keys: make(map[string]*Tenant, len(list)), tenants: make(map[string]*Tenant, len(list))}
	for i := range list {
		tenant := list[i].Value
		t.tenants[tenant.Name] = tenant
		for _, key := range tenant.ApiKeys {
			t.keys[key] = tenant
		}
	}
	return t
}

// Compile returns the Table of a valid configuration. It shares unchanged routes and tenants with the previous Table,
// which may be nil.
func Compile(c *Config, previous *Table) *Table {
	if previous == nil {
		previous = &Table{tenantIndex: newTenantIndex(nil)}
	}
	t := &Table{
		tenantIndex: previous.tenantIndex,
		Generation:  c.Generation,
		hosts:       map[string]map[string]*CompiledRoute{},
		routes:      make(map[*Route]*CompiledRoute, len(c.Routes)),
		routeNames:  make(map[string]bool, len(c.Routes)),
		services:    map[string]*Service{},
	}
	t.Limits, _ = c.ClientLimits() // Validate has checked that the limits can be parsed
	for i := range c.Routes {
		r := c.Routes[i].Value
		compiled := previous.routes[r]
		if compiled == nil {
			compiled = compileRoute(r)
		}
		t.addRoute(r, compiled)
	}
	if !sameList(c.Tenants, previous.list) {
		t.tenantIndex = newTenantIndex(c.Tenants)
	}
	for i := range c.Services {
		t.services[c.Services[i].Value.Name] = c.Services[i].Value
	}
	return t
}

func compileRoute(r *Route) *CompiledRoute {
	compiled := &CompiledRoute{
		Route:         *r,
		Timeout:       time.Duration(r.TimeoutMs * float64(time.Millisecond)),
		TargetLatency: time.Duration(r.TargetLatencyMs * float64(time.Millisecond)),
		TargetGap:     time.Duration(r.GapAimMs * float64(time.Millisecond)),
		Attempts:      max(1, r.MaxAttempts),
		Backends:      r.WeightedBackends,
	}
	switch r.RouteType {
	case "safe":
		compiled.Kind = Safe
	case "streaming":
		compiled.Kind = Streaming
	}
	if len(compiled.Backends) == 0 {
		compiled.Backends = []WeightedBackend{{Service: r.Service, Weight: 1}}
	}
	return compiled
}

// addRoute adds a route to the indexes of the table.
func (t *Table) addRoute(r *Route, compiled *CompiledRoute) {
	t.routes[r] = compiled
	t.routeNames[r.Name] = true
	host := strings.ToLower(r.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = map[string]*CompiledRoute{}
	}
	t.hosts[host][r.PathPrefix] = compiled
}

// Route returns the route of a host with the longest prefix of a path, or nil if there is none. It does one map lookup
// per slash of the path.
func (t *Table) Route(host, path string) *CompiledRoute {
	prefixes := t.hosts[strings.ToLower(stripPort(host))]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// HasRoute reports whether there is a route with this name.
func (t *Table) HasRoute(name string) bool { return t.routeNames[name] }

// stripPort returns a host without its port. An IPv6 address in brackets without a port is returned unchanged.
func stripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// SharesTenants reports whether the table has the same tenants as another table, because it was compiled with that table
// as the previous one and its configuration has the same list. The other table may be nil.
func (t *Table) SharesTenants(other *Table) bool {
	return other != nil && t.tenantIndex == other.tenantIndex
}

// HasTenants reports whether there are tenants, in which case requests must carry an API key.
func (t *Table) HasTenants() bool { return len(t.tenants) > 0 }

// TenantOf returns the tenant that has an API key, or nil.
func (t *Table) TenantOf(key string) *Tenant { return t.keys[key] }

// Tenant returns the tenant with this name, or nil.
func (t *Table) Tenant(name string) *Tenant { return t.tenants[name] }

// Tenants returns all tenants by name. The caller must not change the map.
func (t *Table) Tenants() map[string]*Tenant { return t.tenants }

// Service returns the service with this name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services by name. The caller must not change the map.
func (t *Table) Services() map[string]*Service { return t.services }
