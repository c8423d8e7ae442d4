// Package gateway is the clients' side of a router: it reads a request, decides by the configuration whether it may go
// on, has placement choose a server, sends it, and relays the answer. Every request that was read gets one answer.
//
// It does not know the core: configuration, servers and the number of routers are handed in, and what was handed in
// last stays in force when nothing more comes. It chooses no server itself (package placement) and keeps no connections
// (package backend).
//
// Invariants: a request that may have run is sent again only on a route that allows it; an answer that was cut off
// never looks complete; a rejection (Retry-After) promises that the request has not run.
//
// A request is served on the goroutine that net/http calls ServeHTTP on. All methods of Gateway may be called from any
// goroutine. Its lock is held for short computations only, never while something is sent or awaited.
package gateway

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"petrelhook/internal/router/backend"
	"petrelhook/internal/router/latency"
	"petrelhook/internal/router/outlier"
	"petrelhook/internal/router/placement"
	"petrelhook/internal/router/quota"
	"petrelhook/internal/router/routetable"
)

// Options are the parameters of a gateway.
type Options struct {
	Zone          string               // of this router
	Now           func() time.Duration // the steady clock, from the start of the process; it may be called from any goroutine
	Incarnation   uint64               // drawn at random at each start: it tells answers to an earlier process
	Acquirer      Acquirer
	Retries       quota.RetryBounds
	PrefixTTL     time.Duration // how long a shared prefix counts as cached after its last use; 0: prefixes are not recorded
	MaxBodyMemory int64         // bytes of clients' bodies, all together; 0: no bound

	// OnTargetMissed is called for each request that missed its latency target, on the request's goroutine and without a
	// lock. It may not keep the trace. It may be nil.
	OnTargetMissed func(route string, t *latency.Trace, why latency.Reason)
}

// Source is who granted units of a limit.
type Source int

// The sources. FromNone: neither the primary nor a pool answered, and this router's own lease counts.
const (
	FromNone Source = iota
	FromPrimary
	FromPool
)

// Acquisition is what was acquired of a tenant's limit. Where it does not suffice, RetryAfter says when to come back; 0
// is not known.
type Acquisition struct {
	Source     Source
	Granted    float64 // units
	RetryAfter time.Duration
}

// Acquirer acquires units of a tenant's limit, which all routers share.
type Acquirer interface {
	// Acquire acquires need units for one request of a tenant and, where the primary has them to spare, up to extra units
	// for the requests that follow. It is called on the request's goroutine and without a lock, and returns when the
	// context ends, at the latest.
	Acquire(ctx context.Context, tenant string, need, extra float64) Acquisition
}

// Gateway is an http.Handler for clients. Make it by New.
type Gateway struct {
	options       Options
	table         atomic.Pointer[routetable.Table]
	draining      atomic.Pointer[drainPlan] // nil: it is not
	bufferedBytes atomic.Int64              // of bodies
	Counters      Counters

	mutex       sync.Mutex // guards all below
	services    map[string]*service
	serviceOf   map[string]string      // by instance
	routes      map[string]*routeState // by route
	quota       *quota.Client
	retryBudget *quota.RetryBudget
	fleet       fleetSize
	prefixUses  map[string]*placement.PrefixUses // not yet reported, by service
	tally       *outlier.Tally
	totals      *latency.Totals
}

// Counters are totals of requests since the start: received, answered, rejected with a promise that they did not run,
// failed without one. Retried counts retries with a permit of the budget; Migrated streams that continued at another
// server because they stalled.
type Counters struct {
	Requests, Served, Rejected, Failed, Retried, Migrated atomic.Int64
}

// New returns a gateway without a configuration and servers: requests wait for them while the router starts.
func New(o Options) *Gateway {
	return &Gateway{
		options:     o,
		services:    map[string]*service{},
		serviceOf:   map[string]string{},
		routes:      map[string]*routeState{},
		quota:       quota.NewClient(o.Incarnation),
		retryBudget: quota.NewRetryBudget(o.Retries),
		fleet:       fleetSize{size: 1},
		prefixUses:  map[string]*placement.PrefixUses{},
		tally:       outlier.NewTally(),
		totals:      latency.NewTotals(),
	}
}

// Table returns the configuration in force here, or nil.
func (g *Gateway) Table() *routetable.Table { return g.table.Load() }

// SetTable puts a configuration in force. Requests that began with the one before end with it.
func (g *Gateway) SetTable(t *routetable.Table) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !t.SharesTenants(g.table.Load()) {
		g.quota.SetLimits(Limits(t), g.options.Now())
	}
	maps.DeleteFunc(g.routes, func(route string, _ *routeState) bool { return !t.HasRoute(route) })
	g.table.Store(t)
	g.limitConnections()
}

// Limits returns the tenants' limits of a configuration, by tenant.
func Limits(t *routetable.Table) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	for name, tenant := range t.Tenants() {
		limits[name] = quota.Limit{Rate: tenant.RatePerS, Burst: tenant.Burst}
	}
	return limits
}

// SetFleetSize records a reported number of routers. A smaller one counts only after fleetShrinkDelay.
func (g *Gateway) SetFleetSize(n int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.fleet.set(max(1, n), g.options.Now()) {
		return
	}
	g.retryBudget.SetFleetSize(g.fleet.size)
	g.quota.SetFleetSize(g.fleet.size)
	g.limitConnections()
}

// FleetSize returns the number of routers that limits are divided by: as many as there were, for some time after there
// are fewer.
func (g *Gateway) FleetSize() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.fleet.size
}

// Prune closes connections to servers that have been idle for too long. The router calls it at intervals.
func (g *Gateway) Prune() {
	g.mutex.Lock()
	var all []*backend.Pool
	for _, s := range g.services {
		for _, pool := range s.connections {
			all = append(all, pool)
		}
	}
	g.mutex.Unlock()
	for _, pool := range all {
		pool.Prune()
	}
}

// RequestQuotaShares begins a request to the primary for shares of the tenants' limits, as quota.Client.RequestShares
// does. The caller sends what it returns.
func (g *Gateway) RequestQuotaShares() quota.ShareRequest {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.quota.RequestShares(g.options.Now())
}

// ApplyQuotaShares applies the primary's answer to the request with a nonce, if that was the last one.
func (g *Gateway) ApplyQuotaShares(nonce uint64, shares map[string]float64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.quota.ApplyShares(nonce, shares, g.options.Now())
}

// QuotaDeposit hands the shares that this router may spend without the primary over to a pool, to which the caller
// sends them. Until the deposit expires this router spends none of them itself.
func (g *Gateway) QuotaDeposit() quota.Deposit {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.quota.Deposit(g.options.Now())
}

// QuotaPooledUntil returns the time until which a pool has a deposit of this router.
func (g *Gateway) QuotaPooledUntil() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.quota.PooledUntil()
}

var _ http.Handler = (*Gateway)(nil)
