package load

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

// preciseAhead is how long before a time the waiting changes from a timer, which fires up to a millisecond late on an
// idle machine, to the kernel's nanosleep.
const preciseAhead = 2 * time.Millisecond

// WaitPrecisely waits until a time to some tens of microseconds. It is for real time only, and for a caller with a
// thread of its own: the last two milliseconds are not interrupted.
func WaitPrecisely(ctx context.Context, until time.Time) {
	if time.Until(until) > preciseAhead {
		waitForTimer(ctx, until.Add(-preciseAhead))
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for left := time.Until(until); left > 0 && ctx.Err() == nil; left = time.Until(until) {
		ts := syscall.NsecToTimespec(int64(left))
		_ = syscall.Nanosleep(&ts, nil) // a signal ends it early
	}
}
