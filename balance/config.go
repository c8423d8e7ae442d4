package balance

import "math"

// withDefaults returns the settings with every number that cannot be replaced: what is negative, not a
// number or infinite counts as not given. The defaults: an aim is the deadline, a deadline without a value
// is the aim, or a second where neither is given; a key's window has no end; worth is 1; one attempt; one
// sidecar; a server starts with all its capacity; the goal is the whole.
func (c Config) withDefaults() Config {
	c.Classes = append([]Class(nil), c.Classes...)
	for i := range c.Classes {
		k := &c.Classes[i]
		clean(&k.LatencyTarget, &k.LatencyTargetStretch, &k.Deadline, &k.Value, &k.LateValue)
		switch {
		case k.Deadline == 0 && k.LatencyTarget == 0:
			k.Deadline, k.LatencyTarget = 1000, 1000
		case k.Deadline == 0:
			k.Deadline = k.LatencyTarget
		case k.LatencyTarget == 0:
			k.LatencyTarget = k.Deadline
		}
		if !(k.Window >= 0) {
			k.Window = math.Inf(1)
		}
	}
	c.Tenants = append([]Tenant(nil), c.Tenants...)
	for i := range c.Tenants {
		clean(&c.Tenants[i].Allowance, &c.Tenants[i].Share)
	}
	clean(&c.OverShareValue, &c.BatchInterval, &c.MaxRetryAfter, &c.ConnectTimeout, &c.DrainGrace,
		&c.SlowStartTime, &c.OverloadMultiple, &c.OverloadTime, &c.MaxPollInterval, &c.AnswerSlack)
	clean(&c.Goal.Overall, &c.Goal.WorstWindow, &c.Goal.WorstClass, &c.Goal.WorstTenant)
	clean(&c.Penalties.CrossZone, &c.Penalties.Waste, &c.Penalties.Handshake, &c.Penalties.Probe,
		&c.Penalties.PeerMessage, &c.Penalties.LateFailure)
	if !(c.SlowStartFraction >= 0 && c.SlowStartFraction <= 1) {
		c.SlowStartFraction = 1
	}
	if c.Goal == (Goal{}) {
		c.Goal.Overall = 1
	}
	c.SidecarCount, c.SidecarNumber = max(c.SidecarCount, 1), max(c.SidecarNumber, 0)
	c.MaxAttempts = max(c.MaxAttempts, 1)
	return c
}

// clean sets to zero what is no finite number of at least zero.
func clean(values ...*float64) {
	for _, v := range values {
		if *v = finite(*v, math.Inf(1)); math.IsInf(*v, 1) {
			*v = 0
		}
	}
}

// finite returns v, at most the given bound, and 0 for what is negative or no number.
func finite(v, most float64) float64 {
	if !(v > 0) {
		return 0
	}
	return math.Min(v, most)
}
