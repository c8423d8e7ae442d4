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
	After       uint64  `json:"after,omitempty"`
	At          int64   `json:"at,omitempty"` // ms of the teller's calendar, for people; nothing is decided by it
	Start       *Start  `json:"start,omitempty"`
	Events      []Event `json:"events,omitempty"`
}

// Start is what a change begins with.
type Start struct {
	Plan    Plan     `json:"plan"`
	Members []Member `json:"members"`
	Now     []Report `json:"now"`
}

// Answer is what became of a command.
type Answer struct {
	Err    string `json:"err,omitempty"`    // nothing was changed
	Events uint64 `json:"events,omitempty"` // how many the change has had
}

// MaxEvents is how many one command may have.
const MaxEvents = 512

// The bounds of a register.
const (
	maxName    = 128
	maxMembers = 5000
	moments    = 200 // that are kept of a change
	past       = 20  // changes that are kept of an application
)

// Moment is a step of a change that people look for later.
type Moment struct {
	At    int64  `json:"at"` // as the teller's calendar had it
	Phase string `json:"phase"`
	Stage int    `json:"stage"`
	Why   string `json:"why,omitempty"`
}

// Change is one change, kept.
type Change struct {
	Name    string        `json:"name"`
	Events  uint64        `json:"events"`
	Token   uint64        `json:"token"` // of the newest driver
	Members []Member      `json:"members"`
	State   *State        `json:"state"`
	Moments []Moment      `json:"moments"`
	Results []StageResult `json:"results,omitempty"` // of the stages so far; only where they are asked for
}

// Summary is a change that is over.
type Summary struct {
	Name    string   `json:"name"`
	Plan    string   `json:"plan"`
	Phase   string   `json:"phase"`
	Why     string   `json:"why,omitempty"`
	Moments []Moment `json:"moments"`
}

// Application is what is kept of one: the change that goes on, or was the last, and those before.
type Application struct {
	Now  *Change   `json:"now"`
	Past []Summary `json:"past,omitempty"`
}

// Register is the changes of all applications, as the replicated log makes them. Equal commands make equal registers.
type Register struct{ all map[string]*Application }

// NewRegister is one without any.
func NewRegister() *Register { return &Register{all: map[string]*Application{}} }

// What a command may meet.
var (
	ErrNoChange = errors.New("there is no such change")
	ErrOlder    = errors.New("a newer driver was heard")
	ErrBehind   = errors.New("there were other events meanwhile")
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
		if e.Verdict != nil && len(e.Verdict.Tally) > maxCells {
			return fmt.Errorf("a tally of %d cells; %d at most", len(e.Verdict.Tally), maxCells)
		}
		if operators := e.Pause != "" || e.Resume || e.Abort != ""; operators != (c.Token == 0) {
			return errors.New("operators pause, resume and abort, without a token; all else is a driver's, with one")
		}
	}
	return nil
}

// Apply carries out a command that was checked.
func (r *Register) Apply(c Command) Answer {
	a, err := r.apply(c)
	if err != nil {
		a.Err = err.Error()
	}
	return a
}

func (r *Register) apply(c Command) (Answer, error) {
	app := r.all[c.Application]
	if c.Start != nil {
		return r.start(app, c)
	}
	if app == nil || app.Now.Name != c.Change {
		return Answer{}, ErrNoChange
	}
	now := app.Now
	switch {
	case c.Token != 0 && c.Token < now.Token:
		return Answer{Events: now.Events}, ErrOlder
	case c.Token != 0 && c.After != now.Events:
		return Answer{Events: now.Events}, ErrBehind
	}
	now.Token = max(now.Token, c.Token)
	for _, e := range c.Events {
		watched := now.State.Watched // a verdict may end its stage, and the next begins at 0
		now.State.Apply(e)
		now.note(c.At, e.Verdict, watched)
		now.Events++
		now.moment(c.At)
	}
	return Answer{Events: now.Events}, nil
}

func (r *Register) start(app *Application, c Command) (Answer, error) {
	if app != nil && app.Now.Name == c.Change { // asked again
		return Answer{Events: app.Now.Events}, nil
	}
	if app != nil && !app.Now.State.Phase.Over() {
		return Answer{}, fmt.Errorf("change %s of %s is %v: wait for its end, or abort it", app.Now.Name, c.Application, app.Now.State.Phase)
	}
	s, err := New(c.Start.Plan, c.Start.Members, c.Start.Now)
	if err != nil {
		return Answer{}, err
	}
	if app == nil {
		app = &Application{}
		r.all[c.Application] = app
	} else {
		s.number = max(s.number, app.Now.State.number) // agents know the orders of the last one
		app.Past = append(app.Past, app.Now.summary())
		app.Past = app.Past[max(0, len(app.Past)-past):]
	}
	app.Now = &Change{Name: c.Change, Members: c.Start.Members, State: s}
	s.Apply(Event{}) // the first orders
	app.Now.moment(c.At)
	return Answer{}, nil
}

