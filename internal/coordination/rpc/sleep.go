package rpc

import (
	"context"
	"time"
)

// Sleep waits for d before the next attempt of a call. It returns false, at once, if ctx has ended or ends meanwhile.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
