package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// The bounds of a register.
const (
	maxTransitions = 200 // transitions of a change
	maxPast        = 20  // past changes of an application
)

// Transition is a step of a change to another phase, stage or reason.
type Transition struct {
	AtMillis int64  `json:"at"` // from Command.AtMillis
	Phase    string `json:"phase"`
	Stage    int    `json:"stage"`
	Reason   string `json:"why,omitempty"`
}

// Change is a change with its history.
type Change struct {
	Name        string        `json:"name"`
	EventCount  uint64        `json:"events"`
	Token       uint64        `json:"token"` // the newest fencing token of a driver
	Members     []Member      `json:"members"`
	State       *State        `json:"state"`
	Transitions []Transition  `json:"moments"`
	Results     []StageResult `json:"results,omitempty"` // results of the stages so far; see Register.Application
}

// Summary is the record of a past change. It replaces the Change when the next change of the application starts.
type Summary struct {
	Name        string       `json:"name"`
	Plan        string       `json:"plan"`
	Phase       string       `json:"phase"`
	Reason      string       `json:"why,omitempty"`
	Transitions []Transition `json:"moments"`
}

// Application has the changes of one application.
type Application struct {
	Current *Change   `json:"now"` // the change in progress, or the last one
	Past    []Summary `json:"past,omitempty"`
}

// Register is the replicated state machine of the changes of all applications: the same commands produce the same register.
type Register struct{ applications map[string]*Application }

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{applications: map[string]*Application{}} }

// Apply applies a command that has passed Check.
func (r *Register) Apply(c Command) Response {
	response, err := r.apply(c)
	if err != nil {
		response.Error, response.Err = err.Error(), err
	}
	return response
}

// apply is Apply with the error as a separate result.
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
		stageElapsed := change.State.StageElapsed // read before the verdict is applied, which may end the stage
		change.State.Apply(e)
		change.recordVerdict(c.AtMillis, e.Verdict, stageElapsed)
		change.EventCount++
		change.recordTransition(c.AtMillis)
	}
	return Response{EventCount: change.EventCount}, nil
}

// start begins a change. app is nil if the application has had no change yet.
func (r *Register) start(app *Application, c Command) (Response, error) {
	if app != nil && app.Current.Name == c.Change { // the command is a repeated one
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
		s.lastOrder = max(s.lastOrder, app.Current.State.lastOrder) // agents do not execute orders whose numbers they have seen
		app.Past = append(app.Past, app.Current.summary())
		app.Past = app.Past[max(0, len(app.Past)-maxPast):]
	}
	app.Current = &Change{Name: c.Change, Members: c.Start.Members, State: s}
	s.Apply(Event{}) // issues the first orders
	app.Current.recordTransition(c.AtMillis)
	return Response{}, nil
}

// recordTransition appends a transition if the phase, the stage or the reason differs from the last one.
func (c *Change) recordTransition(atMillis int64) {
	now := Transition{atMillis, c.State.Phase.String(), c.State.Stage, c.State.Reason}
	if n := len(c.Transitions); n > 0 {
		last := c.Transitions[n-1]
		if last.AtMillis = now.AtMillis; last == now {
			return
		}
	}
	c.Transitions = append(c.Transitions, now)
	c.Transitions = c.Transitions[max(0, len(c.Transitions)-maxTransitions):]
}

func (c *Change) summary() Summary {
	return Summary{Name: c.Name, Plan: c.State.Plan.String(), Phase: c.State.Phase.String(), Reason: c.State.Reason, Transitions: c.Transitions}
}

// Applications returns the sorted names of the applications that have changes.
func (r *Register) Applications() []string { return slices.Sorted(maps.Keys(r.applications)) }

// Application returns the Application with this name as JSON, or nil if it has no changes. Because results are large, Change.Results is
// included only if results is true.
func (r *Register) Application(name string, results bool) json.RawMessage {
	app := r.applications[name]
	if app == nil {
		return nil
	}
	if !results {
		current := *app.Current
		current.Results = nil
		app = &Application{&current, app.Past}
	}
	return marshal(app)
}
