// Package quota keeps the limits that all sidecars keep together: tenants' quotas and the budget of retries. It is pure.
//
// A tenant's limit is divided into shares. The primary gives them by demand, as leases that end by themselves; each
// sidecar spends its share from a bucket of its own. Beside the leases every sidecar has a small floor that needs no word
// of anybody.
//
// Invariant: at every moment the shares that sidecars believe in add up to no more than 1 for each tenant. A lease counts
// for its holder from before it asked, for the primary from when it gave; what a holder was given last is out until the
// lease's end even where it was since given less, unless its next question says that it holds less. A new primary first
// gives nothing but what holders say they hold already, for as long as it takes all that reach it to say so. What is
// held by sidecars that do not reach it is not known to it; it ends within a lease, and the part of the rule's slack that
// buckets leave free is for that.
package quota

import "time"

// Lease is for how long a share is good, from before it was asked for.
const Lease = 2500 * time.Millisecond

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

// Allocator divides tenants' limits, for one term of one primary.
type Allocator struct {
	since   time.Duration
	holders map[string]*holder
}

// NewAllocator begins a term.
func NewAllocator(now time.Duration) *Allocator {
	return &Allocator{since: now, holders: map[string]*holder{}}
}

// Ask answers a sidecar's question; fleet is how many sidecars there are.
func (a *Allocator) Ask(node string, life uint64, demand, held map[string]float64, fleet int, now time.Duration) map[string]float64 {
	a.expire(now)
	h := a.holders[node]
	if h == nil || h.life != life {
		previous := h
		h = &holder{life: life}
		if previous != nil { // the process before may have spent it, and ended
			h.shares = previous.shares
		}
		a.holders[node] = h
	}
	h.demand, h.asked = demand, now
	if h.shares == nil {
		h.shares = held
	}
	early := now-a.since < claims
	given := map[string]float64{}
	for tenant := range demand {
		given[tenant] = a.share(node, tenant, held[tenant], max(1, fleet), early)
	}
	for tenant, share := range held { // what is held counts as out until the next question
		h.shares[tenant] = max(share, given[tenant])
	}
	for tenant, share := range given {
		if h.shares == nil {
			h.shares = map[string]float64{}
		}
		h.shares[tenant] = max(share, held[tenant])
	}
	h.until = now + Lease + margin
	return given
}

func (a *Allocator) share(node, tenant string, held float64, fleet int, early bool) float64 {
	if early {
		return held
	}
	others, total := 0.0, 0.0
	for address, h := range a.holders {
		total += h.demand[tenant]
		if address != node {
			others += h.shares[tenant]
		}
	}
	target := evenPart / float64(fleet)
	if total > 0 {
		target += (1 - evenPart) * a.holders[node].demand[tenant] / total
	} else {
		target = 1 / float64(fleet)
	}
	return max(0, min(target, 1-others))
}

func (a *Allocator) expire(now time.Duration) {
	for address, h := range a.holders {
		if now > h.until && now-h.asked > Lease {
			delete(a.holders, address)
		}
	}
}

// Out is how much of a tenant's limit is given.
func (a *Allocator) Out(tenant string) float64 {
	sum := 0.0
	for _, h := range a.holders {
		sum += h.shares[tenant]
	}
	return sum
}
