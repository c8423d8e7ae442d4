package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Command is an entry of the replicated log: a change begins, or something happens to one. It may come twice, for who asks does not
// always hear the answer.
//
// A driver's command says how many events it knows of (After); if there were others it changes nothing, so that one that comes again
// changes nothing. An operator's comes at any time (Token 0), and once more does no harm: pause, resume and abort say what is to be.
type Command struct {
	Application string  `json:"application"`
	Change      string  `json:"change"` // its name, drawn by who starts it
	Token       uint64  `json:"token,omitempty"`
	KnownEvents uint64  `json:"after,omitempty"`
	AtMillis    int64   `json:"at,omitempty"` // ms of the teller's calendar, for people; nothing is decided by it
	Start       *Start  `json:"start,omitempty"`
	Events      []Event `json:"events,omitempty"`
}

// Start is what a change begins with.
type Start struct {
	Plan    Plan     `json:"plan"`
	Members []Member `json:"members"`
	Reports []Report `json:"now"`
}

// Response is what became of a command.
type Response struct {
	Error      string `json:"err,omitempty"`    // nothing was changed
	EventCount uint64 `json:"events,omitempty"` // how many the change has had
}

// MaxEvents is how many one command may have.
const MaxEvents = 512

// The bounds of a register.
const (
	maxName        = 128
	maxMembers     = 5000
	maxTransitions = 200 // that are kept of a change
	maxPast        = 20  // changes that are kept of an application
)

// Transition is a step of a change that people look for later.
type Transition struct {
	AtMillis int64  `json:"at"` // as the teller's calendar had it
	Phase    string `json:"phase"`
	Stage    int    `json:"stage"`
	Reason   string `json:"why,omitempty"`
}

// Change is one change, kept.
type Change struct {
	Name        string        `json:"name"`
	EventCount  uint64        `json:"events"`
	Token       uint64        `json:"token"` // of the newest driver
	Members     []Member      `json:"members"`
	State       *State        `json:"state"`
	Transitions []Transition  `json:"moments"`
	Results     []StageResult `json:"results,omitempty"` // of the stages so far; only where they are asked for
}

// Summary is a change that is over.
type Summary struct {
	Name        string       `json:"name"`
	Plan        string       `json:"plan"`
	Phase       string       `json:"phase"`
	Reason      string       `json:"why,omitempty"`
	Transitions []Transition `json:"moments"`
}

// Application is what is kept of one: the change that goes on, or was the last, and those before.
type Application struct {
	Current *Change   `json:"now"`
	Past    []Summary `json:"past,omitempty"`
}

// Register is the changes of all applications, as the replicated log makes them. Equal commands make equal registers.
type Register struct{ applications map[string]*Application }

// NewRegister is one without any.
func NewRegister() *Register { return &Register{applications: map[string]*Application{}} }

// What a command may meet.
var (
	ErrNoChange    = errors.New("there is no such change")
	ErrStaleDriver = errors.New("a newer driver was heard")
	ErrOtherEvents = errors.New("there were other events meanwhile")
)

// Check says what is wrong with a command by itself.
func (c *Command) Check() error {
	switch {
	case c.Application == "" || len(c.Application) > maxName:
		return fmt.Errorf("application: %q; write a name of 1 to %d bytes", c.Application, maxName)
	case c.Change == "" || len(c.Change) > maxName:
		return fmt.Errorf("change: %q; write a name of 1 to %d bytes", c.Change, maxName)
	case (c.Start == nil) == (len(c.Events) == 0):
		return errors.New("write a start, or events")
	case len(c.Events) > MaxEvents:
		return fmt.Errorf("%d events; write %d at most", len(c.Events), MaxEvents)
	case c.Start != nil && len(c.Start.Members) > maxMembers:
		return fmt.Errorf("%d sidecars; %d at most", len(c.Start.Members), maxMembers)
	}
	for _, e := range c.Events {
		if e.Verdict != nil && len(e.Verdict.Cells) > maxCells {
			return fmt.Errorf("a tally of %d cells; %d at most", len(e.Verdict.Cells), maxCells)
		}
		if operators := e.Pause != "" || e.Resume || e.Abort != ""; operators != (c.Token == 0) {
			return errors.New("operators pause, resume and abort, without a token; all else is a driver's, with one")
		}
	}
	return nil
}

// Apply carries out a command that was checked.
func (r *Register) Apply(c Command) Response {
	a, err := r.apply(c)
	if err != nil {
		a.Error = err.Error()
	}
	return a
}

func (r *Register) apply(c Command) (Response, error) {
	app := r.applications[c.Application]
	if c.Start != nil {
		return r.start(app, c)
	}
	if app == nil || app.Current.Name != c.Change {
		return Response{}, ErrNoChange
	}
	change := app.Current
	switch {
	case c.Token != 0 && c.Token < change.Token:
		return Response{EventCount: change.EventCount}, ErrStaleDriver
	case c.Token != 0 && c.KnownEvents != change.EventCount:
		return Response{EventCount: change.EventCount}, ErrOtherEvents
	}
	change.Token = max(change.Token, c.Token)
	for _, e := range c.Events {
		stageElapsed := change.State.StageElapsed // a verdict may end its stage, and the next begins at 0
		change.State.Apply(e)
		change.recordVerdict(c.AtMillis, e.Verdict, stageElapsed)
		change.EventCount++
		change.recordTransition(c.AtMillis)
	}
	return Response{EventCount: change.EventCount}, nil
}

