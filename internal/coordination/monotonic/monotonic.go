// Package monotonic reads the clock that measures leases. The clock is never set, and it includes the time during which the
// machine is suspended.
package monotonic

import (
	"golang.org/x/sys/unix"

	"petrelhook/internal/coordination/lease"
)

// Now returns the reading of CLOCK_BOOTTIME, in nanoseconds since the machine booted. Go's monotonic clock stops while the
// machine is suspended: by it a holder would consider its lease valid after another holder has acquired it. Now is safe for
// concurrent use.
func Now() lease.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has had this clock since 2.6.39
	}
	return lease.Instant(t.Nano())
}
