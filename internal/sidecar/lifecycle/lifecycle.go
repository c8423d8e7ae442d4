// Package lifecycle is what a sidecar is about to do with its clients: whether it is ready, sends them away, hands over to
// its next process, or ends. It is pure: events go in, and what holds then can be asked. It closes nothing and listens
// nowhere; the front's health answers, the operators' endpoint, signals and upgrades all tell this one machine and ask it,
// and nobody keeps a flag of his own.
//
// Five facts make up the state, each changed by its own events, so that no order of calls is left out:
//
//	fact        becomes true by   becomes false by
//	listed      Listed            -                  a server is known that takes requests, or was waited for long enough
//	out         Evacuate          Rejoin             operators want no clients here
//	empty       Emptied           Evacuate, Rejoin   no client is left of those that were sent away
//	succeeded   Succeeded         Deserted           the next process has the listener too
//	ending      Terminate         -                  the process finishes what it has and ends
//
// and the state's name is the first line that fits:
//
//	Stopping     ending
//	Away         out and empty
//	Evacuating   out
//	Starting     not listed, and nobody has sent clients away yet
//	Rejoining    not listed
//	HandingOver  succeeded
//	Ready        otherwise
//
// Invariants: an event that changes no fact changes nothing, so every call may come twice; nothing leads out of Stopping;
// a sidecar that is succeeded says yes to whoever asks for its health until its end, for the two processes are one sidecar.
package lifecycle

import "sync"

// State is the name of what a sidecar does.
type State uint8

// The states.
const (
	Starting State = iota
	Ready
	Evacuating
	Away
	Rejoining
	HandingOver
	Stopping
)

// String names the state, for logs and operators.
func (s State) String() string {
	return [...]string{"starting", "ready", "evacuating", "away", "rejoining", "handing over", "stopping"}[s]
}

// Event is what happens to a sidecar.
type Event uint8

// The events.
const (
	Listed    Event = iota // a server is known that takes requests, or ReadyTime has passed without one
	Evacuate               // operators want the clients to go elsewhere
	Rejoin                 // operators want them back
	Emptied                // the last client that was sent away has gone
	Succeeded              // the next process has taken the listener, and serves soon
	Deserted               // that process has gone
	Terminate              // finish and end
)

// Status is the facts at one moment. Its zero value is a sidecar that starts.
type Status struct {
	listed, out, empty, succeeded, ending bool
	returned                              bool // it was out before
}

// After is what holds after an event.
func (s Status) After(e Event) Status {
	if s.ending && e != Deserted && e != Succeeded {
		return s
	}
	switch e {
	case Listed:
		s.listed = true
	case Evacuate:
		if !s.out {
			s.out, s.empty = true, false
		}
	case Rejoin:
		s.returned = s.returned || s.out
		s.out, s.empty = false, false
	case Emptied:
		s.empty = s.out
	case Succeeded:
		s.succeeded = true
	case Deserted:
		s.succeeded = s.succeeded && s.ending // what has begun to end for a next process goes on as it began
	case Terminate:
		s.ending = true
	}
	return s
}

// State is the name of what holds.
func (s Status) State() State {
	switch {
	case s.ending:
		return Stopping
	case s.out && s.empty:
		return Away
	case s.out:
		return Evacuating
	case !s.listed && !s.returned:
		return Starting
	case !s.listed:
		return Rejoining
	case s.succeeded:
		return HandingOver
	}
	return Ready
}

// Healthy is the answer to whoever asks whether clients may come.
func (s Status) Healthy() bool { return s.listed && !s.out && (!s.ending || s.succeeded) }

// Ready is the answer to operators who ask whether this process can serve. One whose clients were sent away can: it takes
// them again when it is told to.
func (s Status) Ready() bool { return s.listed && !s.ending }

// Keeps reports whether a client's connection may be kept after an answer.
func (s Status) Keeps() bool { return !s.out && !s.ending }

// Accepts reports whether new connections are taken. Where the next process has the listener, all that come are its own
// from the moment on at which this one ends.
func (s Status) Accepts() bool { return !s.ending || !s.succeeded }

// Yields reports whether new connections are to go to whoever else listens at the address: to the next process, where the
// hand-over to it failed.
func (s Status) Yields() bool { return s.ending && !s.succeeded }

// Succeeded reports whether the next process has the listener.
func (s Status) Succeeded() bool { return s.succeeded }

// Out reports whether operators want no clients here.
func (s Status) Out() bool { return s.out }

// Machine is a Status that several goroutines tell and ask.
type Machine struct {
	mu      sync.Mutex
	status  Status
	changed chan struct{}
}

// New makes the machine of a sidecar that starts.
func New() *Machine { return &Machine{changed: make(chan struct{})} }

// Tell takes in an event and says what holds now, and whether that is anything new.
func (m *Machine) Tell(e Event) (now Status, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.status
	if m.status = before.After(e); m.status != before {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return m.status, m.status != before
}

// Now is what holds, and a channel that is closed when that is over.
func (m *Machine) Now() (Status, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status, m.changed
}

// Status is what holds.
func (m *Machine) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status
}
