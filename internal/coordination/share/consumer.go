package share

import (
	"slices"
	"time"

	"petrelhook/internal/coordination/lease"
)

// maxFinished bounds the usages in one request. The allocator gets the unspent units of omitted usages back when the allocations expire.
const maxFinished = 64

// Consumer tracks what one member may spend of one limit. Instants are of the member's own steady clock. It is not safe for concurrent use.
type Consumer struct {
	limit         Limit
	name          string
	weight        float64
	allocations   []heldAllocation // in the order of their responses
	finished      []Usage          // usages whose report has not been acknowledged
	floor         floorRate
	demand        demandMeter
	nextRequestAt lease.Instant
}

// heldAllocation is an allocation that has not expired.
type heldAllocation struct {
	usage Usage // the units spent so far
	units int   // the units that may be spent in total
	until lease.Instant
}

// floorRate limits the use of the floor to one use per interval.
type floorRate struct {
	started bool
	nextAt  lease.Instant // when the next use is allowed
}

// demandMeter counts attempts to spend per period.
type demandMeter struct {
	since    lease.Instant // when the current period began
	attempts int           // attempts in the current period
	previous int           // attempts in the previous period
}

// NewConsumer returns the Consumer of a member without allocations.
func NewConsumer(l Limit, name string, weight float64) *Consumer {
	return &Consumer{limit: l, name: name, weight: weight}
}

// Demand returns the number of attempted uses per period: the larger of the numbers in the current and in the previous period.
func (c *Consumer) Demand(now lease.Instant) int {
	d := &c.demand
	if past := now.Sub(d.since); past >= c.limit.Period {
		if d.previous = d.attempts; past >= 2*c.limit.Period {
			d.previous = 0
		}
		d.since, d.attempts = now, 0
	}
	return max(d.previous, d.attempts)
}

// NextRequestAt returns when to send the next request; ok is false if the member needs no units and has nothing to report.
func (c *Consumer) NextRequestAt(now lease.Instant) (at lease.Instant, ok bool) {
	return c.nextRequestAt, c.Demand(now) > 0 || c.Remaining(now) > 0 || len(c.finished) > 0
}

// RequestFailed records that a request was not answered: the next one is sent half a period later.
func (c *Consumer) RequestFailed(now lease.Instant) {
	c.nextRequestAt = now.Add(c.limit.Period / 2)
}

// NewRequest returns a request for the units that the member lacks to spend demand units in the next period. If the member holds more
// than demand units, the request returns the unspent units of some allocations to the allocator. The member does not spend returned
// units any more, even if the request is lost.
func (c *Consumer) NewRequest(demand int, now lease.Instant) AllocationRequest {
	c.expire(now)
	for i := range c.allocations {
		held := &c.allocations[i]
		if left := held.units - held.usage.Units; left > 0 && c.Remaining(now) > demand {
			held.units = held.usage.Units // the spent units count until the allocation expires
			c.finished = append(c.finished, held.usage)
		}
	}
	finished := c.finished
	if len(finished) > maxFinished {
		finished = finished[len(finished)-maxFinished:]
	}
	return AllocationRequest{Member: c.name, Weight: c.weight, Demand: max(0, demand-c.Remaining(now)), Finished: append([]Usage(nil), finished...)}
}

// ApplyAllocation applies the response to a request that was sent at requestedAt and whose Finished was reported. An allocation that
// arrives twice counts once.
func (c *Consumer) ApplyAllocation(requestedAt lease.Instant, a Allocation, reported []Usage) {
	c.finished = withoutReported(c.finished, reported)
	c.nextRequestAt = requestedAt.Add(max(a.RetryAfter, c.limit.Period/2))
	known := slices.ContainsFunc(c.allocations, func(held heldAllocation) bool { return held.usage.Allocation == a.ID })
	if a.Units > 0 && !known {
		until := lease.ValidUntil(requestedAt, c.limit.Period)
		c.allocations = append(c.allocations, heldAllocation{usage: Usage{Allocation: a.ID}, units: a.Units, until: until})
	}
}

// withoutReported returns the usages whose allocations are not in reported.
func withoutReported(usages, reported []Usage) (left []Usage) {
	isReported := map[AllocationID]bool{}
	for _, usage := range reported {
		isReported[usage.Allocation] = true
	}
	for _, usage := range usages {
		if !isReported[usage.Allocation] {
			left = append(left, usage)
		}
	}
	return left
}

// Spend reports whether one use is allowed now, and counts the attempt and, if it is allowed, the use.
func (c *Consumer) Spend(now lease.Instant) bool {
	c.Demand(now)
	c.demand.attempts++
	c.expire(now)
	for i := range c.allocations {
		if held := &c.allocations[i]; held.usage.Units < held.units {
			held.usage.Units++
			return true
		}
	}
	return c.spendFloor(now)
}

// spendFloor reports whether the member may use its part of the floor now: one use per interval. The first use is allowed after a complete
// interval.
func (c *Consumer) spendFloor(now lease.Instant) bool {
	if c.limit.Floor == 0 {
		return false
	}
	interval := time.Duration(float64(c.limit.Period) * float64(c.limit.Members) / float64(c.limit.Floor) * (1 + lease.MaxDrift))
	if !c.floor.started {
		c.floor = floorRate{started: true, nextAt: now.Add(interval)}
	}
	if now < c.floor.nextAt {
		return false
	}
	c.floor.nextAt = now.Add(interval)
	return true
}

// Allocated returns the units of all allocations that have not expired, spent or not.
func (c *Consumer) Allocated(now lease.Instant) (n int) {
	c.expire(now)
	for _, held := range c.allocations {
		n += held.units
	}
	return n
}

// Remaining returns the units that the member may still spend in addition to its floor.
func (c *Consumer) Remaining(now lease.Instant) (n int) {
	c.expire(now)
	for _, held := range c.allocations {
		n += held.units - held.usage.Units
	}
	return n
}

// expire removes the allocations that have expired. They are not necessarily sorted by expiry, because responses may overtake one another.
func (c *Consumer) expire(now lease.Instant) {
	c.allocations = slices.DeleteFunc(c.allocations, func(held heldAllocation) bool { return held.until <= now })
}
