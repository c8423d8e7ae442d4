package node

import (
	"sync"
	"time"

	"petrelhook/internal/router/latency"
)

const (
	// maxMissedTargetLines bounds the log lines of requests that missed their latency target in missedTargetPeriod.
	maxMissedTargetLines = 5
	missedTargetPeriod   = time.Second
)

// missedTargetLog bounds the log lines about requests that missed their latency target. It has a lock of its own, since
// gateways call it for each such request.
type missedTargetLog struct {
	mutex       sync.Mutex
	periodStart time.Duration
	lines       int // in this period
	suppressed  int // requests without a line since the last line
}

// allow reports whether a line may be written now, and how many were suppressed since the last one.
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

// logMissedTarget logs a request that missed its latency target, with what it waited for. The gateway calls it without
// the node's lock.
func (n *Node) logMissedTarget(route string, t *latency.Trace, reason latency.Reason) {
	if reason == latency.RefusedLimit {
		return // one tenant alone would use up all lines; the status counts them
	}
	suppressed, ok := n.missedTargets.allow(n.now())
	if !ok {
		return
	}
	line := n.logger.Info().Str("route", route).Str("reason", string(reason)).Str("server", t.Server).Int("attempts", t.Attempts).
		Float64("first_ms", milliseconds(t.TimeToFirstByte)).Float64("pause_ms", milliseconds(t.MaxGap))
	for phase, spent := range t.PhaseTimes {
		if spent >= time.Millisecond {
			line = line.Float64(latency.Phase(phase).String()+"_ms", milliseconds(spent))
		}
	}
	line.Int("suppressed", suppressed).Msg("latency target missed")
}

// milliseconds is a duration as it is logged, to a tenth of a millisecond.
func milliseconds(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}
