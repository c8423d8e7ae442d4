package gateway

import "time"

// fleetShrinkDelay is how long a smaller reported fleet size is ignored. A home that has just started knows only few of the other
// routers; if its number took effect at once, each router would take too large a share of the limits that they divide.
const fleetShrinkDelay = 10 * time.Second

// fleetSize is the number of routers among which limits are divided.
type fleetSize struct {
	size        int
	largest     int           // the largest of the sizes below size that were reported since confirmedAt
	confirmedAt time.Duration // when a size of at least size was last reported, or a smaller one took effect
}

// set records a reported size, and reports whether the effective size changed.
func (f *fleetSize) set(reported int, now time.Duration) bool {
	previous := f.size
	f.largest = max(f.largest, reported)
	switch {
	case reported >= f.size:
		f.size, f.largest, f.confirmedAt = reported, 0, now
	case now-f.confirmedAt > fleetShrinkDelay:
		f.size, f.largest, f.confirmedAt = f.largest, 0, now
	}
	return f.size != previous
}
