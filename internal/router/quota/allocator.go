// Package quota keeps the limits that all sidecars keep together: tenants' quotas and the budget of retries. It is pure.
//
// A tenant's limit is divided into shares. The primary gives them by demand, as leases that end by themselves; each
// sidecar spends its share from a bucket of its own. A sidecar whose lease has ended keeps a standing share, see Reserve.
//
// Invariant: at every moment the shares that sidecars believe in add up to no more than 1 for each tenant. A lease counts
// for its holder from before it asked, for the primary from when it gave; what a holder was given last is out until the
// lease's end even where it was since given less, unless its next question says that it holds less. A new primary first
// gives nothing but what holders say they hold already, for as long as it takes all that reach it to say so. What is
// held by sidecars that do not reach it is not known to it; it ends within a lease, and the part of the rule's slack that
// buckets leave free is for that.
package quota

import "time"

// LeaseDuration is for how long a share is good, from before it was asked for.
const LeaseDuration = 2500 * time.Millisecond

// margin is how much longer the primary counts a lease, for clocks that differ in rate.
const margin = 100 * time.Millisecond

// claims is for how long a new primary only renews what holders say they hold.
const claims = 800 * time.Millisecond

// evenPart of a limit is given evenly, the rest by demand.
const evenPart = 0.2

// holder is what one sidecar was given.
type holder struct {
	shares map[string]float64
	demand map[string]float64
	until  time.Duration
	life   uint64
	asked  time.Duration
}

// sum is what all holders of one tenant's shares want and have.
type sum struct{ demand, shares float64 }

// Allocator divides tenants' limits, for one term of one primary. A question costs as much as it names tenants.
type Allocator struct {
	since   time.Duration
	holders map[string]*holder
	sums    map[string]*sum
	expired time.Duration
	reserve float64 // part of the limits that is left to sidecars that are not heard
}

// NewAllocator begins a term.
func NewAllocator(now time.Duration) *Allocator {
	return &Allocator{since: now, holders: map[string]*holder{}, sums: map[string]*sum{}}
}

// ActiveClients is how many sidecars asked within a lease.
func (a *Allocator) ActiveClients(now time.Duration) int {
	a.expire(now)
	return len(a.holders)
}

// TermAge is for how long the primary has led.
func (a *Allocator) TermAge(now time.Duration) time.Duration { return now - a.since }

// SetReserve takes in what part of the limits is left to sidecars that are not heard.
func (a *Allocator) SetReserve(part float64) { a.reserve = part }

// Allocate answers a sidecar's question; fleet is how many sidecars there are.
func (a *Allocator) Allocate(node string, life uint64, demand, held map[string]float64, fleet int, now time.Duration) map[string]float64 {
	a.expire(now)
	h := a.holders[node]
	if h == nil {
		h = &holder{shares: map[string]float64{}}
		a.holders[node] = h
	}
	sameLife := h.life == life
	h.life, h.asked, h.until = life, now, now+LeaseDuration+margin
	early := now-a.since < claims
	given := map[string]float64{}
	for tenant, share := range h.shares {
		_, asks := demand[tenant]
		if sameLife && !asks && held[tenant] == 0 { // it says that it holds nothing
			a.set(h, tenant, 0, 0)
			continue
		}
		a.set(h, tenant, demand[tenant], max(share, held[tenant]))
	}
	for tenant, wanted := range demand {
		mine := h.shares[tenant]
		if sameLife {
			mine = held[tenant]
		}
		a.set(h, tenant, wanted, mine)
		given[tenant] = a.share(tenant, wanted, mine, held[tenant], max(1, fleet), early)
		a.set(h, tenant, wanted, max(mine, given[tenant])) // until the next question says otherwise
	}
	return given
}

// set notes what a holder wants and may have of a tenant.
func (a *Allocator) set(h *holder, tenant string, demand, share float64) {
	s := a.sums[tenant]
	if s == nil {
		s = &sum{}
		a.sums[tenant] = s
	}
	s.demand += demand - h.demand[tenant]
	s.shares += share - h.shares[tenant]
	if h.demand == nil {
		h.demand = map[string]float64{}
	}
	h.demand[tenant], h.shares[tenant] = demand, share
	if demand == 0 && share == 0 {
		delete(h.demand, tenant)
		delete(h.shares, tenant)
	}
}

func (a *Allocator) share(tenant string, wanted, mine, held float64, fleet int, early bool) float64 {
	if early {
		return held
	}
	s := a.sums[tenant]
	target := evenPart / float64(fleet)
	if s.demand > 0 {
		target += (1 - evenPart) * wanted / s.demand
	} else {
		target = 1 / float64(fleet)
	}
	return max(0, min(target, 1-a.reserve-(s.shares-mine)))
}

func (a *Allocator) expire(now time.Duration) {
	if now-a.expired < margin {
		return
	}
	a.expired = now
	for address, h := range a.holders {
		if now <= h.until {
			continue
		}
		for tenant := range h.shares {
			a.set(h, tenant, 0, 0)
		}
		for tenant := range h.demand {
			a.set(h, tenant, 0, 0)
		}
		delete(a.holders, address)
	}
}

// Allocated is how much of a tenant's limit is given.
func (a *Allocator) Allocated(tenant string) float64 {
	if s := a.sums[tenant]; s != nil {
		return s.shares
	}
	return 0
}
