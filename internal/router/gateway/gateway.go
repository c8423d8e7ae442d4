// Package gateway is the clients' side of a sidecar: it reads a request, decides by the configuration whether it may go on,
// has placement choose a server, sends it, and answers. Every request that was read gets one answer.
//
// It knows nothing of the core: configuration, servers and the size of the fleet are handed in, and what was handed in
// last stands when nothing more comes.
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
	"petrelhook/internal/router/rotation"
	"petrelhook/internal/router/routetable"
)

// Options are what a gateway is made with.
type Options struct {
	Zone              string
	Now               func() time.Duration // the steady clock
	Incarnation       uint64               // drawn at each start: answers to a process before are told by it
	Acquirer          Acquirer
	PrefixTTL         time.Duration                                            // for which a shared part counts as kept after its last use
	OnObjectiveMissed func(route string, t *latency.Trace, why latency.Reason) // is told of requests that missed their objective; may be nil
	MaxBodyMemory     int64                                                    // for clients' bodies, all together; 0: no bound
	BudgetRatio       float64
	BudgetSlack       float64
	BudgetWindow      time.Duration
}

// Source is who gave units of a limit.
type Source int

// The sources. FromNobody: neither the primary nor a pool answered, and this sidecar's own lease counts.
const (
	FromNone Source = iota
	FromPrimary
	FromPool
)

// Acquisition is what was acquired of a tenant's limit; where it is not enough, Wait says when to come back.
type Acquisition struct {
	Source     Source
	Granted    float64
	RetryAfter time.Duration
}

// Acquirer acquires units of a tenant's limit, which all sidecars share.
type Acquirer interface {
	Acquire(ctx context.Context, tenant string, need, extra float64) Acquisition
}

// Gateway is an http.Handler for clients.
type Gateway struct {
	options  Options
	table    atomic.Pointer[routetable.Table]
	ending   atomic.Pointer[ending]
	bodies   atomic.Int64 // bytes held
	Counters Counters

	mutex     sync.Mutex // guards all below
	services  map[string]*service
	serviceOf map[string]string                   // by instance
	splits    map[string][]rotation.CurrentWeight // turns of a route's backends, by route
	deadlines map[string]*recentTimes             // that clients gave, by route
	firsts    map[string]*recentTimes             // from a send to the first part of a stream, by route
	quota     *quota.Client
	retries   *quota.RetryBudget
	fleet     fleetSize
	uses      map[string]*placement.PrefixUses // not yet told, by service
	tally     *outlier.Tally
	totals    *latency.Totals
}

// Counters are totals since the start.
type Counters struct {
	Requests, Served, Rejected, Failed, Retried, Migrated atomic.Int64
}

// New makes a gateway without a configuration.
func New(o Options) *Gateway {
	return &Gateway{options: o, services: map[string]*service{}, serviceOf: map[string]string{}, splits: map[string][]rotation.CurrentWeight{}, deadlines: map[string]*recentTimes{}, firsts: map[string]*recentTimes{}, fleet: fleetSize{size: 1}, uses: map[string]*placement.PrefixUses{},
		tally: outlier.NewTally(), totals: latency.NewTotals(), quota: quota.NewClient(o.Incarnation), retries: quota.NewRetryBudget(o.BudgetRatio, o.BudgetSlack, o.BudgetWindow)}
}

// Table is the configuration in force here, or nil.
func (g *Gateway) Table() *routetable.Table { return g.table.Load() }

// SetTable puts a configuration in force.
func (g *Gateway) SetTable(t *routetable.Table) {
	g.mutex.Lock()
	if !t.SharesTenants(g.table.Load()) {
		g.quota.SetLimits(Limits(t), g.options.Now())
	}
	gone := func(route string) bool { return !t.HasRoute(route) }
	maps.DeleteFunc(g.splits, func(route string, _ []rotation.CurrentWeight) bool { return gone(route) })
	for _, times := range []map[string]*recentTimes{g.deadlines, g.firsts} {
		maps.DeleteFunc(times, func(route string, _ *recentTimes) bool { return gone(route) })
	}
	g.table.Store(t)
	g.limitConnections()
	g.mutex.Unlock()
}

// Limits are the tenants' limits of a configuration.
func Limits(t *routetable.Table) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	for name, tenant := range t.Tenants() {
		limits[name] = quota.Limit{Rate: tenant.RatePerS, Burst: tenant.Burst}
	}
	return limits
}

// SetFleetSize hands in how many sidecars there are.
func (g *Gateway) SetFleetSize(n int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.fleet.set(max(1, n), g.options.Now()) {
		return
	}
	g.retries.SetFleetSize(g.fleet.size)
	g.quota.SetFleetSize(g.fleet.size)
	g.limitConnections()
}

// FleetSize is how many sidecars there are as far as limits are concerned: as many as there were, for some time after there are fewer.
func (g *Gateway) FleetSize() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.fleet.size
}

// Prune closes connections to servers that have been idle for long.
func (g *Gateway) Prune() {
	g.mutex.Lock()
	var all []*backend.Pool
	for _, s := range g.services {
		for _, c := range s.conns {
			all = append(all, c)
		}
	}
	g.mutex.Unlock()
	for _, c := range all {
		c.Prune()
	}
}

// RequestQuotaShares begins a question to the primary for shares of the tenants' limits.
func (g *Gateway) RequestQuotaShares() (nonce uint64, demand, held map[string]float64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.quota.RequestShares(g.options.Now())
}

// ApplyQuotaShares takes in the answer.
func (g *Gateway) ApplyQuotaShares(nonce uint64, shares map[string]float64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.quota.ApplyShares(nonce, shares, g.options.Now())
}

// QuotaDeposit leaves what this sidecar may spend without the primary to a pool.
func (g *Gateway) QuotaDeposit() quota.Deposit {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.quota.Deposit(g.options.Now())
}

// QuotaPooledUntil is until when a pool has a deposit of this sidecar.
func (g *Gateway) QuotaPooledUntil() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.quota.PooledUntil()
}

var _ http.Handler = (*Gateway)(nil)
