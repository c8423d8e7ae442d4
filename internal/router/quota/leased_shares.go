package quota

import "time"

// This file has the methods of Client for leased shares: it requests them while there is a primary, and spends them or
// deposits them with a pool while there is none.

const (
	depositDuration   = 600 * time.Millisecond // how long a deposit is valid
	overdraftCooldown = 8 * time.Second        // time after a deposit during which the router's own requests may not overdraw its shares
)

// ShareRequest is a router's request for shares to the primary's Allocator.
type ShareRequest struct {
	Nonce  uint64             // identifies the request; the answer carries the same nonce
	Demand map[string]float64 // units per second, by tenant
	Held   map[string]float64 // shares of the router's valid lease, 0 to 1, by tenant
}

// RequestShares returns a request for shares. The caller sends it to the primary, and passes the answer to ApplyShares
// together with the nonce.
func (c *Client) RequestShares(now time.Duration) ShareRequest {
	c.nonce++
	c.requestedAt = now
	request := ShareRequest{Nonce: c.nonce, Demand: map[string]float64{}, Held: map[string]float64{}}
	for name, tenant := range c.tenants {
		tenant.demand.update(now)
		if tenant.demand.rate < minDemand { // applies to most tenants at most routers
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

// ApplyShares applies the answer to the latest request for shares. It ignores an answer to an earlier request, and one
// that arrives LeaseDuration or more after the request.
func (c *Client) ApplyShares(nonce uint64, shares map[string]float64, now time.Duration) {
	if nonce != c.nonce || now-c.requestedAt >= LeaseDuration {
		return
	}
	for name, tenant := range c.tenants {
		if now < c.leaseEnd {
			elapsed := now - max(tenant.refilledAt, min(now, c.pooledUntil))
			tenant.overdraft.units += float64(earnedUnits(tenant.limit.Rate, elapsed) * tenant.share)
		}
		tenant.refilledAt = now
		tenant.share = shares[name]
	}
	c.leaseEnd = c.requestedAt + LeaseDuration
}

// ReserveFromLease spends units of the router's own share. The caller uses it after Reserve returned NeedsPrimary, if
// neither the primary nor a pool answers. One request may overdraw the share, because the share of a small tenant's limit
// can be less than one request needs. If the verdict is Rejected, wait is the time until the units are available, 0 if
// that time is unknown.
func (c *Client) ReserveFromLease(name string, units float64, now time.Duration) (verdict Verdict, wait time.Duration) {
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
		return Rejected, 0 // the pool has spent the units that would pay off an overdraft
	}
	return tenant.overdraft.spend(units, rate)
}

// refill adds the units earned since the last refill. The share earns none while it is deposited with a pool.
func (c *Client) refill(tenant *tenantState, rate float64, now time.Duration) {
	from := max(tenant.refilledAt, c.pooledUntil)
	if now <= from {
		return
	}
	tenant.overdraft.refill(earnedUnits(rate, now-from), rate)
	tenant.refilledAt = now
}

// isolatedRate returns the units per second that may be spent without contact to the primary: the rate of the leased
// share while the lease is valid, and then that of the standing share, which the primary leaves to each router that does
// not reach it. The standing share is reduced in proportion if the last lease was smaller than an equal part.
func (c *Client) isolatedRate(tenant *tenantState, now time.Duration) float64 {
	if now < c.leaseEnd {
		return tenant.limit.Rate * tenant.share
	}
	return tenant.limit.Rate * c.standingShare(now) * min(1, tenant.share*float64(c.fleetSize))
}

// standingShare returns the share of each limit that this router keeps without a valid lease. It is 0 for a client that
// never had a lease.
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

// Deposit returns the deposit that transfers to a pool the shares that this router may spend without the primary, and
// the debts of requests that overdrew them. The client does not spend these shares itself until the deposit expires.
func (c *Client) Deposit(now time.Duration) Deposit {
	d := Deposit{For: depositDuration, Debts: map[string]float64{}}
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
