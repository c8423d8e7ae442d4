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
	// recomputations is the maximum number of times per period that the fair level is computed, if the
	// limit has several members. With one member, the level is computed for each request.
	recomputations = 16
	// The shortest wait before the next request is the period divided by minRetryFraction; the longest is maxRetryPeriods periods.
	minRetryFraction = 8
	maxRetryPeriods  = 4
	// A member without active allocations is forgotten after forgetAfterPeriods periods without a request.
	forgetAfterPeriods = 8

	// neverRequested is the time of the last request of a member whose first request is being answered.
	neverRequested lease.Instant = math.MinInt64
)

// Allocator allocates the units of one limit, for one term of one leader. Its instants are readings of that
// leader's steady clock.
type Allocator struct {
	limit       Limit
	term        uint64
	startsAt    lease.Instant // nothing is allocated before this instant
	active      map[AllocationID]*activeAllocation
	outstanding int // units of all active allocations
	lastID      AllocationID
	members     map[string]*member
	fairLevel   float64       // units per period for a weight of 1 if the demand exceeds the limit, otherwise infinite
	computedAt  lease.Instant // when the fair level was computed
}

type activeAllocation struct {
	units  int
	until  lease.Instant
	member string
}

type member struct {
	weight      float64
	demand      int           // units per period
	entitled    float64       // units that the member is entitled to and that are not allocated yet
	requestedAt lease.Instant // when its last request arrived
	outstanding int           // units of its active allocations
}

// NewAllocator returns the allocator of a limit for one term. now is an instant at which a majority has confirmed that this leader leads.
// The allocator allocates nothing in its first period, by the end of which the allocations of the previous leader have expired.
func NewAllocator(l Limit, term uint64, now lease.Instant) *Allocator {
	return &Allocator{limit: l, term: term, startsAt: now.Add(l.Period), lastID: firstID(term),
		active: map[AllocationID]*activeAllocation{}, members: map[string]*member{}}
}

// SetUnits changes the units of the limit, to at least its floor. Existing allocations stay until they
// expire. The other fields of a limit never change.
func (a *Allocator) SetUnits(units int) { a.limit.Units = max(units, a.limit.Floor) }

// Allocate answers a request of a member. Before the call a majority must have confirmed, after the request arrived, that this leader
// leads.
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

// returnUnspent frees the units of finished allocations that the member has not spent. The spent units
// count as outstanding until the allocation expires. A usage that is reported twice changes nothing the
// second time.
func (a *Allocator) returnUnspent(r AllocationRequest) {
	for _, usage := range r.Finished {
		allocation := a.active[usage.Allocation]
		if allocation != nil && allocation.member == r.Member && usage.Units >= 0 && usage.Units < allocation.units {
			a.giveBack(allocation, allocation.units-usage.Units)
		}
	}
}

// updateMember records the weight and demand of a request, adds what the member has become entitled to since its last request, and returns
// its fair share in units per period.
func (a *Allocator) updateMember(m *member, r AllocationRequest, now lease.Instant) (fair float64) {
	if m.weight = r.Weight; !(m.weight > 0) || math.IsInf(m.weight, 1) {
		m.weight = 1
	}
	m.demand = max(0, min(r.Demand, MaxUnits))
	if len(a.members) == 1 || now.Sub(a.computedAt) >= a.limit.Period/recomputations {
		a.computeFairLevel(now)
	}
	fair = a.fairShare(m)
	if m.requestedAt == neverRequested { // a new member starts with the fair share of a whole period
		m.requestedAt, m.entitled = now, fair+initialEntitlement(r.Member, a.term)
	}
	m.entitled = min(m.entitled+fair*float64(now.Sub(m.requestedAt))/float64(a.limit.Period), max(fair, 1))
	m.requestedAt = now
	return fair
}

// initialEntitlement returns a fraction of a unit, different for each member, so that members that start at the same time and are
// entitled to less than one unit per period do not all become entitled to their first unit at the same moment.
func initialEntitlement(name string, term uint64) float64 {
	h := fnv.New64a()
	fmt.Fprint(h, name, term)
	return float64(h.Sum64()>>11) / (1 << 53)
}

// retryAfter returns how long a member that gets no units now should wait before its next request.
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

// expire removes the allocations whose period has passed, and the members without active allocations that
// have sent no request for more than forgetAfterPeriods periods.
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

// giveBack frees units of an allocation.
func (a *Allocator) giveBack(allocation *activeAllocation, units int) {
	allocation.units -= units
	a.outstanding -= units
	if m := a.members[allocation.member]; m != nil {
		m.outstanding -= units
	}
}

// fairShare returns the units per period that a member is entitled to.
func (a *Allocator) fairShare(m *member) float64 { return min(float64(m.demand), a.fairLevel*m.weight) }

// computeFairLevel computes the weighted max-min fair level. If the units suffice, every member gets its
// demand. Otherwise the members with the largest ratio of demand to weight get units in proportion to their
// weight, and the others get their demand.
func (a *Allocator) computeFairLevel(now lease.Instant) {
	a.computedAt, a.fairLevel = now, math.Inf(1)
	byDemand := slices.SortedFunc(maps.Values(a.members), func(x, y *member) int { // the member with the least demand for its weight first
		return cmp.Compare(float64(x.demand)/x.weight, float64(y.demand)/y.weight)
	})
	left, weight := float64(a.limit.Units-a.limit.Floor), 0.0
	for _, m := range byDemand {
		weight += m.weight
	}
	for _, m := range byDemand {
		if float64(m.demand) > left*m.weight/weight { // the members that follow exceed their shares too
			a.fairLevel = left / weight
			return
		}
		left, weight = left-float64(m.demand), weight-m.weight
	}
}

// Outstanding returns the units of all active allocations.
func (a *Allocator) Outstanding(now lease.Instant) int {
	a.expire(now)
	return a.outstanding
}
