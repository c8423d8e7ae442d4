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

// Limit is what is divided.
type Limit struct {
	Name    string        `json:"name"`
	Units   int           `json:"units"`   // a period, of all members together
	Period  time.Duration `json:"period"`  // by the divider's clock
	Floor   int           `json:"floor"`   // of Units: what members use, all together, that have no other part
	Members int           `json:"members"` // that there are at most
}

// The bounds of a limit.
const (
	MinPeriod, MaxPeriod = 50 * time.Millisecond, 10 * time.Minute
	MaxUnits             = 1 << 30
	MaxMembers           = 100_000
)

// Check says what is wrong with a limit.
func (l *Limit) Check() error {
	switch {
	case l.Name == "" || len(l.Name) > lease.MaxNameBytes:
		return fmt.Errorf("name: %q; write 1 to %d bytes", l.Name, lease.MaxNameBytes)
	case l.Units < 0 || l.Units > MaxUnits:
		return fmt.Errorf("units: %d; write 0 to %d", l.Units, MaxUnits)
	case l.Period < MinPeriod || l.Period > MaxPeriod:
		return fmt.Errorf("period: %v; write %v to %v", l.Period, MinPeriod, MaxPeriod)
	case l.Floor < 0 || l.Floor > l.Units:
		return fmt.Errorf("floor: %d; write 0 to units (%d)", l.Floor, l.Units)
	case l.Members < 1 || l.Members > MaxMembers:
		return fmt.Errorf("members: %d; write 1 to %d", l.Members, MaxMembers)
	}
	return nil
}

// AllocationID is the number of a part: that of the leader's term, and of the part in it. Later ones are larger.
type AllocationID uint64

// AllocationRequest is a member's question.
type AllocationRequest struct {
	Member   string  `json:"member"`
	Weight   float64 `json:"weight,omitempty"` // 0: 1
	Demand   int     `json:"want"`             // units that it would spend in the next period
	Finished []Usage `json:"over,omitempty"`   // parts of which it spends no more
}

// Usage is what was spent of a part, at its end.
type Usage struct {
	Allocation AllocationID `json:"part"`
	Units      int          `json:"units"`
}

// Allocation is the answer.
type Allocation struct {
	ID         AllocationID  `json:"part,omitempty"`
	Units      int           `json:"units,omitempty"` // 0: none now
	RetryAfter time.Duration `json:"again,omitempty"` // when more may be due; 0: whenever it wants
}

// Allocator gives the parts of one limit, for one term of one leader. Instants are of its own steady clock.
type Allocator struct {
	limit   Limit
	term    uint64
	from    lease.Instant // nothing is given before
	parts   map[AllocationID]*part
	out     int // units of all parts
	last    AllocationID
	members map[string]*member
	level   float64       // units a period for a weight of 1, where more are wanted
	divided lease.Instant // when that was worked out
}

type part struct {
	units int
	until lease.Instant
	of    string
}

type member struct {
	weight float64
	want   int
	due    float64       // units
	asked  lease.Instant // last
	out    int
}

// NewAllocator begins to give, at an instant at which this leader has confirmed that it leads.
func NewAllocator(l Limit, term uint64, now lease.Instant) *Allocator {
	return &Allocator{limit: l, term: term, from: now.Add(l.Period), last: AllocationID(term << 32), parts: map[AllocationID]*part{}, members: map[string]*member{}}
}

// SetUnits takes in another number of units. What is out stays out. The rest of a limit stands as long as its name.
func (d *Allocator) SetUnits(units int) { d.limit.Units = max(units, d.limit.Floor) }

