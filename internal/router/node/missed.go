package node

import (
	"sync"
	"time"

	"petrelhook/internal/router/latency"
)

const (
	missedLines = 5 // log lines in missedEvery, at the most
	missedEvery = time.Second
)

// missedLog writes a line for requests that missed their objective: some in a second, and how many more there were.
type missedLog struct {
	mutex   sync.Mutex
	since   time.Duration
	lines   int
	dropped int
}

// take reports whether a line may be written now, and how many were not since the last one.
func (m *missedLog) take(now time.Duration) (dropped int, ok bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if now-m.since >= missedEvery {
		m.since, m.lines = now, 0
	}
	if m.lines >= missedLines {
		m.dropped++
		return 0, false
	}
	m.lines++
	dropped, m.dropped = m.dropped, 0
	return dropped, true
}

// missed logs a request that missed its objective, with what it waited for.
func (n *Node) missed(route string, t *latency.Trace, why latency.Reason) {
	if why == latency.RefusedLimit {
		return // one tenant alone would take all lines; the counts tell of it
	}
	dropped, ok := n.missedLog.take(n.now())
	if !ok {
		return
	}
	line := n.logger.Info().Str("route", route).Str("why", string(why)).Str("server", t.Server).Int("sends", t.Attempts).
		Float64("first_ms", milliseconds(t.TimeToFirstByte)).Float64("pause_ms", milliseconds(t.MaxGap))
	for phase, spent := range t.PhaseTimes {
		if spent >= time.Millisecond {
			line = line.Float64(latency.Phase(phase).String()+"_ms", milliseconds(spent))
		}
	}
	line.Int("more", dropped).Msg("missed")
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}
