package quota

import "time"

// Deposit is what a sidecar that hears no primary leaves to a pool, for a time in which it spends nothing itself.
type Deposit struct {
	Shares   map[string]float64 // of its leases, by tenant
	Standing float64            // or its standing share of every limit
	Debts    map[string]float64 // units that its requests took ahead, by tenant
	For      time.Duration
}

// Pool spends what several sidecars that hear no primary deposited. A sidecar of many has a part of a small tenant's limit that is less
// than a request a second, and its requests come in clusters: alone it refuses what all together could serve.
//
// Invariant: each share is spent by its sidecar or by one pool, never by both. A pool counts a deposit from before it asked for it, the
// sidecar from when it answered; and deposits end by themselves.
type Pool struct {
	limits   map[string]Limit
	deposits map[string]*heldDeposit // by sidecar
	accounts map[string]*account     // by tenant
	standing float64                 // sum of the deposits' standing shares
	integral float64                 // of standing over time, in seconds
	at       time.Duration           // up to which the integral goes
}

type heldDeposit struct {
	shares   map[string]float64
	standing float64
	until    time.Duration
}

// account is one tenant's part of a pool.
type account struct {
	overdraft
	shares   float64 // sum of the deposits'
	at       time.Duration
	integral float64 // of the pool, at that time
}

// NewPool makes an empty one.
func NewPool() *Pool {
	return &Pool{limits: map[string]Limit{}, deposits: map[string]*heldDeposit{}, accounts: map[string]*account{}}
}

// SetLimits takes in the tenants of a configuration.
func (p *Pool) SetLimits(limits map[string]Limit) { p.limits = limits }

// Put takes in a sidecar's deposit, in place of the one before, that was asked for at a time. An empty one takes it away.
func (p *Pool) Put(sidecar string, d Deposit, asked, now time.Duration) {
	p.expire(now)
	p.remove(sidecar, now)
	until := asked + d.For
	if until <= now {
		return
	}
	p.advance(now)
	p.deposits[sidecar] = &heldDeposit{shares: d.Shares, standing: d.Standing, until: until}
	p.standing += d.Standing
	for tenant, share := range d.Shares {
		p.account(tenant, now).shares += share
	}
	for tenant, units := range d.Debts {
		p.account(tenant, now).units -= units
	}
}

// Reserve spends units of a tenant's limit, or says when to come back; wait is 0 where that is not known.
func (p *Pool) Reserve(tenant string, units float64, now time.Duration) (v Verdict, wait time.Duration) {
	limit, ok := p.limits[tenant]
	if !ok { // whoever asks knows more than this sidecar
		return Rejected, 0
	}
	if limit.Rate == 0 {
		return Granted, 0
	}
	p.expire(now)
	a := p.account(tenant, now)
	return a.take(units, limit.Rate*(a.shares+p.standing))
}

// DepositCount is how many there are.
func (p *Pool) DepositCount(now time.Duration) int {
	p.expire(now)
	return len(p.deposits)
}

// account finds a tenant's account and brings it up to a time.
func (p *Pool) account(tenant string, now time.Duration) *account {
	p.advance(now)
	a := p.accounts[tenant]
	if a == nil {
		a = &account{at: now, integral: p.integral}
		p.accounts[tenant] = a
	}
	rate := p.limits[tenant].Rate
	earned := rate * (a.shares*(now-a.at).Seconds() + p.integral - a.integral)
	a.earn(earned, rate*(a.shares+p.standing))
	a.at, a.integral = now, p.integral
	return a
}

func (p *Pool) advance(now time.Duration) {
	if now <= p.at {
		return
	}
	p.integral += p.standing * (now - p.at).Seconds()
	p.at = now
}

// expire takes away the deposits that have ended, each at its end.
func (p *Pool) expire(now time.Duration) {
	for {
		first, until := "", now
		for sidecar, d := range p.deposits {
			if d.until <= until {
				first, until = sidecar, d.until
			}
		}
		if first == "" {
			return
		}
		p.remove(first, until)
	}
}

func (p *Pool) remove(sidecar string, at time.Duration) {
	d := p.deposits[sidecar]
	if d == nil {
		return
	}
	for tenant, share := range d.shares {
		p.account(tenant, at).shares -= share
	}
	p.advance(at)
	p.standing -= d.standing
	delete(p.deposits, sidecar)
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

// overdraft is units that drip in, of which a request may take more than there are: a small tenant's are less than a request.
type overdraft struct{ units float64 }

// earn adds units, up to what leaseBurst brings at a rate.
func (o *overdraft) earn(units, rate float64) {
	o.units = min(o.units+units, leaseBurst.Seconds()*rate)
}

// take spends units that drip in at a rate, where no request before is still owed.
func (o *overdraft) take(units, rate float64) (v Verdict, wait time.Duration) {
	if rate <= 0 {
		return Rejected, 0
	}
	if o.units < 0 {
		return Rejected, time.Duration(-o.units / rate * float64(time.Second))
	}
	o.units -= units
	return Granted, 0
}
