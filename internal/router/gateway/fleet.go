package gateway

import "time"

// fleetShrinkDelay is the time for which reports of a smaller fleet size are ignored. A home, which is a core member that serves
// other routers, knows only few routers when it has just started. If the size that it reports took effect at once, each router
// would take too large a share of the limits that the routers divide.
const fleetShrinkDelay = 10 * time.Second

// fleetSize is the number of routers among which limits are divided.
type fleetSize struct {
	size        int
	largest     int           // the largest size reported since confirmedAt, or 0; it is below size
	confirmedAt time.Duration // when size was last set, or reported again
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