func (r *Register) start(app *Application, c Command) (Response, error) {
	if app != nil && app.Current.Name == c.Change { // asked again
		return Response{EventCount: app.Current.EventCount}, nil
	}
	if app != nil && !app.Current.State.Phase.Over() {
		return Response{}, fmt.Errorf("change %s of %s is %v: wait for its end, or abort it", app.Current.Name, c.Application, app.Current.State.Phase)
	}
	s, err := New(c.Start.Plan, c.Start.Members, c.Start.Reports)
	if err != nil {
		return Response{}, err
	}
	if app == nil {
		app = &Application{}
		r.applications[c.Application] = app
	} else {
		s.lastOrder = max(s.lastOrder, app.Current.State.lastOrder) // agents know the orders of the last one
		app.Past = append(app.Past, app.Current.summary())
		app.Past = app.Past[max(0, len(app.Past)-maxPast):]
	}
	app.Current = &Change{Name: c.Change, Members: c.Start.Members, State: s}
	s.Apply(Event{}) // the first orders
	app.Current.recordTransition(c.AtMillis)
	return Response{}, nil
}

// recordTransition notes a change of phase or stage, and of why.
func (c *Change) recordTransition(atMillis int64) {
	transition := Transition{atMillis, c.State.Phase.String(), c.State.Stage, c.State.Reason}
	if n := len(c.Transitions); n > 0 && c.Transitions[n-1].Phase == transition.Phase && c.Transitions[n-1].Stage == transition.Stage && c.Transitions[n-1].Reason == transition.Reason {
		return
	}
	c.Transitions = append(c.Transitions, transition)
	c.Transitions = c.Transitions[max(0, len(c.Transitions)-maxTransitions):]
}

func (c *Change) summary() Summary {
	return Summary{Name: c.Name, Plan: c.State.Plan.String(), Phase: c.State.Phase.String(), Reason: c.State.Reason, Transitions: c.Transitions}
}

// Applications are the names of those that have changes, in order.
func (r *Register) Applications() []string { return slices.Sorted(maps.Keys(r.applications)) }

// Application is what is kept of one as bytes; nil: nothing is. Results are large, and go with it where they are asked for.
func (r *Register) Application(name string, results bool) json.RawMessage {
	app := r.applications[name]
	if app == nil {
		return nil
	}
	if !results {
		now := *app.Current
		now.Results = nil
		app = &Application{&now, app.Past}
	}
	return marshal(app)
}

// Snapshot is the register as bytes.
func (r *Register) Snapshot() json.RawMessage { return marshal(r.applications) }

func marshal(v any) json.RawMessage {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // no field can fail
	}
	return text
}

// RestoreRegister is the register of a snapshot; one of a version without any has none.
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
			return nil, fmt.Errorf("changes: %s has none", name)
		}
	}
	return r, nil
}

// stateRecord is a state as bytes.
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

// MarshalJSON is all of a state.
func (s *State) MarshalJSON() ([]byte, error) {
	record := stateRecord{s.Plan, s.Phase, s.Reason, s.Stage, s.BaselineElapsed, s.StageElapsed, s.WaitElapsed, s.JudgedNoWorse, s.LastVerdict, s.stages, nil, s.lastOrder}
	for _, name := range s.sidecarNames {
		record.Sidecars = append(record.Sidecars, s.sidecars[name])
	}
	return json.Marshal(record)
}

// UnmarshalJSON is a state that goes on as the one that was marshalled.
func (s *State) UnmarshalJSON(text []byte) error {
	var record stateRecord
	if err := json.Unmarshal(text, &record); err != nil {
		return err
	}
	*s = State{Plan: record.Plan, Phase: record.Phase, Reason: record.Reason, Stage: record.Stage, BaselineElapsed: record.BaselineElapsed, StageElapsed: record.StageElapsed, WaitElapsed: record.WaitElapsed, JudgedNoWorse: record.JudgedNoWorse,
		LastVerdict: record.LastVerdict, stages: record.Stages, sidecars: map[string]*Sidecar{}, lastOrder: record.LastOrder}
	for _, sidecar := range record.Sidecars {
		s.sidecars[sidecar.Name] = sidecar
		s.sidecarNames = append(s.sidecarNames, sidecar.Name)
	}
	if record.Phase > Stopped || record.Stage < 1 || record.Stage > len(record.Stages) || len(record.Stages) != len(record.Plan.Stages) {
		return fmt.Errorf("stage %d of %d, phase %d", record.Stage, len(record.Stages), record.Phase)
	}
	for _, stage := range record.Stages {
		for _, name := range stage {
			if s.sidecars[name] == nil {
				return fmt.Errorf("nothing of %s", name)
			}
		}
	}
	return nil
}
