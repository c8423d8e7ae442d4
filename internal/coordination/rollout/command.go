package rollout

import (
	"errors"
	"fmt"
)

// Command is an entry of the replicated log. It begins a change, or adds events to one. The log may contain a command twice, because the
// sender repeats it if it gets no response.
//
// A driver's command states how many events of the change the driver knows (KnownEvents). If the change has had more, the command has no
// effect; so a repeated command has none either. An operator's command has token 0, is accepted at any time and may be repeated without
// harm, because pause, resume and abort name the wanted state.
type Command struct {
	Application string  `json:"application"`
	Change      string  `json:"change"`          // name of the change, chosen at random by the client that starts it
	Token       uint64  `json:"token,omitempty"` // the driver's fencing token; 0: the command is an operator's
	KnownEvents uint64  `json:"after,omitempty"`
	AtMillis    int64   `json:"at,omitempty"` // the sender's wall clock time, Unix ms; only displayed, no decision depends on it
	Start       *Start  `json:"start,omitempty"`
	Events      []Event `json:"events,omitempty"`
}

// Start has the initial data of a change: the plan, the sidecars, and the agents' reports of them when the change begins.
type Start struct {
	Plan    Plan     `json:"plan"`
	Members []Member `json:"members"`
	Reports []Report `json:"now"`
}

// Response is the result of a command.
type Response struct {
	Error      string `json:"err,omitempty"`    // the text of Err; "": the command was applied
	EventCount uint64 `json:"events,omitempty"` // how many events the change has had
	// Err is one of the errors below, for errors.Is, or an error of New; then nothing was changed. It is not sent: package fleet restores
	// it at the client.
	Err error `json:"-"`
}

// Errors of commands that callers distinguish. Drivers of earlier versions recognize ErrStaleDriver by its text, which must not change.
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

// MaxEvents is the largest number of events in one command.
const MaxEvents = 512

// The bounds of a command.
const (
	maxName    = 128
	maxMembers = 5000
)

// Check validates a command without the state. The leader refuses an invalid command before it enters the log.
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
