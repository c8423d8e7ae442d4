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
		clean(&k.Aim, &k.AimStretch, &k.Deadline, &k.Worth, &k.LateWorth)
		switch {
		case k.Deadline == 0 && k.Aim == 0:
			k.Deadline, k.Aim = 1000, 1000
		case k.Deadline == 0:
			k.Deadline = k.Aim
		case k.Aim == 0:
			k.Aim = k.Deadline
		}
		if !(k.Window >= 0) {
			k.Window = math.Inf(1)
		}
	}
	c.Tenants = append([]Tenant(nil), c.Tenants...)
	for i := range c.Tenants {
		clean(&c.Tenants[i].Allowance, &c.Tenants[i].Share)
	}
	clean(&c.OverShareWorth, &c.Quantum, &c.MaxRetryAfter, &c.ConnectTimeout, &c.DrainGrace, &c.ColdTime,
		&c.FallMultiple, &c.FallTime, &c.AskWithin, &c.AnswerSlack)
	clean(&c.Goal.Whole, &c.Goal.WorstWindow, &c.Goal.WorstClass, &c.Goal.WorstTenant)
	clean(&c.Prices.CrossZone, &c.Prices.Waste, &c.Prices.Handshake, &c.Prices.Probe, &c.Prices.Peer,
		&c.Prices.LateFail)
	if !(c.ColdFrom >= 0 && c.ColdFrom <= 1) {
		c.ColdFrom = 1
	}
	if c.Goal == (Goal{}) {
		c.Goal.Whole = 1
	}
	c.Peers, c.MaxAttempts, c.Number = max(c.Peers, 1), max(c.MaxAttempts, 1), max(c.Number, 0)
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
