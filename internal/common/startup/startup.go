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
	"fmt"
	"syscall"
	"time"
)

const (
	// firstDelay and maxDelay bound the exponential backoff between two attempts.
	firstDelay = 20 * time.Millisecond
	maxDelay   = time.Second
	// reportInterval is the time after which an error that persists is reported again.
	reportInterval = 10 * time.Second
	// slowTime is the time after which an attempt that has not ended is reported. It is longer than waits for a lock.
	slowTime = 3 * time.Second
)

// IsSystemError reports whether an error comes from the operating system.
func IsSystemError(err error) bool { return errors.As(err, new(syscall.Errno)) }

// errSlow is reported for an attempt that has not ended after slowTime.
var errSlow = fmt.Errorf("an attempt has not ended after %v: a disk may hang", slowTime)

// Retry calls open until it succeeds, fails with an error for which passes returns false, or the context ends. It returns nil, that
// error, or the error of the context; in the last case a call of open may still go on, and the process has to end. report is called with
// the first error, with each one whose text differs from the last one, and with one that persists every ten seconds; a call that has
// not ended after some seconds counts as an error. open is called on goroutines of Retry, one at a time.
func Retry(ctx context.Context, passes func(error) bool, report func(error), open func() error) error {
	reports := reporter{report: report}
	delay := firstDelay
	for {
		err := reports.await(ctx, open)
		if err == nil || ctx.Err() != nil || !passes(err) {
			return err
		}
		reports.add(err)
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

// reporter reports errors, the same one not too often.
type reporter struct {
	report func(error)
	last   string // text of the last error reported
	lastAt time.Time
}

// add reports an error, unless it was reported less than reportInterval ago.
func (r *reporter) add(err error) {
	if text := err.Error(); text != r.last || time.Since(r.lastAt) >= reportInterval {
		r.report(err)
		r.last, r.lastAt = text, time.Now()
	}
}

// await calls open and returns its result, or the error of the context if that ends before. It reports a call that is slow.
func (r *reporter) await(ctx context.Context, open func() error) error {
	result := make(chan error, 1)
	go func() { result <- open() }()
	slow := time.NewTicker(slowTime)
	defer slow.Stop()
	for {
		select {
		case err := <-result:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-slow.C:
			r.add(errSlow)
		}
	}
}
