package quota

import "time"

// LeaseDuration is how long a leased share is valid. A router counts it from before its request.
const LeaseDuration = 2500 * time.Millisecond

// clockMargin is the time by which the primary extends LeaseDuration, because clocks run at different rates.
const clockMargin = 100 * time.Millisecond

// reclaimPeriod is the time at the start of a term during which a primary only renews the shares that routers report to
// hold.
const reclaimPeriod = 800 * time.Millisecond

// evenFraction is the fraction of a limit that is divided evenly among routers. The rest is divided by demand.
const evenFraction = 0.2

// clientLease holds the shares allocated to one router, and its demand, by tenant. Tenants with neither a share nor a
// demand are left out.
type clientLease struct {
	shares      map[string]float64
	demand      map[string]float64
	expires     time.Duration
	incarnation uint64
}

// tenantTotals holds the sums of a tenant's demand and shares over all leases.
type tenantTotals struct{ demand, shares float64 }

// Allocator divides the tenants' limits into leased shares during one term of a primary. NewAllocator creates it when a
// router becomes primary. Answering a request takes time proportional to the number of tenants in the request and in the
// router's lease.
type Allocator struct {
	termStart  time.Duration
	leases     map[string]*clientLease // by router
	totals     map[string]*tenantTotals
	lastExpiry time.Duration
	reserved   float64 // fraction of each limit that is left to routers that do not reach the primary, see ReservedFraction
}

// NewAllocator returns the Allocator of a term that begins now. It does not know yet what earlier primaries allocated.
func NewAllocator(now time.Duration) *Allocator {
	return &Allocator{termStart: now, leases: map[string]*clientLease{}, totals: map[string]*tenantTotals{}}
}

// ActiveClients returns the number of routers whose leases have not expired: those that requested shares within the last
// LeaseDuration.
func (a *Allocator) ActiveClients(now time.Duration) int {
	a.expire(now)
	return len(a.leases)
}

// TermAge returns how long ago the term began.
func (a *Allocator) TermAge(now time.Duration) time.Duration { return now - a.termStart }

// SetReserve sets the fraction of each limit that is left to routers that do not reach the primary, see
// ReservedFraction. The primary updates it periodically.
func (a *Allocator) SetReserve(fraction float64) { a.reserved = fraction }

// Allocate answers a router's request for shares, and returns a share for each tenant in r.Demand; fleetSize is the
// number of routers. After a restart a router has another incarnation and does not report the shares that were allocated
// to its previous one, so these stay counted until they expire.
func (a *Allocator) Allocate(router string, incarnation uint64, r ShareRequest, fleetSize int,
	now time.Duration) map[string]float64 {
	a.expire(now)
	lease := a.leases[router]
	if lease == nil {
		lease = &clientLease{shares: map[string]float64{}}
		a.leases[router] = lease
	}
	sameIncarnation := lease.incarnation == incarnation
	lease.incarnation, lease.expires = incarnation, now+LeaseDuration+clockMargin
	a.reconcile(lease, sameIncarnation, r)

	reclaiming := now-a.termStart < reclaimPeriod
	allocated := map[string]float64{}
	for tenant, wanted := range r.Demand {
		current := lease.shares[tenant]
		if sameIncarnation {
			current = r.Held[tenant]
		}
		a.record(lease, tenant, wanted, current)
		share := r.Held[tenant]
		if !reclaiming {
			share = a.share(tenant, wanted, current, max(1, fleetSize))
		}
		allocated[tenant] = share
		a.record(lease, tenant, wanted, max(current, share)) // the larger one counts until the next request reports otherwise
	}
	return allocated
}

// reconcile updates a lease to its router's report. If the report is of the same incarnation, the share of a tenant that
// the router neither demands nor holds is released.
func (a *Allocator) reconcile(lease *clientLease, sameIncarnation bool, r ShareRequest) {
	for tenant, share := range lease.shares {
		_, wanted := r.Demand[tenant]
		if sameIncarnation && !wanted && r.Held[tenant] == 0 {
			a.record(lease, tenant, 0, 0)
			continue
		}
		a.record(lease, tenant, r.Demand[tenant], max(share, r.Held[tenant]))
	}
}

// record sets the demand and the share of a tenant in a lease, and updates the tenant's totals.
func (a *Allocator) record(lease *clientLease, tenant string, demand, share float64) {
	totals := a.totals[tenant]
	if totals == nil {
		totals = &tenantTotals{}
		a.totals[tenant] = totals
	}
	totals.demand += demand - lease.demand[tenant]
	totals.shares += share - lease.shares[tenant]
	if lease.demand == nil {
		lease.demand = map[string]float64{}
	}
	lease.demand[tenant], lease.shares[tenant] = demand, share
	if demand == 0 && share == 0 {
		delete(lease.demand, tenant)
		delete(lease.shares, tenant)
	}
}

// share returns a router's new share of a tenant's limit. The argument wanted is the router's demand in units per second,
// and current is the share that counts as allocated to it. The new share consists of an even part and a part by demand,
// and is reduced to what the reserve and the other routers' shares leave.
func (a *Allocator) share(tenant string, wanted, current float64, fleetSize int) float64 {
	totals := a.totals[tenant]
	target := evenFraction / float64(fleetSize)
	if totals.demand > 0 {
		target += (1 - evenFraction) * wanted / totals.demand
	} else {
		target = 1 / float64(fleetSize)
	}
	return max(0, min(target, 1-a.reserved-(totals.shares-current)))
}

// expire removes the leases that have expired. It does so at most once per clockMargin, to bound its cost.
func (a *Allocator) expire(now time.Duration) {
	if now-a.lastExpiry < clockMargin {
		return
	}
	a.lastExpiry = now
	for router, lease := range a.leases {
		if now <= lease.expires {
			continue
		}
		for tenant := range lease.shares {
			a.record(lease, tenant, 0, 0)
		}
		for tenant := range lease.demand {
			a.record(lease, tenant, 0, 0)
		}
		delete(a.leases, router)
	}
}

// Allocated returns the sum of the allocated shares of a tenant's limit, as far as this primary knows.
func (a *Allocator) Allocated(tenant string) float64 {
	if totals := a.totals[tenant]; totals != nil {
		return totals.shares
	}
	return 0
}