// moment notes a change of phase or stage, and of why.
func (c *Change) moment(at int64) {
	m := Moment{at, c.State.Phase.String(), c.State.Stage, c.State.Why}
	if n := len(c.Moments); n > 0 && c.Moments[n-1].Phase == m.Phase && c.Moments[n-1].Stage == m.Stage && c.Moments[n-1].Why == m.Why {
		return
	}
	c.Moments = append(c.Moments, m)
	c.Moments = c.Moments[max(0, len(c.Moments)-moments):]
}

func (c *Change) summary() Summary {
	return Summary{Name: c.Name, Plan: c.State.Plan.String(), Phase: c.State.Phase.String(), Why: c.State.Why, Moments: c.Moments}
}

// Applications are the names of those that have changes, in order.
func (r *Register) Applications() []string { return slices.Sorted(maps.Keys(r.all)) }

// Application is what is kept of one as bytes; nil: nothing is. Results are large, and go with it where they are asked for.
func (r *Register) Application(name string, results bool) json.RawMessage {
	app := r.all[name]
	if app == nil {
		return nil
	}
	if !results {
		now := *app.Now
		now.Results = nil
		app = &Application{&now, app.Past}
	}
	return must(app)
}

// Snapshot is the register as bytes.
func (r *Register) Snapshot() json.RawMessage { return must(r.all) }

func must(v any) json.RawMessage {
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
	if err := json.Unmarshal(text, &r.all); err != nil {
		return nil, fmt.Errorf("changes: %w", err)
	}
	for name, app := range r.all {
		if app == nil || app.Now == nil || app.Now.State == nil {
			return nil, fmt.Errorf("changes: %s has none", name)
		}
	}
	return r, nil
}

// stateImage is a state as bytes.
type stateImage struct {
	Plan     Plan          `json:"plan"`
	Phase    Phase         `json:"phase"`
	Why      string        `json:"why,omitempty"`
	Stage    int           `json:"stage"`
	Settled  time.Duration `json:"settled,omitempty"`
	Watched  time.Duration `json:"watched,omitempty"`
	Waited   time.Duration `json:"waited,omitempty"`
	Fine     bool          `json:"fine,omitempty"`
	Evidence string        `json:"evidence,omitempty"`
	Stages   [][]string    `json:"stages"`
	Sidecars []*Sidecar    `json:"sidecars"`
	Number   uint64        `json:"number,omitempty"`
}

// MarshalJSON is all of a state.
func (s *State) MarshalJSON() ([]byte, error) {
	im := stateImage{s.Plan, s.Phase, s.Why, s.Stage, s.Settled, s.Watched, s.Waited, s.Fine, s.Evidence, s.stages, nil, s.number}
	for _, name := range s.names {
		im.Sidecars = append(im.Sidecars, s.sidecars[name])
	}
	return json.Marshal(im)
}

// UnmarshalJSON is a state that goes on as the one that was marshalled.
func (s *State) UnmarshalJSON(text []byte) error {
	var im stateImage
	if err := json.Unmarshal(text, &im); err != nil {
		return err
	}
	*s = State{Plan: im.Plan, Phase: im.Phase, Why: im.Why, Stage: im.Stage, Settled: im.Settled, Watched: im.Watched, Waited: im.Waited, Fine: im.Fine,
		Evidence: im.Evidence, stages: im.Stages, sidecars: map[string]*Sidecar{}, number: im.Number}
	for _, c := range im.Sidecars {
		s.sidecars[c.Name] = c
		s.names = append(s.names, c.Name)
	}
	if im.Phase > Stopped || im.Stage < 1 || im.Stage > len(im.Stages) || len(im.Stages) != len(im.Plan.Stages) {
		return fmt.Errorf("stage %d of %d, phase %d", im.Stage, len(im.Stages), im.Phase)
	}
	for _, stage := range im.Stages {
		for _, name := range stage {
			if s.sidecars[name] == nil {
				return fmt.Errorf("nothing of %s", name)
			}
		}
	}
	return nil
}
