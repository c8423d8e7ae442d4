// Package monotonic reads the clock by which leases are measured: it is never set, and it includes the time for which the machine sleeps.
package monotonic

import (
	"golang.org/x/sys/unix"

	"petrelhook/internal/coordination/lease"
)

// Now returns the reading of CLOCK_BOOTTIME, in nanoseconds since the machine was started. Go's own monotonic clock stops while a
// machine sleeps: with them a holder would believe in its lease after another one got it. Now is safe for concurrent use.
func Now() lease.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has this clock since 2.6.39
	}
	return lease.Instant(t.Nano())
}
