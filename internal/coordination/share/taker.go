package share

import (
	"slices"
	"time"

	"petrelhook/internal/coordination/lease"
)

// Consumer is what one member believes it may spend of one limit. Instants are of its own steady clock.
type Consumer struct {
	limit  Limit
	name   string
	weight float64
	parts  []taken
	over   []Usage
	floor  lease.Instant // when its floor allows one use more
	begun  bool          // the floor has begun to run

	since lease.Instant // when the count of tries below began
	tries int
	want  int           // tries of the period before
	due   lease.Instant // when to ask again
}

type taken struct {
	Usage
	units int
	until lease.Instant
}

// NewConsumer is a member that has nothing yet.
func NewConsumer(l Limit, name string, weight float64) *Consumer {
	return &Consumer{limit: l, name: name, weight: weight}
}

// Demand is how many uses a period are tried, by what was tried lately.
func (t *Consumer) Demand(now lease.Instant) int {
	if past := now.Sub(t.since); past >= t.limit.Period {
		if t.want = t.tries; past >= 2*t.limit.Period {
			t.want = 0
		}
		t.since, t.tries = now, 0
	}
	return max(t.want, t.tries)
}

// NextRequestAt is when to ask next; ok is false where nothing is wanted and nothing is to be told.
func (t *Consumer) NextRequestAt(now lease.Instant) (at lease.Instant, ok bool) {
	return t.due, t.Demand(now) > 0 || t.Remaining(now) > 0 || len(t.over) > 0
}

// RequestFailed takes in that a question was not answered.
func (t *Consumer) RequestFailed(now lease.Instant) { t.due = now.Add(t.limit.Period / 2) }

// NewRequest is the question for what it would spend in the next period. What it wants no more of what it has comes back with it, and is not
// spent from here on.
func (t *Consumer) NewRequest(want int, now lease.Instant) AllocationRequest {
	t.expire(now)
	for i := range t.parts { // the oldest ends first
		p := &t.parts[i]
		if left := p.units - p.Units; left > 0 && t.Remaining(now) > want {
			p.units = p.Units // what was spent counts to its end
			t.over = append(t.over, p.Usage)
		}
	}
	over := t.over
	if len(over) > maxOver {
		over = over[len(over)-maxOver:]
	}
	return AllocationRequest{Member: t.name, Weight: t.weight, Demand: max(0, want-t.Remaining(now)), Finished: append([]Usage(nil), over...)}
}

const maxOver = 64 // what is not told comes back by itself

// ApplyAllocation takes in the answer to a question asked at an instant.
func (t *Consumer) ApplyAllocation(asked lease.Instant, told Allocation, sent []Usage) {
	t.over = keep(t.over, sent)
	t.due = asked.Add(max(told.RetryAfter, t.limit.Period/2))
	known := slices.ContainsFunc(t.parts, func(p taken) bool { return p.Allocation == told.ID }) // heard twice it is one part
	if told.Units > 0 && !known {
		t.parts = append(t.parts, taken{Usage{told.ID, 0}, told.Units, lease.ValidUntil(asked, t.limit.Period)})
	}
}

// keep is all but what was told.
func keep(all, told []Usage) (left []Usage) {
	known := map[AllocationID]bool{}
	for _, s := range told {
		known[s.Allocation] = true
	}
	for _, s := range all {
		if !known[s.Allocation] {
			left = append(left, s)
		}
	}
	return left
}

// Spend reports whether one use is allowed now, and counts it.
func (t *Consumer) Spend(now lease.Instant) bool {
	t.Demand(now)
	t.tries++
	t.expire(now)
	for i := range t.parts {
		if p := &t.parts[i]; p.Units < p.units {
			p.Units++
			return true
		}
	}
	return t.spendFloor(now)
}

// spendFloor spends of the floor, which is one use in a time; at first a whole such time passes.
func (t *Consumer) spendFloor(now lease.Instant) bool {
	if t.limit.Floor == 0 {
		return false
	}
	each := time.Duration(float64(t.limit.Period) * float64(t.limit.Members) / float64(t.limit.Floor) * (1 + lease.MaxDrift))
	if !t.begun {
		t.begun, t.floor = true, now.Add(each)
	}
	if now < t.floor {
		return false
	}
	t.floor = now.Add(each)
	return true
}

// Allocated is the units of all parts that have not ended, spent or not.
func (t *Consumer) Allocated(now lease.Instant) (n int) {
	t.expire(now)
	for _, p := range t.parts {
		n += p.units
	}
	return n
}

// Remaining is the units that it may still spend beside its floor.
func (t *Consumer) Remaining(now lease.Instant) (n int) {
	t.expire(now)
	for _, p := range t.parts {
		n += p.units - p.Units
	}
	return n
}

// expire ends what is over by this clock. Answers may have crossed.
func (t *Consumer) expire(now lease.Instant) {
	t.parts = slices.DeleteFunc(t.parts, func(p taken) bool { return p.until <= now })
}
