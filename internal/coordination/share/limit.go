package share

import (
	"fmt"
	"time"

	"petrelhook/internal/coordination/lease"
)

// Limit is what is divided among members.
type Limit struct {
	Name    string        `json:"name"`
	Units   int           `json:"units"`   // a period, of all members together
	Period  time.Duration `json:"period"`  // by the allocator's clock
	Floor   int           `json:"floor"`   // of Units: what all members together use without an allocation
	Members int           `json:"members"` // the largest number of members
}

// The bounds of a limit.
const (
	MinPeriod  = 50 * time.Millisecond
	MaxPeriod  = 10 * time.Minute
	MaxUnits   = 1 << 30
	MaxMembers = 100_000
)

// Check returns what is wrong with a limit. The error names the field and says what to write.
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

// AllocationID identifies an allocation by the leader's term and a number in it. Later ones are larger.
type AllocationID uint64

// firstID returns the id before the first one of a term.
func firstID(term uint64) AllocationID { return AllocationID(term << 32) }

// AllocationRequest is a member's request for units of one limit.
type AllocationRequest struct {
	Member   string  `json:"member"`
	Weight   float64 `json:"weight,omitempty"` // 0: 1
	Demand   int     `json:"want"`             // units that it would spend in the next period
	Finished []Usage `json:"over,omitempty"`   // allocations of which it spends no more
}

// Usage is what was spent of an allocation when the member stopped spending it.
type Usage struct {
	Allocation AllocationID `json:"part"`
	Units      int          `json:"units"`
}

// Allocation is the response: units that the member may spend within a period from its request.
type Allocation struct {
	ID         AllocationID  `json:"part,omitempty"`
	Units      int           `json:"units,omitempty"` // 0: none now
	RetryAfter time.Duration `json:"again,omitempty"` // when more may be available; 0: whenever the member wants
}