// Allocate answers a question, now that a majority has confirmed after it came that this leader leads.
func (d *Allocator) Allocate(a AllocationRequest, now lease.Instant) Allocation {
	d.expire(now)
	for _, s := range a.Finished {
		if p := d.parts[s.Allocation]; p != nil && p.of == a.Member && s.Units >= 0 && s.Units < p.units {
			d.back(p, p.units-s.Units)
		}
	}
	m := d.members[a.Member]
	if m == nil {
		if len(d.members) >= d.limit.Members {
			return Allocation{RetryAfter: d.limit.Period}
		}
		m = &member{asked: never}
		d.members[a.Member] = m
	}
	if m.weight = a.Weight; !(m.weight > 0) || math.IsInf(m.weight, 1) {
		m.weight = 1
	}
	m.want = max(0, min(a.Demand, MaxUnits))
	if len(d.members) == 1 || now.Sub(d.divided) >= d.limit.Period/dividings {
		d.divide(now)
	}
	fair := d.fair(m)
	if m.asked == never { // it comes, and is due a whole period
		m.asked, m.due = now, fair+first(a.Member, d.term)
	}
	m.due = min(m.due+fair*float64(now.Sub(m.asked))/float64(d.limit.Period), max(fair, 1))
	m.asked = now
	if now < d.from {
		return Allocation{RetryAfter: d.from.Sub(now)}
	}
	free := d.limit.Units - d.limit.Floor - d.out
	units := max(0, min(m.want, int(m.due), free))
	if units == 0 {
		return Allocation{RetryAfter: d.again(m, fair, free, now)}
	}
	m.due -= float64(units)
	d.last++
	d.parts[d.last] = &part{units, now.Add(d.limit.Period), a.Member}
	d.out += units
	m.out += units
	return Allocation{ID: d.last, Units: units}
}

const never lease.Instant = math.MinInt64

// first is what is due to a member that comes: between nothing and one unit, another for each, so that those that come together and are
// due less than one each do not wait together.
func first(name string, term uint64) float64 {
	h := fnv.New64a()
	fmt.Fprint(h, name, term)
	return float64(h.Sum64()>>11) / (1 << 53)
}

// again is when there may be something for a member.
func (d *Allocator) again(m *member, fair float64, free int, now lease.Instant) time.Duration {
	wait := d.limit.Period / 8
	if m.want > 0 && m.due < 1 && fair > 0 {
		wait = max(wait, time.Duration((1-m.due)/fair*float64(d.limit.Period)))
	}
	if free <= 0 {
		next := now.Add(d.limit.Period)
		for _, p := range d.parts {
			next = min(next, p.until)
		}
		wait = max(wait, next.Sub(now))
	}
	return min(wait, 4*d.limit.Period)
}

// expire ends what is over, and forgets who has not asked for long.
func (d *Allocator) expire(now lease.Instant) {
	for n, p := range d.parts {
		if p.until <= now {
			d.back(p, p.units)
			delete(d.parts, n)
		}
	}
	for name, m := range d.members {
		if m.out == 0 && now.Sub(m.asked) > 8*d.limit.Period {
			delete(d.members, name)
		}
	}
}

func (d *Allocator) back(p *part, units int) {
	p.units -= units
	d.out -= units
	if m := d.members[p.of]; m != nil {
		m.out -= units
	}
}

// dividings are how often in a period it is worked out what is fair.
const dividings = 16

// fair is what is due to a member a period.
func (d *Allocator) fair(m *member) float64 { return min(float64(m.want), d.level*m.weight) }

// divide works out what is fair: all that is wanted where there is enough; else each as much for its weight, and none more than it wants.
func (d *Allocator) divide(now lease.Instant) {
	d.divided, d.level = now, math.Inf(1)
	all := slices.SortedFunc(maps.Values(d.members), func(a, b *member) int { // who wants least for its weight first
		return cmp.Compare(float64(a.want)/a.weight, float64(b.want)/b.weight)
	})
	left, weight := float64(d.limit.Units-d.limit.Floor), 0.0
	for _, m := range all {
		weight += m.weight
	}
	for _, m := range all {
		if float64(m.want) > left*m.weight/weight { // and so do those that follow
			d.level = left / weight
			return
		}
		left, weight = left-float64(m.want), weight-m.weight
	}
}

// Outstanding is the units that are out.
func (d *Allocator) Outstanding(now lease.Instant) int {
	d.expire(now)
	return d.out
}
