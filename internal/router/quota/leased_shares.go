package quota

import "time"

// What a Client does with its leased shares: it requests them while there is a primary, and spends them, or deposits them
// with a pool, while there is none.

const (
	depositSpan       = 600 * time.Millisecond // how long a deposit is valid
	overdraftCooldown = 8 * time.Second        // after a deposit, until the router's own requests may overdraw its shares again
)

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
