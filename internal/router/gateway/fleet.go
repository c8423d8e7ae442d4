package gateway

import "time"

// fleetShrinkDelay is how long a fleet counts as large as it was after a smaller size was reported: a home that has
// just started knows few of the other routers, and what each router may do by itself is its part of the total.
const fleetShrinkDelay = 10 * time.Second

// fleetSize is the number of routers for the limits that they divide among themselves.
type fleetSize struct {
	size        int
	largest     int           // reported since confirmedAt, of the smaller ones
	confirmedAt time.Duration // when size was last reported, or adopted
}

// set records a reported size, and returns whether the size changed.
func (f *fleetSize) set(reported int, now time.Duration) bool {
	before := f.size
	f.largest = max(f.largest, reported)
	switch {
	case reported >= f.size:
		f.size, f.largest, f.confirmedAt = reported, 0, now
	case now-f.confirmedAt > fleetShrinkDelay:
		f.size, f.largest, f.confirmedAt = f.largest, 0, now
	}
	return f.size != before
}
