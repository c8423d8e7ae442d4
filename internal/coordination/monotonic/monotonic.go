// Package monotonic is a clock that nobody sets, and that counts the time for which the machine sleeps.
package monotonic

import (
	"golang.org/x/sys/unix"

	"petrelhook/internal/coordination/lease"
)

// Now is CLOCK_BOOTTIME. Go's own readings stand still while a machine sleeps: its holder would believe too long.
func Now() lease.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has it since 2.6.39
	}
	return lease.Instant(t.Nano())
}
