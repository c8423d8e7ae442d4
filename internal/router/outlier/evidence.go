package outlier

import (
	"math"
	"time"
)

// Report is the message in which a router reports the attempts since its last report to its home: Sent[i] requests were
// sent to Servers[i], and Failed[i] of them failed.
type Report struct {
	Servers      []string
	Sent, Failed []uint16
}

// Count is a number of attempts, and the number of failed ones among them.
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

// Sum is the message in which a home sends the other homes the evidence of its own reporters on a server. It replaces the
// previous Sum of the same sender and server.
type Sum struct {
	Server string
	All    Count // of all reporters
	Worst  Count // of the reporter that saw the most failures
}

// fails reports whether a server's failure ratio reaches a limit on enough evidence, and at least half the limit without
// the reporter that saw the most failures.
func (s *Sum) fails(limit float64) bool {
	others := Count{s.All.Sent - s.Worst.Sent, s.All.Failed - s.Worst.Failed}
	return s.All.Failed >= minFailures && s.All.failureRatio() >= limit &&
		others.Failed >= minFailures/3 && others.failureRatio() >= limit/2
}

// decayTimeConstant is the time constant of the exponential decay of counts.
const decayTimeConstant = 2 * time.Second

// minSends is the number of attempts below which a count is removed.
const minSends = 0.05

// decayingCount is an exponentially decaying count of attempts, as of updatedAt.
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
