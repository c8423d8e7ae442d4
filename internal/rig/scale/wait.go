package scale

import (
	"context"
	"fmt"
	"time"
)

// sleep returns after a duration, or with the cause when ctx ends.
func sleep(ctx context.Context, duration time.Duration) error {
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-t.C:
		return nil
	}
}

// pollInterval is the interval at which pollUntil calls its function.
const pollInterval = 20 * time.Millisecond

// pollUntil waits until ok returns true. what names the state in the error.
func pollUntil(ctx context.Context, what string, ok func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting until %s: %w", what, context.Cause(ctx))
		case <-ticker.C:
		}
	}
	return nil
}
