package quota

import "time"

// LeaseDuration is how long a share is valid, counted from before it was requested.
const LeaseDuration = 2500 * time.Millisecond

// clockMargin is how much longer the primary counts a lease, since clocks differ in rate.
const clockMargin = 100 * time.Millisecond

// reclaimPeriod is the time at the start of a term in which a primary only renews the shares that routers report to
// hold.
const reclaimPeriod = 800 * time.Millisecond

// evenFraction of a limit is divided evenly, the rest by demand.
const evenFraction = 0.2

// clientLease is what one router was allocated, by tenant. Tenants with neither a share nor a demand are left out.
type clientLease struct {
	shares      map[string]float64
	demand      map[string]float64
	expires     time.Duration
	incarnation uint64
}

// tenantTotals adds up the demand and the shares of one tenant over all leases.
type tenantTotals struct{ demand, shares float64 }

// Allocator divides tenants' limits into leased shares, for one term of one primary. Make it by NewAllocator when a
// router becomes primary. The cost of a request is proportional to the number of tenants that it names. It is for one
// goroutine at a time.
type Allocator struct {
	termStart  time.Duration
	leases     map[string]*clientLease // by router
	totals     map[string]*tenantTotals
	lastExpiry time.Duration
	reserved   float64 // fraction of every limit that is left to routers without contact, see ReservedFraction
}

// NewAllocator returns the allocator of a term that begins now: what was allocated before is not known yet.
func NewAllocator(now time.Duration) *Allocator {
	return &Allocator{termStart: now, leases: map[string]*clientLease{}, totals: map[string]*tenantTotals{}}
}

// ActiveClients returns the number of routers that requested shares within a lease duration.
func (a *Allocator) ActiveClients(now time.Duration) int {
	a.expire(now)
	return len(a.leases)
}

// TermAge returns how long ago the term began.
func (a *Allocator) TermAge(now time.Duration) time.Duration { return now - a.termStart }

// SetReserve sets the fraction of every limit that is left to routers without contact, see ReservedFraction. The
// primary sets it again and again.
func (a *Allocator) SetReserve(fraction float64) { a.reserved = fraction }

// Allocate answers a router's request for shares; fleetSize is the number of routers. It returns a share for each
// tenant with a demand. A router that restarted has another incarnation: it reports nothing of what its predecessor was
// allocated, which therefore stays counted until it expires.
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
		a.record(lease, tenant, wanted, max(current, share)) // until the next request reports otherwise
	}
	return allocated
}

// reconcile updates a lease to what its router reports: a tenant that it neither wants nor holds is released.
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

// record sets the demand and the share of a tenant in a lease, and keeps the tenant's totals.
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

// share is the new share of a router that wants so many units a second of a tenant and counts for a current share: a
// part that all routers have alike and one by demand, as far as the others' shares leave room.
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

// expire removes the leases that have ended, at most once in a clockMargin.
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

// Allocated returns the sum of the shares of a tenant's limit that are allocated, as far as this primary knows.
func (a *Allocator) Allocated(tenant string) float64 {
	if totals := a.totals[tenant]; totals != nil {
		return totals.shares
	}
	return 0
}
