// Package lifecycle is the state of a sidecar process as its clients and operators see it: starting, ready, evacuating its clients,
// handing over to its successor process, or stopping. It is pure: events go in, and the resulting status can be read. It closes no
// connection and opens no listener. Health checks, the operators' endpoint, signals and upgrades all use this one state machine; no
// other component keeps a flag of its own.
//
// The status consists of five facts, each changed by its own events, so every order of events has a defined result:
//
//	fact                  becomes true by   becomes false by
//	serversKnown          ServersKnown      -                  a server that accepts requests is known, or MaxStartWait has passed
//	evacuationRequested   Evacuate          Rejoin             operators want no clients at this sidecar
//	evacuationDone        EvacuationDone    Evacuate, Rejoin   no evacuated client is left
//	hasSuccessor          Succeeded         SuccessorLost (1)  the successor process has the listener too
//	terminating           Terminate         -                  the process finishes its requests and ends
//
// (1) Not while terminating: a process that ends in favour of a successor goes on as it began.
//
// The state is the first line that applies:
//
//	Stopping     terminating
//	Evacuated    evacuationRequested and evacuationDone
//	Evacuating   evacuationRequested
//	Starting     not serversKnown, and no evacuation was requested before
//	Rejoining    not serversKnown
//	HandingOver  hasSuccessor
//	Ready        otherwise
//
// Invariants: an event that changes no fact has no effect, so every event may occur twice; nothing leads out of Stopping; a sidecar
// with a successor is healthy until it ends, because the two processes are one sidecar to its clients.
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
	ServersKnown   Event = iota // a server that accepts requests is known, or MaxStartWait has passed without one
	Evacuate                    // operators want the clients to use other sidecars
	Rejoin                      // operators want the clients back
	EvacuationDone              // the last evacuated client has closed its connection
	Succeeded                   // the successor process has the listener, and serves soon
	SuccessorLost               // the successor process has ended
	Terminate                   // finish the requests in progress, then end
)

// Status is the five facts at one moment, an immutable value. The zero value is a sidecar that starts.
type Status struct {
	serversKnown, evacuationRequested, evacuationDone, hasSuccessor, terminating bool
	rejoined                                                                     bool // an evacuation was taken back before
}

// After returns the status after an event.
func (s Status) After(e Event) Status {
	if s.terminating && e != SuccessorLost && e != Succeeded {
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
	case Succeeded:
		s.hasSuccessor = true
	case SuccessorLost:
		s.hasSuccessor = s.hasSuccessor && s.terminating // a process that terminates in favour of a successor goes on as it began
	case Terminate:
		s.terminating = true
	}
	return s
}

// State returns the state that the facts amount to.
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

// Healthy is the answer to health checks: whether clients may connect.
func (s Status) Healthy() bool {
	return s.serversKnown && !s.evacuationRequested && (!s.terminating || s.hasSuccessor)
}

// Ready is the answer to operators: whether this process can serve. One whose clients were evacuated can, because it accepts them
// again when it is told to rejoin.
func (s Status) Ready() bool { return s.serversKnown && !s.terminating }

// KeepsConnections reports whether a client's connection may stay open after a response.
func (s Status) KeepsConnections() bool { return !s.evacuationRequested && !s.terminating }

// Accepts reports whether new connections are accepted. Where a successor has the listener too, it accepts all new ones as soon as
// this process terminates.
func (s Status) Accepts() bool { return !s.terminating || !s.hasSuccessor }

// YieldsListener reports whether new connections should go to any other process that listens at the address: to a successor to which
// the hand-over failed.
func (s Status) YieldsListener() bool { return s.terminating && !s.hasSuccessor }

// HasSuccessor reports whether the successor process has the listener.
func (s Status) HasSuccessor() bool { return s.hasSuccessor }

// EvacuationRequested reports whether operators want no clients at this sidecar.
func (s Status) EvacuationRequested() bool { return s.evacuationRequested }

// Machine is a Status that several goroutines may change and read.
type Machine struct {
	mu      sync.Mutex
	status  Status
	changed chan struct{}
}

// New returns the state machine of a sidecar that starts.
func New() *Machine { return &Machine{changed: make(chan struct{})} }

// Apply applies an event. It returns the status after it, and whether that differs from the one before.
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

// Watch returns the status, and a channel that is closed at its next change.
func (m *Machine) Watch() (Status, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status, m.changed
}

// Status returns the present status.
func (m *Machine) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status
}
