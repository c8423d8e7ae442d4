package outlier

import "time"

const (
	initialEjection   = 3 * time.Second // doubled for each repetition within repetitionWindow
	maxEjection       = 12 * time.Second
	ejectionExtension = time.Second      // extension of an ejection while trials fail
	repetitionWindow  = 30 * time.Second // time after the end of an ejection during which the next one is a repetition
)

// Ejection tells routers that a server gets only trial requests. Homes send the complete list of ejections to their
// routers, where it replaces the previous list.
type Ejection struct {
	Server string
	Trial  float64 // probability that a request of the service is a trial at this server
}

// ejection is the state of a server's current ejection, and the history that determines the length of the next one.
type ejection struct {
	active      bool
	earliestEnd time.Duration
	endedAt     time.Duration // end of the last ejection
	repetitions int           // consecutive ejections, each within repetitionWindow of the one before
}

func (e *ejection) begin(now time.Duration) {
	if e.repetitions > 0 && now-e.endedAt > repetitionWindow {
		e.repetitions = 0
	}
	const maxDoublings = 4 // more would exceed maxEjection by far
	e.active, e.earliestEnd = true, now+min(maxEjection, initialEjection<<min(e.repetitions, maxDoublings))
	e.repetitions++
}

// reviewTrials ends an ejection after earliestEnd, or extends it if trials are failing.
func (e *ejection) reviewTrials(failing bool, now time.Duration) {
	switch {
	case now < e.earliestEnd:
	case failing:
		e.earliestEnd = now + ejectionExtension
	default:
		e.end(now)
	}
}

func (e *ejection) end(now time.Duration) { e.active, e.endedAt = false, now }
