package node

import (
	"sync"
	"time"

	"petrelhook/internal/router/latency"
)

const (
	// maxMissedTargetLines bounds the log lines per missedTargetPeriod about requests that missed their latency target.
	maxMissedTargetLines = 5
	missedTargetPeriod   = time.Second
)

// missedTargetLog limits the rate of log lines about requests that missed their latency target. It has a mutex of its
// own and may be used from any goroutine, since the gateway calls logMissedTarget for each such request.
type missedTargetLog struct {
	mutex       sync.Mutex
	periodStart time.Duration
	lines       int // in this period
	suppressed  int // requests not logged since the last line
}

// allow reports whether a line may be written now and, if so, how many were suppressed since the last one.
func (l *missedTargetLog) allow(now time.Duration) (suppressed int, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now-l.periodStart >= missedTargetPeriod {
		l.periodStart, l.lines = now, 0
	}
	if l.lines >= maxMissedTargetLines {
		l.suppressed++
		return 0, false
	}
	l.lines++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}

// logMissedTarget logs a request that missed its latency target, with the time that it spent in each phase. The gateway
// calls it without the node's lock.
func (n *Node) logMissedTarget(route string, t *latency.Trace, reason latency.Reason) {
	if reason == latency.RefusedLimit {
		return // a single tenant could use up all lines; the status counts these requests
	}
	suppressed, ok := n.missedTargets.allow(n.now())
	if !ok {
		return
	}
	entry := n.logger.Info().Str("route", route).Str("reason", string(reason)).Str("server", t.Server).Int("attempts", t.Attempts).
		Float64("first_ms", milliseconds(t.TimeToFirstByte)).Float64("pause_ms", milliseconds(t.MaxGap))
	for phase, spent := range t.PhaseTimes {
		if spent >= time.Millisecond {
			entry = entry.Float64(latency.Phase(phase).String()+"_ms", milliseconds(spent))
		}
	}
	entry.Int("suppressed", suppressed).Msg("latency target missed")
}

// milliseconds returns a duration in milliseconds, rounded to a tenth of a millisecond for the log.
func milliseconds(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}
