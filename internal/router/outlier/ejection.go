package outlier

import "time"

const (
	initialEjection   = 3 * time.Second // doubled with each ejection that follows within repetitionWindow
	maxEjection       = 12 * time.Second
	ejectionExtension = time.Second      // while trials fail
	repetitionWindow  = 30 * time.Second // after an ejection's end, in which another one counts as its repetition
)

// Ejection says that a server gets no requests but trials. Homes send the list of them to their routers; it replaces
// the one before.
type Ejection struct {
	Server string
	Trial  float64 // probability with which a request of the service is a trial there
}

// ejection is a server's present and past ejections.
type ejection struct {
	active      bool
	earliestEnd time.Duration
	endedAt     time.Duration // of the last one
	repetitions int           // that followed one another within repetitionWindow
}

func (e *ejection) begin(now time.Duration) {
	if e.repetitions > 0 && now-e.endedAt > repetitionWindow {
		e.repetitions = 0
	}
	const maxDoublings = 4 // more would exceed maxEjection by far
	e.active, e.earliestEnd = true, now+min(maxEjection, initialEjection<<min(e.repetitions, maxDoublings))
	e.repetitions++
}

// reviewTrials ends an ejection whose time has passed, or extends it while trials fail.
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
