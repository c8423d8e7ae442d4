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
	demandTimeConstant  = 2 * time.Second        // of the smoothing
	overLimitFor        = time.Second            // how long a tenant counts as over its limit after a rejection
	minDemand           = 0.01                   // units a second from which demand is reported
	leaseBurst          = time.Second            // of a lease or a standing share may be spent at once
	depositSpan         = 600 * time.Millisecond // how long a deposit is valid
	overdraftCooldown   = 8 * time.Second        // after a deposit, until the router's own requests may overdraw its shares again
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

// demandEstimate is an exponentially smoothed rate.
type demandEstimate struct {
	rate       float64 // units a second
	units      float64 // requested since measuredAt
	measuredAt time.Duration
}

// update includes the units since the last measurement in the rate.
func (d *demandEstimate) update(now time.Duration) {
	elapsed := now - d.measuredAt
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(demandTimeConstant))
	d.rate += weight * (d.units/elapsed.Seconds() - d.rate)
	d.units, d.measuredAt = 0, now
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

// ReserveFromLease spends units of the router's own share; it is called after Reserve returned NeedsPrimary, where
// neither the primary nor a pool answers. One request may overdraw the share: that of a small tenant's limit is less
// than a request. Where the verdict is Rejected, wait is the time until the units are there, 0 where that is not known.
func (c *Client) ReserveFromLease(name string, units float64, now time.Duration) (v Verdict, wait time.Duration) {
	tenant := c.tenants[name]
	if tenant == nil {
		return Granted, 0
	}
	if now < c.pooledUntil {
		return Rejected, c.pooledUntil - now
	}
	rate := c.isolatedRate(tenant, now)
	c.refill(tenant, rate, now)
	if c.pooledUntil > 0 && now < c.pooledUntil+overdraftCooldown && units > tenant.overdraft.units {
		return Rejected, 0 // the pool spent the share from which an overdraft would be paid off
	}
	return tenant.overdraft.spend(units, rate)
}

// refill adds the units since the last refill. While a pool has the share these are none.
func (c *Client) refill(tenant *tenantState, rate float64, now time.Duration) {
	from := max(tenant.refilledAt, c.pooledUntil)
	if now <= from {
		return
	}
	tenant.overdraft.refill((now-from).Seconds()*rate, rate)
	tenant.refilledAt = now
}

// Deposit hands the shares that this router may spend without the primary over to a pool, and the debts of requests
// that overdrew them. Until the deposit expires the client spends none of them itself.
func (c *Client) Deposit(now time.Duration) Deposit {
	d := Deposit{For: depositSpan, Debts: map[string]float64{}}
	for name, tenant := range c.tenants {
		c.refill(tenant, c.isolatedRate(tenant, now), now)
		if tenant.overdraft.units < 0 {
			d.Debts[name] = -tenant.overdraft.units
			tenant.overdraft.units = 0
		}
	}
	if now < c.leaseEnd {
		d.For = min(d.For, c.leaseEnd-now)
		d.Shares = map[string]float64{}
		for name, tenant := range c.tenants {
			if tenant.share > 0 {
				d.Shares[name] = tenant.share
			}
		}
	} else {
		d.Standing = c.standingShare(now)
	}
	c.pooledUntil = now + d.For
	return d
}

// PooledUntil returns the time until which a pool spends this router's shares.
func (c *Client) PooledUntil() time.Duration { return c.pooledUntil }

// isolatedRate is how many units a second may be spent without contact to the primary: those of the leased share, and
// once the lease has expired those of the standing share, which the primary leaves to each router that does not reach
// it.
func (c *Client) isolatedRate(tenant *tenantState, now time.Duration) float64 {
	if now < c.leaseEnd {
		return tenant.limit.Rate * tenant.share
	}
	return tenant.limit.Rate * c.standingShare(now) * min(1, tenant.share*float64(c.fleetSize))
}

// standingShare is the share of every limit that this router keeps without a lease; a client that never had a lease has
// none.
func (c *Client) standingShare(now time.Duration) float64 {
	if c.leaseEnd == 0 {
		return 0
	}
	share := standingFraction / float64(c.fleetSize)
	if now >= c.leaseEnd+standingPeriod {
		return share * standingLateFactor
	}
	return share
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

// ShareRequest is what a router asks of the primary's Allocator.
type ShareRequest struct {
	Nonce  uint64             // number of the request: the answer belongs to this one alone
	Demand map[string]float64 // by tenant, units a second
	Held   map[string]float64 // by tenant, the shares that the router still has, 0 to 1
}

// RequestShares begins a request for leases. The caller sends it to the primary, and passes the answer to ApplyShares
// together with the nonce.
func (c *Client) RequestShares(now time.Duration) ShareRequest {
	c.nonce++
	c.requestedAt = now
	request := ShareRequest{Nonce: c.nonce, Demand: map[string]float64{}, Held: map[string]float64{}}
	for name, tenant := range c.tenants {
		tenant.demand.update(now)
		if tenant.demand.rate < minDemand { // most tenants have no requests at most routers
			tenant.share = 0
			continue
		}
		request.Demand[name] = tenant.demand.rate
		if now < c.leaseEnd {
			request.Held[name] = tenant.share
		}
	}
	return request
}

// ApplyShares applies the answer to the last request for shares; one to an earlier request, or that comes too late, is
// dropped.
func (c *Client) ApplyShares(nonce uint64, shares map[string]float64, now time.Duration) {
	if nonce != c.nonce || now-c.requestedAt >= LeaseDuration {
		return
	}
	for name, tenant := range c.tenants {
		if now < c.leaseEnd {
			tenant.overdraft.units += (now - max(tenant.refilledAt, min(now, c.pooledUntil))).Seconds() * tenant.limit.Rate * tenant.share
		}
		tenant.refilledAt = now
		tenant.share = shares[name]
	}
	c.leaseEnd = c.requestedAt + LeaseDuration
}
