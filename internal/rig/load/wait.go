package load

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

// nanosleepTime is how long before the end of a wait the timer, which fires up to a millisecond late on an idle machine, is replaced by
// the kernel's nanosleep.
const nanosleepTime = 2 * time.Millisecond

// WaitPrecisely waits until a time, or for ctx, with a precision of some tens of microseconds. It is for real time only. It blocks the
// caller's thread for the last two milliseconds, in which ctx does not interrupt it.
func WaitPrecisely(ctx context.Context, until time.Time) {
	if time.Until(until) > nanosleepTime {
		waitForTimer(ctx, until.Add(-nanosleepTime))
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for left := time.Until(until); left > 0 && ctx.Err() == nil; left = time.Until(until) {
		ts := syscall.NsecToTimespec(int64(left))
		_ = syscall.Nanosleep(&ts, nil) // a signal ends it early
	}
}
