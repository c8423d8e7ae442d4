// Package lifecycle holds the state machine of a sidecar process as its clients and operators see it: starting, ready, evacuating
// its clients, handing over to its successor process, or stopping. It has no side effects: events are applied, and the resulting
// status is read. It closes no connection and opens no listener. Health checks, the admin endpoint, signals and upgrades all use
// this state machine; no other component keeps a flag of its own.
//
// The status consists of five facts, each changed by its own events, so every order of events has a defined result:
//
//	fact                  becomes true by   becomes false by
//	serversKnown          ServersKnown      -                  a server that accepts requests is known, or MaxStartWait has passed
//	evacuationRequested   Evacuate          Rejoin             operators want no clients at this sidecar
//	evacuationDone        EvacuationDone    Evacuate, Rejoin   no evacuated client is left
//	hasSuccessor          SuccessorStarted  SuccessorLost (1)  the successor process has the listener too
//	terminating           Terminate         -                  the process finishes its requests and ends
//
// (1) Not while terminating: a process that terminates in favour of a successor does not accept connections again.
//
// The state is given by the first line that applies:
//
//	Stopping     terminating
//	Evacuated    evacuationRequested and evacuationDone
//	Evacuating   evacuationRequested
//	Starting     not serversKnown, and no evacuation was requested before
//	Rejoining    not serversKnown
//	HandingOver  hasSuccessor
//	Ready        otherwise
//
// Invariants: an event that changes no fact has no effect, so every event may be applied twice; Stopping is final; a sidecar with
// a successor stays healthy until it ends, because to its clients the two processes are one sidecar.
package lifecycle

import "sync"

// State is the state of a sidecar.
type State uint8

// The states.
const (
	Starting State = iota
	Ready
	Evacuating
	Evacuated
	Rejoining
	HandingOver
	Stopping
)

// String returns the name of the state in logs and in answers to operators.
func (s State) String() string {
	return [...]string{"starting", "ready", "evacuating", "away", "rejoining", "handing over", "stopping"}[s]
}

// Event changes the status of a sidecar.
type Event uint8

// The events.
const (
	ServersKnown     Event = iota // a server that accepts requests is known, or MaxStartWait has passed without one
	Evacuate                      // an operator wants the clients to use other sidecars
	Rejoin                        // an operator wants the clients back
	EvacuationDone                // the last connection of an evacuated client has been closed
	SuccessorStarted              // the successor process has the listener, and will serve soon
	SuccessorLost                 // the successor process has ended
	Terminate                     // the process has to finish the requests in progress, then end
)

// Status holds the five facts at one moment. It is an immutable value; the zero value is the status of a sidecar that starts.
type Status struct {
	serversKnown, evacuationRequested, evacuationDone, hasSuccessor, terminating bool
	rejoined                                                                     bool // an evacuation was ended by Rejoin before
}

// After returns the status after an event.
func (s Status) After(e Event) Status {
	if s.terminating && e != SuccessorLost && e != SuccessorStarted {
		return s
	}
	switch e {
	case ServersKnown:
		s.serversKnown = true
	case Evacuate:
		if !s.evacuationRequested {
			s.evacuationRequested, s.evacuationDone = true, false
		}
	case Rejoin:
		s.rejoined = s.rejoined || s.evacuationRequested
		s.evacuationRequested, s.evacuationDone = false, false
	case EvacuationDone:
		s.evacuationDone = s.evacuationRequested
	case SuccessorStarted:
		s.hasSuccessor = true
	case SuccessorLost:
		s.hasSuccessor = s.hasSuccessor && s.terminating // a terminating process does not accept connections again
	case Terminate:
		s.terminating = true
	}
	return s
}

// State returns the state that follows from the facts.
func (s Status) State() State {
	switch {
	case s.terminating:
		return Stopping
	case s.evacuationRequested && s.evacuationDone:
		return Evacuated
	case s.evacuationRequested:
		return Evacuating
	case !s.serversKnown && !s.rejoined:
		return Starting
	case !s.serversKnown:
		return Rejoining
	case s.hasSuccessor:
		return HandingOver
	}
	return Ready
}

// Healthy reports whether clients may connect. Health checks are answered with it.
func (s Status) Healthy() bool {
	return s.serversKnown && !s.evacuationRequested && (!s.terminating || s.hasSuccessor)
}

// Ready reports whether this process can serve. It is the answer to operators. A process whose clients were evacuated is ready
// too, because it accepts them again as soon as it is told to rejoin.
func (s Status) Ready() bool { return s.serversKnown && !s.terminating }

// KeepsConnections reports whether a client's connection may stay open after a response.
func (s Status) KeepsConnections() bool { return !s.evacuationRequested && !s.terminating }

// Accepts reports whether this process accepts new connections. If a successor has the listener too, the successor alone accepts
// new connections once this process is terminating.
func (s Status) Accepts() bool { return !s.terminating || !s.hasSuccessor }

// YieldsListener reports whether new connections should go to another process that listens at the same address, if there is one.
// That is a successor whose hand-over failed, so that it opened a listener of its own.
func (s Status) YieldsListener() bool { return s.terminating && !s.hasSuccessor }

// HasSuccessor reports whether the successor process has the listener.
func (s Status) HasSuccessor() bool { return s.hasSuccessor }

// EvacuationRequested reports whether operators want no clients at this sidecar.
func (s Status) EvacuationRequested() bool { return s.evacuationRequested }

// Machine holds the current Status. It is safe for concurrent use.
type Machine struct {
	mu      sync.Mutex
	status  Status
	changed chan struct{}
}

// New returns the state machine of a sidecar that starts.
func New() *Machine { return &Machine{changed: make(chan struct{})} }

// Apply applies an event. It returns the status after the event, and whether the event changed it.
func (m *Machine) Apply(e Event) (now Status, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.status
	if m.status = before.After(e); m.status != before {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return m.status, m.status != before
}

// Watch returns the current status, and a channel that is closed at the next change.
func (m *Machine) Watch() (Status, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status, m.changed
}

// Status returns the current status.
func (m *Machine) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status
}
