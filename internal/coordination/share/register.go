package share

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Command is an entry of the replicated log. It adds a limit or changes its units. A repeated command changes nothing.
type Command struct {
	Set Limit `json:"set"`
}

// MaxLimits bounds the number of limits.
const MaxLimits = 10_000

// Errors of Register.Apply.
var (
	ErrLimitImmutable = errors.New("period, floor and members of a limit do not change, for members use those that they began with: use another name")
	ErrTooManyLimits  = fmt.Errorf("there are %d limits already", MaxLimits)
)

// Register is the replicated state machine of all limits: the same log produces the same register. Limits are never removed. An unused
// limit is set to no more units than its floor; then its allocations expire, and its name never stands for another limit.
type Register struct{ limits map[string]Limit }

// NewRegister returns a register without limits.
func NewRegister() *Register { return &Register{map[string]Limit{}} }

// Apply applies a command whose limit has passed Limit.Check. It returns ErrLimitImmutable or ErrTooManyLimits, and then nothing is
// changed.
func (r *Register) Apply(c Command) error {
	l := c.Set
	present, known := r.limits[l.Name]
	switch {
	case known && (present.Period != l.Period || present.Floor != l.Floor || present.Members != l.Members):
		return ErrLimitImmutable
	case !known && len(r.limits) >= MaxLimits:
		return ErrTooManyLimits
	}
	r.limits[l.Name] = l
	return nil
}

// Limits returns all limits, sorted by name.
func (r *Register) Limits() (all []Limit) {
	for _, name := range slices.Sorted(maps.Keys(r.limits)) {
		all = append(all, r.limits[name])
	}
	return all
}

// Snapshot encodes the register for RestoreRegister. It returns nil if there are no limits.
func (r *Register) Snapshot() json.RawMessage {
	if len(r.limits) == 0 {
		return nil
	}
	text, err := json.Marshal(r.Limits())
	if err != nil {
		panic(err) // no field has a type that can fail
	}
	return text
}

// RestoreRegister decodes a snapshot. An empty text is a register without limits.
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
		r.limits[l.Name] = l
	}
	return r, nil
}
