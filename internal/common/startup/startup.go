// Package startup decides what a starting process does about an error. A condition of its machine that may pass (an address in
// use, a locked, full or missing disk, no descriptors) is waited for: the process says so in its log, and serves once the condition has passed.
// What only an operator can correct (invalid settings, a damaged file) ends the process with one error.
//
// The rule that tells them apart: every error of the operating system passes, and every other error is final unless the caller
// says otherwise.
package startup

import (
	"context"
	"errors"
	"syscall"
	"time"
)

const (
	// firstDelay and maxDelay bound the exponential backoff between two attempts.
	firstDelay = 20 * time.Millisecond
	maxDelay   = time.Second
	// reportInterval is the time after which an error that persists is reported again.
	reportInterval = 10 * time.Second
)

// IsSystemError reports whether an error comes from the operating system.
func IsSystemError(err error) bool { return errors.As(err, new(syscall.Errno)) }

// Retry calls open until it succeeds, fails with an error for which passes returns false, or the context ends. It returns nil, that
// error, or the error of the context. report is called with the first error, with each one whose text differs from the last one, and
// with one that persists every ten seconds.
func Retry(ctx context.Context, passes func(error) bool, report func(error), open func() error) error {
	delay := firstDelay
	var reported string
	var reportedAt time.Time
	for {
		err := open()
		if err == nil || !passes(err) {
			return err
		}
		if text := err.Error(); text != reported || time.Since(reportedAt) >= reportInterval {
			report(err)
			reported, reportedAt = text, time.Now()
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
		delay = min(2*delay, maxDelay)
	}
}
