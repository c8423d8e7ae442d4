package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Errors of a snapshot that this package has not written.
var (
	errNoCurrentChange   = errors.New("it has no current change")
	errInconsistentState = errors.New("the state of a change is inconsistent")
)

// Snapshot returns the register as JSON.
func (r *Register) Snapshot() json.RawMessage { return marshal(r.applications) }

// marshal returns a value as JSON whose fields cannot fail.
func marshal(v any) json.RawMessage {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}

// RestoreRegister returns the register of a snapshot. An empty text is that of a version without rollouts.
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

// stateRecord is the form of a State in JSON.
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

// MarshalJSON returns all of a state.
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

// UnmarshalJSON restores a state that continues as the one that was marshalled. A state that is not consistent is an error.
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
