package quota

import "time"

// Deposit transfers the shares of a router without contact to a primary to a pool, for a time in which the router does
// not spend them itself. Routers send it to the host of the pool.
type Deposit struct {
	Shares   map[string]float64 // shares of its valid lease, by tenant
	Standing float64            // without a valid lease: its standing share of each limit
	Debts    map[string]float64 // units by which its requests overdrew its shares, by tenant
	For      time.Duration      // validity: for the pool from its request, for the router from its answer
}

// Pool spends the deposits of several routers without contact to a primary. In a large fleet one router's part of a small
// tenant's limit is less than one request per second, and its requests come in clusters: on its own it rejects requests
// that the routers together could serve.
//
// Invariant: a share is spent either by its router or by one pool, never by both. A pool counts the validity of a deposit
// from its request, the router from its answer, which is later. Deposits expire without a further message.
type Pool struct {
	limits   map[string]Limit
	deposits map[string]*activeDeposit // by router
	accounts map[string]*account       // by tenant

	standing         float64       // sum of the deposits' standing shares
	standingIntegral float64       // integral of standing over time, in seconds
	integratedTo     time.Duration // end of the interval that standingIntegral covers
}

// activeDeposit is a deposit that has not expired.
type activeDeposit struct {
	shares   map[string]float64
	standing float64
	expires  time.Duration
}

// account is the state of one tenant in a pool, as of updatedAt.
type account struct {
	overdraft
	shares           float64 // sum of the deposits' shares
	updatedAt        time.Duration
	standingIntegral float64 // Pool.standingIntegral at updatedAt
}

// NewPool returns a Pool without deposits.
func NewPool() *Pool {
	return &Pool{limits: map[string]Limit{}, deposits: map[string]*activeDeposit{}, accounts: map[string]*account{}}
}

// SetLimits replaces the tenants' limits by those of a configuration. The Pool keeps the map; the caller must not change
// it afterwards.
func (p *Pool) SetLimits(limits map[string]Limit) { p.limits = limits }

// Put replaces a router's deposit. Its validity counts from requestedAt, the time on the pool's clock at which the pool
// requested it. An empty deposit removes the router's deposit.
func (p *Pool) Put(router string, d Deposit, requestedAt, now time.Duration) {
	p.expire(now)
	p.remove(router, now)
	expires := requestedAt + d.For
	if expires <= now {
		return
	}
	p.integrate(now)
	p.deposits[router] = &activeDeposit{shares: d.Shares, standing: d.Standing, expires: expires}
	p.standing += d.Standing
	for tenant, share := range d.Shares {
		p.account(tenant, now).shares += share
	}
	for tenant, units := range d.Debts {
		p.account(tenant, now).units -= units
	}
}

// Reserve spends units of a tenant's limit. If the verdict is Rejected, wait is the time until the units are available, 0
// if that time is unknown. Reserve never returns NeedsPrimary.
func (p *Pool) Reserve(tenant string, units float64, now time.Duration) (verdict Verdict, wait time.Duration) {
	limit, ok := p.limits[tenant]
	if !ok { // the requester has a newer configuration than the pool's host
		return Rejected, 0
	}
	if limit.Rate == 0 {
		return Granted, 0
	}
	p.expire(now)
	a := p.account(tenant, now)
	return a.spend(units, limit.Rate*(a.shares+p.standing))
}

// DepositCount returns the number of deposits that have not expired.
func (p *Pool) DepositCount(now time.Duration) int {
	p.expire(now)
	return len(p.deposits)
}

// account returns a tenant's account, refilled up to now.
func (p *Pool) account(tenant string, now time.Duration) *account {
	p.integrate(now)
	a := p.accounts[tenant]
	if a == nil {
		a = &account{updatedAt: now, standingIntegral: p.standingIntegral}
		p.accounts[tenant] = a
	}
	rate := p.limits[tenant].Rate
	earned := float64(rate * (earnedUnits(a.shares, now-a.updatedAt) + p.standingIntegral - a.standingIntegral))
	a.refill(earned, rate*(a.shares+p.standing))
	a.updatedAt, a.standingIntegral = now, p.standingIntegral
	return a
}

// integrate extends standingIntegral up to now. With the integral, a change of the standing shares need not update every
// account.
func (p *Pool) integrate(now time.Duration) {
	if now <= p.integratedTo {
		return
	}
	p.standingIntegral += earnedUnits(p.standing, now-p.integratedTo)
	p.integratedTo = now
}

// expire removes the deposits that have expired, in the order of their expiry, each as of the time of its expiry.
func (p *Pool) expire(now time.Duration) {
	for {
		firstRouter, expires := "", now
		for router, d := range p.deposits {
			if d.expires <= expires {
				firstRouter, expires = router, d.expires
			}
		}
		if firstRouter == "" {
			return
		}
		p.remove(firstRouter, expires)
	}
}

// remove removes a router's deposit, if there is one. The debts that were part of it stay.
func (p *Pool) remove(router string, at time.Duration) {
	d := p.deposits[router]
	if d == nil {
		return
	}
	for tenant, share := range d.shares {
		p.account(tenant, at).shares -= share
	}
	p.integrate(at)
	p.standing -= d.standing
	delete(p.deposits, router)
	if len(p.deposits) == 0 {
		p.reset()
	}
}

// reset sets the sums of shares to 0, which clears rounding errors, and removes the accounts without a debt. It requires
// that there are no deposits.
func (p *Pool) reset() {
	p.standing = 0
	for tenant, a := range p.accounts {
		a.shares = 0
		if a.units >= 0 {
			delete(p.accounts, tenant)
		}
	}
}
