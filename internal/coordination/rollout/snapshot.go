package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Errors of a malformed snapshot.
var (
	errNoCurrentChange   = errors.New("it has no current change")
	errInconsistentState = errors.New("the state of a change is inconsistent")
)

// Snapshot encodes the register as JSON, for RestoreRegister.
func (r *Register) Snapshot() json.RawMessage { return marshal(r.applications) }

// marshal encodes a value of a type whose encoding cannot fail.
func marshal(v any) json.RawMessage {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}

// RestoreRegister decodes a snapshot. An empty text is an empty register: versions without rollouts wrote none.
func RestoreRegister(text []byte) (*Register, error) {
	r := NewRegister()
	if len(text) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(text, &r.applications); err != nil {
		return nil, fmt.Errorf("changes: %w", err)
	}
	for name, app := range r.applications {
		if app == nil || app.Current == nil || app.Current.State == nil {
			return nil, fmt.Errorf("changes: application %q: %w", name, errNoCurrentChange)
		}
	}
	return r, nil
}

// stateRecord is the JSON form of a State.
type stateRecord struct {
	Plan            Plan          `json:"plan"`
	Phase           Phase         `json:"phase"`
	Reason          string        `json:"why,omitempty"`
	Stage           int           `json:"stage"`
	BaselineElapsed time.Duration `json:"settled,omitempty"`
	StageElapsed    time.Duration `json:"watched,omitempty"`
	WaitElapsed     time.Duration `json:"waited,omitempty"`
	JudgedNoWorse   bool          `json:"fine,omitempty"`
	LastVerdict     string        `json:"evidence,omitempty"`
	Stages          [][]string    `json:"stages"`
	Sidecars        []*Sidecar    `json:"sidecars"`
	LastOrder       uint64        `json:"number,omitempty"`
}

// MarshalJSON encodes the complete state, including its unexported fields.
func (s *State) MarshalJSON() ([]byte, error) {
	record := stateRecord{
		Plan: s.Plan, Phase: s.Phase, Reason: s.Reason, Stage: s.Stage,
		BaselineElapsed: s.BaselineElapsed, StageElapsed: s.StageElapsed, WaitElapsed: s.WaitElapsed,
		JudgedNoWorse: s.JudgedNoWorse, LastVerdict: s.LastVerdict,
		Stages: s.stages, LastOrder: s.lastOrder,
	}
	for _, name := range s.sidecarNames {
		record.Sidecars = append(record.Sidecars, s.sidecars[name])
	}
	return json.Marshal(record)
}

// UnmarshalJSON decodes a state that behaves like the one that was encoded. It returns an error if the state is inconsistent.
func (s *State) UnmarshalJSON(text []byte) error {
	var record stateRecord
	if err := json.Unmarshal(text, &record); err != nil {
		return err
	}
	*s = State{
		Plan: record.Plan, Phase: record.Phase, Reason: record.Reason, Stage: record.Stage,
		BaselineElapsed: record.BaselineElapsed, StageElapsed: record.StageElapsed, WaitElapsed: record.WaitElapsed,
		JudgedNoWorse: record.JudgedNoWorse, LastVerdict: record.LastVerdict,
		stages: record.Stages, sidecars: map[string]*Sidecar{}, lastOrder: record.LastOrder,
	}
	for _, sidecar := range record.Sidecars {
		s.sidecars[sidecar.Name] = sidecar
		s.sidecarNames = append(s.sidecarNames, sidecar.Name)
	}
	if record.Phase > Stopped || record.Stage < 1 || record.Stage > len(record.Stages) || len(record.Stages) != len(record.Plan.Stages) {
		return fmt.Errorf("%w: stage %d of %d, phase %d", errInconsistentState, record.Stage, len(record.Stages), record.Phase)
	}
	for _, stage := range record.Stages {
		for _, name := range stage {
			if s.sidecars[name] == nil {
				return fmt.Errorf("%w: stage has sidecar %q, of which nothing is recorded", errInconsistentState, name)
			}
		}
	}
	return nil
}
