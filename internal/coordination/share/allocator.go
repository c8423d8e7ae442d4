package share

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"petrelhook/internal/coordination/lease"
)

const (
	// recomputations is how often in a period the fair level is computed.
	recomputations = 16
	// minRetryFraction is the shortest wait before the next request, as a part of the period; maxRetryPeriods is the longest, in periods.
	minRetryFraction = 8
	maxRetryPeriods  = 4
	// forgetAfterPeriods is after how many periods without a request a member without units is forgotten.
	forgetAfterPeriods = 8

	// neverRequested is the time of the last request of a member that comes.
	neverRequested lease.Instant = math.MinInt64
)

// Allocator allocates the units of one limit, for one term of one leader. Instants are of its own steady clock.
type Allocator struct {
	limit       Limit
	term        uint64
	startsAt    lease.Instant // nothing is allocated before
	active      map[AllocationID]*activeAllocation
	outstanding int // units of all active allocations
	lastID      AllocationID
	members     map[string]*member
	fairLevel   float64       // units a period for a weight of 1, where more are wanted than there are
	computedAt  lease.Instant // when the fair level was computed
}

type activeAllocation struct {
	units  int
	until  lease.Instant
	member string
}

type member struct {
	weight      float64
	demand      int           // units a period
	entitled    float64       // units that are due to it and not allocated yet
	requestedAt lease.Instant // its last request
	outstanding int           // units of its active allocations
}

// NewAllocator begins to allocate, at an instant at which this leader has confirmed that it leads. It allocates nothing in its first
// period: allocations of the leader before it have ended by then.
func NewAllocator(l Limit, term uint64, now lease.Instant) *Allocator {
	return &Allocator{limit: l, term: term, startsAt: now.Add(l.Period), lastID: firstID(term),
		active: map[AllocationID]*activeAllocation{}, members: map[string]*member{}}
}

// SetUnits changes the units of the limit. What is allocated stays so until it ends; the other fields of a limit never change.
func (a *Allocator) SetUnits(units int) { a.limit.Units = max(units, a.limit.Floor) }

// Allocate answers a request. The caller has a confirmation by a majority, from after the request came, that this leader leads.
func (a *Allocator) Allocate(r AllocationRequest, now lease.Instant) Allocation {
	a.expire(now)
	a.returnUnspent(r)
	m := a.members[r.Member]
	if m == nil {
		if len(a.members) >= a.limit.Members {
			return Allocation{RetryAfter: a.limit.Period}
		}
		m = &member{requestedAt: neverRequested}
		a.members[r.Member] = m
	}
	fair := a.updateMember(m, r, now)
	if now < a.startsAt {
		return Allocation{RetryAfter: a.startsAt.Sub(now)}
	}
	free := a.limit.Units - a.limit.Floor - a.outstanding
	units := max(0, min(m.demand, int(m.entitled), free))
	if units == 0 {
		return Allocation{RetryAfter: a.retryAfter(m, fair, free, now)}
	}
	m.entitled -= float64(units)
	a.lastID++
	a.active[a.lastID] = &activeAllocation{units, now.Add(a.limit.Period), r.Member}
	a.outstanding += units
	m.outstanding += units
	return Allocation{ID: a.lastID, Units: units}
}

// returnUnspent takes back what a member will not spend of its allocations. What it has spent counts until the allocation ends; a usage
// that is reported twice changes nothing the second time.
func (a *Allocator) returnUnspent(r AllocationRequest) {
	for _, usage := range r.Finished {
		allocation := a.active[usage.Allocation]
		if allocation != nil && allocation.member == r.Member && usage.Units >= 0 && usage.Units < allocation.units {
			a.giveBack(allocation, allocation.units-usage.Units)
		}
	}
}

// updateMember records a request's weight and demand, and returns the member's fair units a period.
func (a *Allocator) updateMember(m *member, r AllocationRequest, now lease.Instant) (fair float64) {
	if m.weight = r.Weight; !(m.weight > 0) || math.IsInf(m.weight, 1) {
		m.weight = 1
	}
	m.demand = max(0, min(r.Demand, MaxUnits))
	if len(a.members) == 1 || now.Sub(a.computedAt) >= a.limit.Period/recomputations {
		a.computeFairLevel(now)
	}
	fair = a.fairShare(m)
	if m.requestedAt == neverRequested { // a new member is entitled to a complete period
		m.requestedAt, m.entitled = now, fair+initialEntitlement(r.Member, a.term)
	}
	m.entitled = min(m.entitled+fair*float64(now.Sub(m.requestedAt))/float64(a.limit.Period), max(fair, 1))
	m.requestedAt = now
	return fair
}

// initialEntitlement is between nothing and one unit, different for each member, so that members that come together and are due less
// than one unit each do not all wait for the same moment.
func initialEntitlement(name string, term uint64) float64 {
	h := fnv.New64a()
	fmt.Fprint(h, name, term)
	return float64(h.Sum64()>>11) / (1 << 53)
}

// retryAfter returns when there may be units for a member that gets none now.
func (a *Allocator) retryAfter(m *member, fair float64, free int, now lease.Instant) time.Duration {
	wait := a.limit.Period / minRetryFraction
	if m.demand > 0 && m.entitled < 1 && fair > 0 {
		wait = max(wait, time.Duration((1-m.entitled)/fair*float64(a.limit.Period)))
	}
	if free <= 0 {
		nextEnd := now.Add(a.limit.Period)
		for _, allocation := range a.active {
			nextEnd = min(nextEnd, allocation.until)
		}
		wait = max(wait, nextEnd.Sub(now))
	}
	return min(wait, maxRetryPeriods*a.limit.Period)
}

// expire ends allocations whose period has passed, and forgets members that have not asked for long.
func (a *Allocator) expire(now lease.Instant) {
	for id, allocation := range a.active {
		if allocation.until <= now {
			a.giveBack(allocation, allocation.units)
			delete(a.active, id)
		}
	}
	for name, m := range a.members {
		if m.outstanding == 0 && now.Sub(m.requestedAt) > forgetAfterPeriods*a.limit.Period {
			delete(a.members, name)
		}
	}
}

// giveBack makes units of an allocation free.
func (a *Allocator) giveBack(allocation *activeAllocation, units int) {
	allocation.units -= units
	a.outstanding -= units
	if m := a.members[allocation.member]; m != nil {
		m.outstanding -= units
	}
}

// fairShare returns the units a period that a member is entitled to.
func (a *Allocator) fairShare(m *member) float64 { return min(float64(m.demand), a.fairLevel*m.weight) }

// computeFairLevel computes the max-min fair level by weight: every member gets its demand where there is enough; else those that want
// most for their weight get the same for it, and the others their demand.
func (a *Allocator) computeFairLevel(now lease.Instant) {
	a.computedAt, a.fairLevel = now, math.Inf(1)
	byDemand := slices.SortedFunc(maps.Values(a.members), func(x, y *member) int { // the least demand for its weight first
		return cmp.Compare(float64(x.demand)/x.weight, float64(y.demand)/y.weight)
	})
	left, weight := float64(a.limit.Units-a.limit.Floor), 0.0
	for _, m := range byDemand {
		weight += m.weight
	}
	for _, m := range byDemand {
		if float64(m.demand) > left*m.weight/weight { // so do all that follow
			a.fairLevel = left / weight
			return
		}
		left, weight = left-float64(m.demand), weight-m.weight
	}
}

// Outstanding returns the units of all allocations that have not ended.
func (a *Allocator) Outstanding(now lease.Instant) int {
	a.expire(now)
	return a.outstanding
}
