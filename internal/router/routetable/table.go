package routetable

import (
	"strings"
	"time"
)

// Kind says whether requests of a route are idempotent.
type Kind int

// The kinds of routes.
const (
	Unsafe    Kind = iota // a request must not run twice
	Safe                  // a request may run more than once
	Streaming             // the answer is a stream of events; as Unsafe, unless the route allows to resume it
)

// Compiled is a route as the data plane uses it. It is immutable.
type Compiled struct {
	Route
	Kind          Kind
	Timeout       time.Duration
	TargetLatency time.Duration // for the first part of the answer; 0: none
	TargetGap     time.Duration // for the longest time between two parts of the answer; 0: none
	Attempts      int           // servers that a request is sent to at most; at least 1
	Backends      []WeightedBackend
}

// Idempotent reports whether a request of the route may be sent again after a server may have run it.
func (r *Compiled) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.StreamResume
}

// Table is a configuration compiled for lookups. It is immutable; a request holds the one that it began with.
type Table struct {
	Generation int64
	Limits     ClientLimits
	hosts      map[string]map[string]*Compiled // by host, in lower case, and prefix
	routes     map[*Route]*Compiled
	names      map[string]bool // of the routes
	services   map[string]*Service
	*tenancy
}

// tenancy is the tenants of a configuration. Tables share it where their configurations share the list of tenants.
type tenancy struct {
	list    []Item[Tenant]
	keys    map[string]*Tenant
	tenants map[string]*Tenant
}

func newTenancy(list []Item[Tenant]) *tenancy {
	t := &tenancy{list: list, keys: make(map[string]*Tenant, len(list)), tenants: make(map[string]*Tenant, len(list))}
	for i := range list {
		tenant := list[i].Value
		t.tenants[tenant.Name] = tenant
		for _, key := range tenant.ApiKeys {
			t.keys[key] = tenant
		}
	}
	return t
}

// Compile returns the table of a valid configuration. It shares with the previous table, which may be nil, what did not
// change.
func Compile(c *Config, previous *Table) *Table {
	if previous == nil {
		previous = &Table{tenancy: newTenancy(nil)}
	}
	t := &Table{
		tenancy:    previous.tenancy,
		Generation: c.Generation,
		hosts:      map[string]map[string]*Compiled{},
		routes:     make(map[*Route]*Compiled, len(c.Routes)),
		names:      make(map[string]bool, len(c.Routes)),
		services:   map[string]*Service{},
	}
	t.Limits, _ = c.ClientLimits() // a valid configuration has limits that can be read
	for i := range c.Routes {
		r := c.Routes[i].Value
		compiled := previous.routes[r]
		if compiled == nil {
			compiled = compile(r)
		}
		t.add(r, compiled)
	}
	if !sameList(c.Tenants, previous.list) {
		t.tenancy = newTenancy(c.Tenants)
	}
	for i := range c.Services {
		t.services[c.Services[i].Value.Name] = c.Services[i].Value
	}
	return t
}

func compile(r *Route) *Compiled {
	compiled := &Compiled{
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

// add makes a route findable.
func (t *Table) add(r *Route, compiled *Compiled) {
	t.routes[r] = compiled
	t.names[r.Name] = true
	host := strings.ToLower(r.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = map[string]*Compiled{}
	}
	t.hosts[host][r.PathPrefix] = compiled
}

// Route returns the route with the longest prefix of a path, or nil. It takes as many steps as the path has slashes.
func (t *Table) Route(host, path string) *Compiled {
	prefixes := t.hosts[strings.ToLower(stripPort(host))]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// HasRoute reports whether there is a route with a name.
func (t *Table) HasRoute(name string) bool { return t.names[name] }

// stripPort returns a host without its port; an IPv6 address in brackets may have none.
func stripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// SharesTenants reports whether the tenants are those of another table, which may be nil.
func (t *Table) SharesTenants(other *Table) bool { return other != nil && t.tenancy == other.tenancy }

// HasTenants reports whether requests must carry a key.
func (t *Table) HasTenants() bool { return len(t.tenants) > 0 }

// TenantOf returns the tenant that holds a key, or nil.
func (t *Table) TenantOf(key string) *Tenant { return t.keys[key] }

// Tenant returns the tenant with a name, or nil.
func (t *Table) Tenant(name string) *Tenant { return t.tenants[name] }

// Tenants returns all tenants by name. The map must not be changed.
func (t *Table) Tenants() map[string]*Tenant { return t.tenants }

// Service returns the service with a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services by name. The map must not be changed.
func (t *Table) Services() map[string]*Service { return t.services }
