package share

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"petrelhook/internal/coordination/lease"
)

// Command is an entry of the replicated log: a limit is to be as it says. To say it twice does no harm.
type Command struct {
	Set Limit `json:"set"`
}

// MaxLimits is how many there may be.
const MaxLimits = 10_000

// What a command may meet.
var (
	ErrLimitImmutable = errors.New("period, floor and members of a limit do not change: members count by what they were told once; use another name")
	ErrTooManyLimits  = fmt.Errorf("there are %d limits already", MaxLimits)
)

// Register is the limits, as the log makes them. One that is not wanted any more stays, with no more units than its floor: what was
// given of it ends, and its name is never another limit.
type Register struct{ all map[string]Limit }

// NewRegister is one without any.
func NewRegister() *Register { return &Register{map[string]Limit{}} }

// Apply carries out a command that was checked.
func (r *Register) Apply(c Command) error {
	l := c.Set
	was, known := r.all[l.Name]
	switch {
	case known && (was.Period != l.Period || was.Floor != l.Floor || was.Members != l.Members):
		return ErrLimitImmutable
	case !known && len(r.all) >= MaxLimits:
		return ErrTooManyLimits
	}
	r.all[l.Name] = l
	return nil
}

// Limits are all, by name.
func (r *Register) Limits() (all []Limit) {
	for _, name := range slices.Sorted(maps.Keys(r.all)) {
		all = append(all, r.all[name])
	}
	return all
}

// Snapshot is the register as bytes; nil: there is nothing in it.
func (r *Register) Snapshot() json.RawMessage {
	if len(r.all) == 0 {
		return nil
	}
	text, err := json.Marshal(r.Limits())
	if err != nil {
		panic(err) // no field can fail
	}
	return text
}

// RestoreRegister is the register of a snapshot; one of a version without any has none.
func RestoreRegister(text []byte) (*Register, error) {
	r, all := NewRegister(), []Limit{}
	if len(text) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, fmt.Errorf("limits: %w", err)
	}
	for _, l := range all {
		if err := l.Check(); err != nil {
			return nil, fmt.Errorf("limits: %w", err)
		}
		r.all[l.Name] = l
	}
	return r, nil
}

// Allocators are those of all limits, for one term of one leader.
type Allocators struct {
	term uint64
	all  map[string]*Allocator
}

// NewAllocators begins to divide all limits.
func NewAllocators(r *Register, term uint64, now lease.Instant) *Allocators {
	d := &Allocators{term, map[string]*Allocator{}}
	for _, l := range r.Limits() {
		d.all[l.Name] = NewAllocator(l, term, now)
	}
	return d
}

// Applied is told of a command of this term. A limit that is new waits a period too: a group that was restored may have forgotten it.
func (d *Allocators) Applied(c Command, now lease.Instant) {
	if one := d.all[c.Set.Name]; one != nil {
		one.SetUnits(c.Set.Units)
		return
	}
	d.all[c.Set.Name] = NewAllocator(c.Set, d.term, now)
}

// Allocate is a question to one of them, confirmed; false: there is no such limit.
func (d *Allocators) Allocate(limit string, a AllocationRequest, now lease.Instant) (Allocation, bool) {
	one := d.all[limit]
	if one == nil {
		return Allocation{}, false
	}
	return one.Allocate(a, now), true
}

// LimitStatus is how a limit stands.
type LimitStatus struct {
	Limit       Limit          `json:"limit"`
	Outstanding int            `json:"out"`
	Starting    bool           `json:"waits,omitempty"` // nothing is given yet: the leader is new
	Members     []MemberStatus `json:"members,omitempty"`
}

// MemberStatus is how a member stands.
type MemberStatus struct {
	Name        string  `json:"name"`
	Weight      float64 `json:"weight"`
	Demand      int     `json:"want"` // units a period that it asked for last
	FairShare   float64 `json:"fair"` // units a period that are its due
	Outstanding int     `json:"out"`  // units that it has or has spent
}

// Statuses are how all limits stand.
func (d *Allocators) Statuses(now lease.Instant) (all []LimitStatus) {
	for _, name := range slices.Sorted(maps.Keys(d.all)) {
		one := d.all[name]
		s := LimitStatus{Limit: one.limit, Outstanding: one.Outstanding(now), Starting: now < one.from}
		for _, name := range slices.Sorted(maps.Keys(one.members)) {
			m := one.members[name]
			s.Members = append(s.Members, MemberStatus{name, m.weight, m.want, min(one.fair(m), float64(one.limit.Units)), m.out})
		}
		all = append(all, s)
	}
	return all
}
