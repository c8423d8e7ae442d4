package balance

import "math"

// withDefaults replaces impossible numbers: negative, infinite or not a number counts as not given. Defaults:
// the latency target is the deadline, or the reverse, or both a second; a key's window has no end; one
// attempt; one sidecar; a server starts with all its capacity; the goal is the overall result.
func (c Config) withDefaults() Config {
	c.Classes = append([]Class(nil), c.Classes...)
	for i := range c.Classes {
		class := &c.Classes[i]
		zeroUnlessFinite(&class.LatencyTarget, &class.LatencyTargetStretch, &class.Deadline)
		zeroUnlessFinite(&class.Value, &class.LateValue)
		switch {
		case class.Deadline == 0 && class.LatencyTarget == 0:
			class.Deadline, class.LatencyTarget = 1000, 1000
		case class.Deadline == 0:
			class.Deadline = class.LatencyTarget
		case class.LatencyTarget == 0:
			class.LatencyTarget = class.Deadline
		}
		if !(class.Window >= 0) {
			class.Window = math.Inf(1)
		}
	}
	c.Tenants = append([]Tenant(nil), c.Tenants...)
	for i := range c.Tenants {
		zeroUnlessFinite(&c.Tenants[i].Allowance, &c.Tenants[i].Share)
	}
	zeroUnlessFinite(&c.OverShareValue, &c.BatchInterval, &c.MaxRetryAfter, &c.ConnectTimeout, &c.DrainGrace,
		&c.SlowStartTime, &c.OverloadMultiple, &c.OverloadTime, &c.MaxPollInterval, &c.AnswerSlack)
	zeroUnlessFinite(&c.Goal.Overall, &c.Goal.WorstWindow, &c.Goal.WorstClass, &c.Goal.WorstTenant)
	p := &c.Penalties
	zeroUnlessFinite(&p.CrossZone, &p.Waste, &p.Handshake, &p.Probe, &p.PeerMessage, &p.LateFailure)
	if !(c.SlowStartFraction >= 0 && c.SlowStartFraction <= 1) {
		c.SlowStartFraction = 1
	}
	if c.Goal == (Goal{}) {
		c.Goal.Overall = 1
	}
	c.MaxAttempts = max(c.MaxAttempts, 1)
	c.SidecarCount, c.SidecarNumber = max(c.SidecarCount, 1), max(c.SidecarNumber, 0)
	return c
}

// zeroUnlessFinite sets to zero what is no finite number of at least zero.
func zeroUnlessFinite(values ...*float64) {
	for _, v := range values {
		if *v = finite(*v, math.Inf(1)); math.IsInf(*v, 1) {
			*v = 0
		}
	}
}

// finite returns v, at most the given bound, and 0 for what is negative or not a number.
func finite(v, highest float64) float64 {
	if !(v > 0) {
		return 0
	}
	return math.Min(v, highest)
}
