package quota

import (
	"math"
	"time"
)

// Limit is a tenant's limit over all routers. Its units are requests or tokens.
type Limit struct {
	Rate  float64 // units per second; 0: unlimited
	Burst float64 // units beyond the rate, see Bounds
}

const (
	prefetchTTL         = 400 * time.Millisecond // how long prefetched units may be spent
	prefetchSpan        = 100 * time.Millisecond // the demand of this time is prefetched
	minPrefetchRequests = 3                      // requests within prefetchSpan from which prefetching is worthwhile
	overLimitPeriod     = time.Second            // how long a tenant counts as over its limit after a rejection
)

// Verdict is the decision on a request for units.
type Verdict int

// The verdicts. Only Client.Reserve returns NeedsPrimary.
const (
	Granted Verdict = iota
	Rejected
	NeedsPrimary // the caller has to acquire the units from the primary
)

// Client is a router's part in enforcing the limits. It holds the units that the router prefetched from the primary, and
// its leased shares for times without contact to the primary. NewClient creates it.
type Client struct {
	tenants     map[string]*tenantState
	fleetSize   int
	nonce       uint64        // of the last request for shares
	requestedAt time.Duration // time of the last request for shares
	leaseEnd    time.Duration // 0: there was no lease yet
	pooledUntil time.Duration // until then a pool spends this router's shares
}

// tenantState is the state of one tenant with a limit.
type tenantState struct {
	limit          Limit
	prefetched     prefetchedUnits
	demand         demandEstimate
	overLimitUntil time.Duration

	share      float64   // leased fraction of the limit
	overdraft  overdraft // bucket of the share, since the last contact to the primary
	refilledAt time.Duration
}

// NewClient returns a Client without shares. Its requests for shares are numbered starting from incarnation, which is
// random for each start of the process, so that it does not accept an answer that was sent to an earlier process.
func NewClient(incarnation uint64) *Client {
	return &Client{nonce: incarnation, tenants: map[string]*tenantState{}, fleetSize: math.MaxInt}
}

// SetFleetSize sets the number of routers, which determines the standing share. Before the first call the standing share
// is practically 0.
func (c *Client) SetFleetSize(n int) { c.fleetSize = max(1, n) }

// SetLimits replaces the tenants' limits by those of a configuration. Tenants that still have a limit keep their state.
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

// Reserve spends prefetched units for a request of a tenant. If these do not suffice, the verdict is NeedsPrimary, and
// extra is the number of units to acquire for prefetching, in addition to those of the request.
func (c *Client) Reserve(name string, units float64, now time.Duration) (verdict Verdict, extra float64) {
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
	if prefetch := tenant.demand.rate * prefetchSpan.Seconds(); prefetch >= minPrefetchRequests*units {
		extra = prefetch
	}
	return NeedsPrimary, extra
}

// ApplyAcquired applies the primary's answer after Reserve returned NeedsPrimary. Of the granted units it spends those
// of the request, and keeps the rest as prefetched units. The verdict is Rejected if fewer units were granted than the
// request needs.
func (c *Client) ApplyAcquired(name string, granted, units float64, now time.Duration) Verdict {
	tenant := c.tenants[name]
	if tenant == nil {
		return Granted
	}
	// The bucket of the share is emptied, and its refill starts at this contact to the primary.
	tenant.overdraft, tenant.refilledAt = overdraft{}, now
	if granted < units {
		tenant.overLimitUntil = now + overLimitPeriod
		return Rejected
	}
	tenant.prefetched.add(granted-units, now)
	return Granted
}

// OverLimit reports whether the primary rejected a request of a tenant within the last overLimitPeriod, which means that
// the tenant exceeds its limit.
func (c *Client) OverLimit(name string, now time.Duration) bool {
	tenant := c.tenants[name]
	return tenant != nil && now < tenant.overLimitUntil
}

// Refund returns the units of a request that did not run. Requests within the next prefetchTTL can spend them.
func (c *Client) Refund(name string, units float64, now time.Duration) {
	if tenant := c.tenants[name]; tenant != nil {
		tenant.prefetched.dropExpired(now)
		tenant.prefetched.add(units, now)
	}
}

// prefetchedUnits are units acquired from the primary in advance of the requests that spend them.
type prefetchedUnits struct {
	units      float64
	acquiredAt time.Duration
}

// dropExpired discards the units if they were acquired more than prefetchTTL ago.
func (p *prefetchedUnits) dropExpired(now time.Duration) {
	if now-p.acquiredAt > prefetchTTL {
		p.units = 0
	}
}

// add adds units. They, and those that were there before, may be spent within prefetchTTL from now.
func (p *prefetchedUnits) add(units float64, now time.Duration) {
	p.units += units
	p.acquiredAt = now
}
