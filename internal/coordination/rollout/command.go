package rollout

import (
	"errors"
	"fmt"
)

// Command is an entry of the replicated log: it begins a change, or adds events to one. It may come twice, because its sender does not
// always get the response.
//
// A driver's command names the number of events that the driver knows of. If the change has had others the command has no effect, and so
// none when it is repeated. An operator's command, with token 0, is accepted at any time and may be repeated without harm: pause, resume
// and abort say what state is wanted.
type Command struct {
	Application string  `json:"application"`
	Change      string  `json:"change"`          // its name, drawn at random by whoever starts it
	Token       uint64  `json:"token,omitempty"` // the driver's fencing token
	KnownEvents uint64  `json:"after,omitempty"`
	AtMillis    int64   `json:"at,omitempty"` // the sender's calendar time, Unix ms, for people; nothing is decided by it
	Start       *Start  `json:"start,omitempty"`
	Events      []Event `json:"events,omitempty"`
}

// Start is what a change begins with.
type Start struct {
	Plan    Plan     `json:"plan"`
	Members []Member `json:"members"`
	Reports []Report `json:"now"`
}

// Response is the result of a command.
type Response struct {
	Error      string `json:"err,omitempty"`    // the text of one of the errors below, or of New; then nothing was changed
	EventCount uint64 `json:"events,omitempty"` // how many events the change has had
	// Err is the error whose text Error is, for errors.Is; nil: there is none. It is not sent: package fleet sets it again at the client.
	Err error `json:"-"`
}

// The errors of commands that callers tell apart. Drivers of earlier versions recognize ErrStaleDriver by its text, which must not change.
var (
	ErrNoChange    = errors.New("there is no such change")
	ErrStaleDriver = errors.New("a newer driver was heard")
	ErrOtherEvents = errors.New("there were other events meanwhile")
)

// Errors of Command.Check.
var (
	errStartOrEvents = errors.New("write a start, or events")
	errWrongSender   = errors.New("operators pause, resume and abort, without a token; all else is a driver's, with one")
)

// MaxEvents is how many events one command may have.
const MaxEvents = 512

// The bounds of a command.
const (
	maxName    = 128
	maxMembers = 5000
)

// Check says what is wrong with a command by itself. The leader refuses such a command before it enters the log.
func (c *Command) Check() error {
	switch {
	case c.Application == "" || len(c.Application) > maxName:
		return fmt.Errorf("application: %q; write a name of 1 to %d bytes", c.Application, maxName)
	case c.Change == "" || len(c.Change) > maxName:
		return fmt.Errorf("change: %q; write a name of 1 to %d bytes", c.Change, maxName)
	case (c.Start == nil) == (len(c.Events) == 0):
		return errStartOrEvents
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
			return errWrongSender
		}
	}
	return nil
}
