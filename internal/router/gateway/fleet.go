package gateway

import "time"

// fleetHold is for how long a fleet counts as large as it was after it is told to be smaller: a control sidecar that has just
// started knows few of the others, and what each sidecar may do by itself is its part of the whole.
const fleetHold = 10 * time.Second

// fleetSize is how many sidecars there are, as far as limits that they divide are concerned.
type fleetSize struct {
	size    int
	largest int           // told since
	since   time.Duration // when it was last told to be this large
}

// set takes in what a control sidecar says, and reports whether the size changed.
func (f *fleetSize) set(told int, now time.Duration) bool {
	before := f.size
	f.largest = max(f.largest, told)
	switch {
	case told >= f.size:
		f.size, f.largest, f.since = told, 0, now
	case now-f.since > fleetHold:
		f.size, f.largest, f.since = f.largest, 0, now
	}
	return f.size != before
}
