package eventstream

import (
	"errors"
	"strconv"
)

// The errors of Sequence.Accept.
var (
	ErrNotRising  = errors.New("an event's id is not above the one before")
	ErrGap        = errors.New("a server went on after a later event than the last one sent")
	ErrUnverified = errors.New("a server went on with an event that has no number as its id")
)

// Sequence checks that the events of one response, which may come from several servers one after the other, are those of one stream: their
// ids are whole numbers that rise, and a server that continues the stream goes on after the last event sent. Events without such an id are
// accepted from the first server, and the stream cannot be continued after them. The zero value is a response without events.
//
// A Sequence may be used by one goroutine at a time.
type Sequence struct {
	position   uint64 // the id of the last event, as a number
	id         string // the same as it was sent
	positioned bool   // they are known
	firstStep  uint64 // from 0, or from the client's position, to the first event; 0: there is none
	maxStep    uint64 // the largest difference between the ids of two events of one server; 0: there were no two
	uncovered  bool   // an event with data but without a number was sent after position
	continued  bool   // the next event is the first of a server that was asked to go on after position
}

// StartAfter sets the position after which the client asked for events, the value of its Last-Event-Id. One that is no number is ignored. It is
// called before the first event.
func (s *Sequence) StartAfter(lastEventID string) {
	position, err := strconv.ParseUint(lastEventID, 10, 64)
	s.position, s.id, s.positioned = position, lastEventID, err == nil
}

// Continue says that the next event comes from another server, which was asked to go on after the last event.
func (s *Sequence) Continue() { s.continued = s.positioned }

// Position returns the id after which another server has to go on; ok is false where it is not known.
func (s *Sequence) Position() (id string, ok bool) {
	if !s.positioned {
		return "", false
	}
	return s.id, true
}

// CanContinue reports whether another server can go on without sending an event twice.
func (s *Sequence) CanContinue() bool { return !s.uncovered }

// Accept checks the next event, before it is sent. After an error the event must not be sent, and the position is the one before it.
func (s *Sequence) Accept(e Event) error {
	number, err := strconv.ParseUint(e.ID, 10, 64)
	if err != nil {
		return s.acceptUnnumbered(e)
	}
	if s.positioned && number <= s.position {
		return ErrNotRising
	}
	step := number - s.position
	switch {
	case s.continued && s.largestStep() > 0 && step > s.largestStep():
		return ErrGap
	case s.continued: // its step says nothing: events may be missing
	case s.firstStep == 0:
		s.firstStep = step
	default:
		s.maxStep = max(s.maxStep, step)
	}
	s.position, s.id, s.positioned = number, e.ID, true
	s.uncovered, s.continued = false, false
	return nil
}

// acceptUnnumbered checks an event whose id is no number, or that has none.
func (s *Sequence) acceptUnnumbered(e Event) error {
	if !e.HasData && e.ID == "" {
		return nil // a comment
	}
	if s.continued {
		return ErrUnverified
	}
	s.uncovered = true
	return nil
}

// largestStep returns the largest difference between the ids of two events that follow each other; 0 if it is not known.
func (s *Sequence) largestStep() uint64 {
	if s.maxStep > 0 {
		return s.maxStep
	}
	return s.firstStep
}
