package share

import (
	"maps"
	"slices"

	"petrelhook/internal/coordination/lease"
)

// Allocators holds the allocator of each limit for one term of one leader. It is not safe for concurrent use.
type Allocators struct {
	term    uint64
	byLimit map[string]*Allocator
}

// NewAllocators returns the allocators of all limits for a new term. The caller must have applied every entry that was in the log before
// the term.
func NewAllocators(r *Register, term uint64, now lease.Instant) *Allocators {
	a := &Allocators{term, map[string]*Allocator{}}
	for _, l := range r.Limits() {
		a.byLimit[l.Name] = NewAllocator(l, term, now)
	}
	return a
}

// Applied updates the allocators. The leader calls it after each command of its term that Register.Apply has accepted. For a new
// limit nothing is allocated during its first period, as at the start of a term: if the group was restored from a backup without the
// limit, allocations from before may still be in use.
func (a *Allocators) Applied(c Command, now lease.Instant) {
	if allocator := a.byLimit[c.Set.Name]; allocator != nil {
		allocator.SetUnits(c.Set.Units)
		return
	}
	a.byLimit[c.Set.Name] = NewAllocator(c.Set, a.term, now)
}

// Allocate returns the result of Allocator.Allocate for the limit with the given name. ok is false if there is no such limit.
func (a *Allocators) Allocate(limit string, r AllocationRequest, now lease.Instant) (allocation Allocation, ok bool) {
	allocator := a.byLimit[limit]
	if allocator == nil {
		return Allocation{}, false
	}
	return allocator.Allocate(r, now), true
}

// LimitStatus is the state of a limit, for operators.
type LimitStatus struct {
	Limit       Limit          `json:"limit"`
	Outstanding int            `json:"out"`             // units of all active allocations
	Starting    bool           `json:"waits,omitempty"` // nothing is allocated yet: the allocator's first period has not ended
	Members     []MemberStatus `json:"members,omitempty"`
}

// MemberStatus is the state of a member of a limit.
type MemberStatus struct {
	Name        string  `json:"name"`
	Weight      float64 `json:"weight"`
	Demand      int     `json:"want"` // units per period, as stated in the member's last request
	FairShare   float64 `json:"fair"` // units per period that the member is entitled to
	Outstanding int     `json:"out"`  // units of the member's active allocations, spent or not
}

// Statuses returns the state of all limits, sorted by name.
func (a *Allocators) Statuses(now lease.Instant) (all []LimitStatus) {
	for _, limit := range slices.Sorted(maps.Keys(a.byLimit)) {
		allocator := a.byLimit[limit]
		s := LimitStatus{Limit: allocator.limit, Outstanding: allocator.Outstanding(now), Starting: now < allocator.startsAt}
		for _, name := range slices.Sorted(maps.Keys(allocator.members)) {
			m := allocator.members[name]
			s.Members = append(s.Members, MemberStatus{name, m.weight, m.demand, min(allocator.fairShare(m), float64(allocator.limit.Units)), m.outstanding})
		}
		all = append(all, s)
	}
	return all
}
