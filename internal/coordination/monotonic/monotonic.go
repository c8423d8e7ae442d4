// Package monotonic reads a steady clock that nobody sets, and that counts the time for which the machine sleeps.
package monotonic

import (
	"golang.org/x/sys/unix"

	"petrelhook/internal/coordination/lease"
)

// Now returns the reading of CLOCK_BOOTTIME. Go's own monotonic readings stand still while a machine sleeps: with them a holder would
// believe in its lease after another one got it. Now is safe for concurrent use.
func Now() lease.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has this clock since 2.6.39
	}
	return lease.Instant(t.Nano())
}
