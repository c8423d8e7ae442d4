package outlier

import (
	"math"
	"time"
)

// Report is a message from a router to its home: what it sent to servers since its last report, Sent[i] requests to
// Servers[i], of which Failed[i] failed.
type Report struct {
	Servers      []string
	Sent, Failed []uint16
}

// Count is a number of attempts, and how many of them failed.
type Count struct{ Sent, Failed float64 }

func (c *Count) add(other Count) {
	c.Sent += other.Sent
	c.Failed += other.Failed
}

func (c Count) failureRatio() float64 {
	if c.Sent <= 0 {
		return 0
	}
	return c.Failed / c.Sent
}

// Sum is a message between homes: what one knows of a server from its own reporters, as of now. The receiver replaces
// the sender's sum before.
type Sum struct {
	Server string
	All    Count
	Worst  Count // of the reporter that saw the most failures
}

// fails reports whether a server fails more than a limit allows, also without the reporter that saw the most failures.
func (s *Sum) fails(limit float64) bool {
	others := Count{s.All.Sent - s.Worst.Sent, s.All.Failed - s.Worst.Failed}
	return s.All.Failed >= minFailures && s.All.failureRatio() >= limit &&
		others.Failed >= minFailures/3 && others.failureRatio() >= limit/2
}

// decayTimeConstant is the time constant with which attempts are forgotten.
const decayTimeConstant = 2 * time.Second

// minSends is the number of attempts below which a count is dropped.
const minSends = 0.05

// decayingCount is a count of attempts that decays exponentially, as of updatedAt.
type decayingCount struct {
	sent, failed float64
	updatedAt    time.Duration
}

func (c *decayingCount) decay(now time.Duration) {
	factor := math.Exp(-float64(now-c.updatedAt) / float64(decayTimeConstant))
	c.sent, c.failed, c.updatedAt = c.sent*factor, c.failed*factor, now
}

func (c *decayingCount) add(sent, failed float64, now time.Duration) {
	c.decay(now)
	c.sent += sent
	c.failed += failed
}
