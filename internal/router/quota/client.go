package quota

import (
	"math"
	"time"
)

// Limit is a tenant's limit over all routers, in units: requests or tokens.
type Limit struct {
	Rate  float64 // units a second; 0: none
	Burst float64
}

const (
	prefetchTTL         = 400 * time.Millisecond // how long units that were acquired ahead of requests may be spent
	prefetchSpan        = 100 * time.Millisecond // of demand is acquired ahead
	minPrefetchRequests = 3                      // requests within prefetchSpan from which it is worthwhile
	overLimitFor        = time.Second            // how long a tenant counts as over its limit after a rejection
)

// Verdict is the decision about a request's units.
type Verdict int

// The verdicts. Only Client.Reserve returns NeedsPrimary.
const (
	Granted Verdict = iota
	Rejected
	NeedsPrimary // the units have to be acquired from the primary
)

// Client is one router's side of all limits: the units that it acquired from the primary ahead of requests, and its
// leased shares for times without contact to the primary. Make it by NewClient; it is for one goroutine at a time.
type Client struct {
	tenants     map[string]*tenantState
	fleetSize   int
	nonce       uint64        // number of the last request for shares
	requestedAt time.Duration // when that was
	leaseEnd    time.Duration // 0: there was no lease yet
	pooledUntil time.Duration // until then a pool spends this router's shares
}

// tenantState is what a client knows of one tenant with a limit.
type tenantState struct {
	limit          Limit
	prefetched     prefetchedUnits
	demand         demandEstimate
	overLimitUntil time.Duration

	share      float64   // of the limit, by the lease
	overdraft  overdraft // of the share, since the last contact to the primary
	refilledAt time.Duration
}

// NewClient returns a client without any share. Its requests for shares are numbered from its incarnation, which is
// drawn at random at each start of the process, so that no answer to an earlier process is taken for one of this one.
func NewClient(incarnation uint64) *Client {
	return &Client{nonce: incarnation, tenants: map[string]*tenantState{}, fleetSize: math.MaxInt}
}

// SetFleetSize sets the number of routers, among which standing shares are divided. Before the first call there are
// none.
func (c *Client) SetFleetSize(n int) { c.fleetSize = max(1, n) }

// SetLimits replaces the tenants' limits by those of a configuration. The state of tenants that keep a limit is kept.
func (c *Client) SetLimits(limits map[string]Limit, now time.Duration) {
	for name := range c.tenants {
		if limits[name].Rate == 0 {
			delete(c.tenants, name)
		}
	}
	for name, limit := range limits {
		if limit.Rate == 0 {
			continue
		}
		tenant := c.tenants[name]
		if tenant == nil {
			tenant = &tenantState{refilledAt: now, demand: demandEstimate{measuredAt: now}}
			c.tenants[name] = tenant
		}
		tenant.limit = limit
	}
}

// Reserve spends units for a request of a tenant from those that were acquired ahead. Where these do not suffice the
// verdict is NeedsPrimary, and extra is how many units to acquire beyond the request's own.
func (c *Client) Reserve(name string, units float64, now time.Duration) (v Verdict, extra float64) {
	tenant := c.tenants[name]
	if tenant == nil {
		return Granted, 0
	}
	tenant.demand.units += units
	tenant.prefetched.dropExpired(now)
	if tenant.prefetched.units >= units {
		tenant.prefetched.units -= units
		return Granted, 0
	}
	if ahead := tenant.demand.rate * prefetchSpan.Seconds(); ahead >= minPrefetchRequests*units {
		extra = ahead
	}
	return NeedsPrimary, extra
}

// ApplyAcquired applies the primary's answer to a request for units after Reserve returned NeedsPrimary: it spends
// units of what was granted, and keeps the rest for requests that follow. The verdict is Rejected where too few were
// granted.
func (c *Client) ApplyAcquired(name string, granted, units float64, now time.Duration) Verdict {
	tenant := c.tenants[name]
	if tenant == nil {
		return Granted
	}
	tenant.overdraft, tenant.refilledAt = overdraft{}, now // shares are refilled from the last contact to the primary on
	if granted < units {
		tenant.overLimitUntil = now + overLimitFor
		return Rejected
	}
	tenant.prefetched.add(granted-units, now)
	return Granted
}

// OverLimit reports whether the primary rejected a request of a tenant within the last overLimitFor: the tenant
// requests more than its limit.
func (c *Client) OverLimit(name string, now time.Duration) bool {
	tenant := c.tenants[name]
	return tenant != nil && now < tenant.overLimitUntil
}

// Refund gives back units of a request that did not run, for requests that follow within prefetchTTL.
func (c *Client) Refund(name string, units float64, now time.Duration) {
	if tenant := c.tenants[name]; tenant != nil {
		tenant.prefetched.dropExpired(now)
		tenant.prefetched.add(units, now)
	}
}

// prefetchedUnits were acquired from the primary ahead of requests.
type prefetchedUnits struct {
	units      float64
	acquiredAt time.Duration
}

// dropExpired forgets units that were acquired too long ago.
func (p *prefetchedUnits) dropExpired(now time.Duration) {
	if now-p.acquiredAt > prefetchTTL {
		p.units = 0
	}
}

// add adds units that may be spent from now on.
func (p *prefetchedUnits) add(units float64, now time.Duration) {
	p.units += units
	p.acquiredAt = now
}
