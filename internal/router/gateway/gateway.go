// Package gateway implements the client-facing side of a router: it reads a request, admits or rejects it according to the
// configuration, has package placement choose a server, forwards the request and relays the response. Every request that was
// read completely gets one response.
//
// The gateway does not communicate with the core. Its caller passes in the configuration, the servers and the number of
// routers, and the last values stay in force until the next update. Package placement chooses servers, and package backend
// holds the connections to them.
//
// Invariants: a request that may have run is retried only on a route that allows it; a truncated response never looks complete
// to the client; a rejection (a response with Retry-After) guarantees that the request has not run.
//
// A request is served on the goroutine on which net/http calls ServeHTTP. All methods of Gateway may be called from any
// goroutine. Its lock is held for short computations only, never during I/O.
package gateway

import (
	"context"
	"maps"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"petrelhook/internal/common/clientlimit"
	"petrelhook/internal/router/backend"
	"petrelhook/internal/router/latency"
	"petrelhook/internal/router/outlier"
	"petrelhook/internal/router/placement"
	"petrelhook/internal/router/quota"
	"petrelhook/internal/router/routetable"
)

// Options are the parameters of a gateway.
type Options struct {
	Zone        string               // of this router
	Now         func() time.Duration // a monotonic clock that starts with the process; it is called from any goroutine
	Incarnation uint64               // random for each process, to discard answers meant for an earlier process of this router
	Acquirer    Acquirer
	Retries     quota.RetryBounds
	PrefixTTL   time.Duration // how long a shared prefix counts as cached after its last use; 0: prefixes are not recorded
	// Memory bounds the bodies of requests and the buffered responses; nil: they are not bounded.
	Memory *clientlimit.Memory
	// Connections bounds the connections to all servers; nil: they are not bounded.
	Connections *backend.Connections

	// OnTargetMissed is called for each request that missed its latency target, on the request's goroutine and without a
	// lock held. It must not retain the trace. It may be nil.
	OnTargetMissed func(route string, t *latency.Trace, reason latency.Reason)
	// OnMisordered is called for each attempt whose server sent an event that does not follow the one before it, on the request's
	// goroutine and without a lock held. It may be nil.
	OnMisordered func(Misordered)
}

// Source is the origin of acquired quota units.
type Source int

// The sources. FromNone means that neither the primary nor a pool answered: the request is then charged to this router's own
// lease.
const (
	FromNone Source = iota
	FromPrimary
	FromPool
)

// Acquisition is the result of Acquirer.Acquire. Where the granted units do not suffice, RetryAfter is the time after which the
// client should retry; 0 if that is not known.
type Acquisition struct {
	Source     Source
	Granted    float64 // units
	RetryAfter time.Duration
}

// Acquirer acquires units of a tenant's limit, which is shared by all routers.
type Acquirer interface {
	// Acquire acquires need units for one request of a tenant and, if the primary has them to spare, up to extra units for
	// later requests. It is called on the request's goroutine without a lock held, and returns at the latest when the
	// context ends.
	Acquire(ctx context.Context, tenant string, need, extra float64) Acquisition
}

// Gateway is the http.Handler that serves clients. It is created by New.
type Gateway struct {
	options  Options
	table    atomic.Pointer[routetable.Table]
	draining atomic.Pointer[drainPlan] // nil: not draining
	Counters Counters

	mutex       sync.Mutex             // guards the fields below
	services    map[string]*service    // by name
	serviceOf   map[string]string      // name of the service, by instance id
	routes      map[string]*routeState // by route
	quota       *quota.Client
	retryBudget *quota.RetryBudget
	fleet       fleetSize
	prefixUses  map[string]*placement.PrefixUses // not reported yet, by service
	tally       *outlier.Tally
	totals      *latency.Totals
}

// Counters are totals since the start of the process. Rejected counts requests that got a rejection, which guarantees that they
// did not run; Failed counts error responses without that guarantee. Retried counts retries that used a permit of the retry
// budget. Migrated counts stalled streams that were continued at another server. Misordered counts attempts whose server sent an
// event that does not follow the one before it.
type Counters struct {
	Requests, Served, Rejected, Failed, Retried, Migrated, Misordered atomic.Int64
}

// New returns a gateway without configuration and servers. During the router's startup, requests wait for both.
func New(o Options) *Gateway {
	if o.Connections == nil {
		o.Connections = backend.NewConnections(math.MaxInt, 0, nil)
	}
	if o.Memory == nil {
		o.Memory = clientlimit.NewMemory(0)
	}
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

// withLock calls a function with the lock held. It releases the lock also where the function panics, because net/http recovers the panics of
// requests: a lock that stays locked would stop all others.
func (g *Gateway) withLock(call func()) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	call()
}

// Table returns the configuration in force at this router, or nil if there is none yet.
func (g *Gateway) Table() *routetable.Table { return g.table.Load() }

// SetTable puts a configuration in force. Requests that have started under the previous one are completed under it.
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

// Limits returns the quota limit of each tenant of a configuration, by the tenant's name.
func Limits(t *routetable.Table) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	for name, tenant := range t.Tenants() {
		limits[name] = quota.Limit{Rate: tenant.RatePerS, Burst: tenant.Burst}
	}
	return limits
}

// SetFleetSize records a reported number of routers. A decrease takes effect only after fleetShrinkDelay.
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

// FleetSize returns the number of routers by which limits are divided. After a decrease of the reported number it returns the
// earlier one until fleetShrinkDelay has passed.
func (g *Gateway) FleetSize() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.fleet.size
}

// Prune closes the connections to servers that have been idle for too long. The router calls it periodically.
func (g *Gateway) Prune() {
	g.mutex.Lock()
	var pools []*backend.Pool
	for _, s := range g.services {
		for _, pool := range s.connections {
			pools = append(pools, pool)
		}
	}
	g.mutex.Unlock()
	for _, pool := range pools {
		pool.Prune()
	}
}

// RequestQuotaShares returns the next request to the primary for shares of the tenants' limits; see
// quota.Client.RequestShares. The caller sends it.
func (g *Gateway) RequestQuotaShares() quota.ShareRequest {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.quota.RequestShares(g.options.Now())
}

// ApplyQuotaShares applies the primary's answer to the request with the nonce. Answers to any request but the last are ignored.
func (g *Gateway) ApplyQuotaShares(nonce uint64, shares map[string]float64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.quota.ApplyShares(nonce, shares, g.options.Now())
}

// QuotaDeposit returns the shares that this router may spend without the primary as a deposit, which the caller sends to a
// pool. Until the deposit expires this router does not spend these shares itself.
func (g *Gateway) QuotaDeposit() quota.Deposit {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.quota.Deposit(g.options.Now())
}

// QuotaPooledUntil returns the time until which a pool holds a deposit of this router.
func (g *Gateway) QuotaPooledUntil() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.quota.PooledUntil()
}

var _ http.Handler = (*Gateway)(nil)
