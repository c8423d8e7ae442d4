package quota

import "time"

// Deposit is what a router that has no contact to a primary leaves to a pool, for a time in which it spends nothing
// itself. Routers send it to the host of the pool.
type Deposit struct {
	Shares   map[string]float64 // of its leases, by tenant
	Standing float64            // or its standing share of every limit
	Debts    map[string]float64 // units by which its requests overdrew its shares, by tenant
	For      time.Duration      // from when the pool requested it
}

// Pool spends what several routers without contact to a primary deposited. A router of many has a part of a small
// tenant's limit that is less than a request a second, and its requests come in clusters: alone it rejects what all
// together could serve.
//
// Invariant: each share is spent by its router or by one pool, never by both. A pool counts a deposit from before it
// requested it, the router from when it answered; and deposits expire by themselves.
type Pool struct {
	limits   map[string]Limit
	deposits map[string]*activeDeposit // by router
	accounts map[string]*account       // by tenant

	standing         float64       // sum of the deposits' standing shares
	standingIntegral float64       // of standing over time, in seconds
	integratedTo     time.Duration // up to which the integral goes
}

// activeDeposit is a deposit that has not expired.
type activeDeposit struct {
	shares   map[string]float64
	standing float64
	expires  time.Duration
}

// account is one tenant's part of a pool, as of updatedAt.
type account struct {
	overdraft
	shares           float64 // sum of the deposits'
	updatedAt        time.Duration
	standingIntegral float64 // of the pool, at updatedAt
}

// NewPool returns a pool without deposits.
func NewPool() *Pool {
	return &Pool{limits: map[string]Limit{}, deposits: map[string]*activeDeposit{}, accounts: map[string]*account{}}
}

// SetLimits replaces the tenants' limits by those of a configuration; the map is kept and must not be changed.
func (p *Pool) SetLimits(limits map[string]Limit) { p.limits = limits }

// Put replaces a router's deposit by one that was requested at requestedAt, on the pool's clock: the deposit's time
// counts from then. An empty one takes it away.
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

// Reserve spends units of a tenant's limit. Where the verdict is Rejected, wait is the time until they are there, 0
// where that is not known. It never returns NeedsPrimary.
func (p *Pool) Reserve(tenant string, units float64, now time.Duration) (v Verdict, wait time.Duration) {
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
	earned := rate * (a.shares*(now-a.updatedAt).Seconds() + p.standingIntegral - a.standingIntegral)
	a.refill(earned, rate*(a.shares+p.standing))
	a.updatedAt, a.standingIntegral = now, p.standingIntegral
	return a
}

// integrate brings the integral of the standing shares up to now. With it, a change of them need not touch every
// account.
func (p *Pool) integrate(now time.Duration) {
	if now <= p.integratedTo {
		return
	}
	p.standingIntegral += p.standing * (now - p.integratedTo).Seconds()
	p.integratedTo = now
}

// expire removes the deposits that have expired, each as of its expiry, in the order of these.
func (p *Pool) expire(now time.Duration) {
	for {
		first, expires := "", now
		for router, d := range p.deposits {
			if d.expires <= expires {
				first, expires = router, d.expires
			}
		}
		if first == "" {
			return
		}
		p.remove(first, expires)
	}
}

// remove takes a router's deposit away, if there is one. The debts that came with it stay.
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

// reset drops what rounding left of shares, and accounts without a debt.
func (p *Pool) reset() {
	p.standing = 0
	for tenant, a := range p.accounts {
		a.shares = 0
		if a.units >= 0 {
			delete(p.accounts, tenant)
		}
	}
}
