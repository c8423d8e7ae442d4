package node

import (
	"time"

	"petrelhook/internal/router/gateway"
	"petrelhook/internal/router/latency"
)

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

// logMisordered logs a stream whose server sent an event that does not follow the one before it. The gateway calls it without the node's lock.
func (n *Node) logMisordered(m gateway.Misordered) {
	suppressed, ok := n.misordered.allow(n.now())
	if !ok {
		return
	}
	n.logger.Warn().Str("request", m.Request).Str("route", m.Route).Str("server", m.Server).Int("attempt", m.Attempt).
		Str("position", m.Position).Str("event", m.Event).Err(m.Err).Int("suppressed", suppressed).Msg("stream out of order")
}

// milliseconds returns a duration in milliseconds, rounded to a tenth of a millisecond for the log.
func milliseconds(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}
