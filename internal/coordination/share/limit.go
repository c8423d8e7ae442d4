package share

import (
	"fmt"
	"time"

	"petrelhook/internal/coordination/lease"
)

// Limit is a fleet-wide limit whose units are divided among members.
type Limit struct {
	Name    string        `json:"name"`
	Units   int           `json:"units"`   // units per period for all members together
	Period  time.Duration `json:"period"`  // measured by the allocator's clock
	Floor   int           `json:"floor"`   // the part of Units that all members together may use without an allocation
	Members int           `json:"members"` // the largest number of members
}

// The bounds of a limit.
const (
	MinPeriod  = 50 * time.Millisecond
	MaxPeriod  = 10 * time.Minute
	MaxUnits   = 1 << 30
	MaxMembers = 100_000
)

// Check validates a limit. The error names the field and states what to write.
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

// AllocationID identifies an allocation by the leader's term and a number within the term. Later allocations have larger ids.
type AllocationID uint64

// firstID returns the id that precedes the first allocation of a term.
func firstID(term uint64) AllocationID { return AllocationID(term << 32) }

// AllocationRequest is a member's request for units of one limit.
type AllocationRequest struct {
	Member   string  `json:"member"`
	Weight   float64 `json:"weight,omitempty"` // 0: 1
	Demand   int     `json:"want"`             // units that the member would spend in the next period beyond those that it has
	Finished []Usage `json:"over,omitempty"`   // allocations that the member does not spend any more
}

// Usage reports how many units of an allocation were spent when the member stopped spending it.
type Usage struct {
	Allocation AllocationID `json:"part"`
	Units      int          `json:"units"`
}

// Allocation is the response to an AllocationRequest: units that the member may spend within a period from its request.
type Allocation struct {
	ID         AllocationID  `json:"part,omitempty"`
	Units      int           `json:"units,omitempty"` // 0: none now
	RetryAfter time.Duration `json:"again,omitempty"` // how long to wait before the next request; 0: no wait is required
}
