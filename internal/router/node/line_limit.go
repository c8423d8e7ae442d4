package node

import (
	"sync"
	"time"
)

const (
	// maxLimitedLines bounds the log lines of one lineLimit per limitedLinesPeriod.
	maxLimitedLines    = 5
	limitedLinesPeriod = time.Second
)

// lineLimit limits the rate of log lines about single requests. It has a mutex of its own and may be used from any goroutine, since the
// gateway reports requests without the node's lock.
type lineLimit struct {
	mutex       sync.Mutex
	periodStart time.Duration
	lines       int // in this period
	suppressed  int // requests not logged since the last line
}

// allow reports whether a line may be written now and, if so, how many were suppressed since the last one.
func (l *lineLimit) allow(now time.Duration) (suppressed int, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now-l.periodStart >= limitedLinesPeriod {
		l.periodStart, l.lines = now, 0
	}
	if l.lines >= maxLimitedLines {
		l.suppressed++
		return 0, false
	}
	l.lines++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}
