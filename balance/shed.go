package balance

import "math"

// Shedding: what is refused before anything is sent, as the fleet is too slow for it; who goes first.

// admit sheds load that the fleet cannot answer within the aims, before anything is sent. Attempts in
// flight over the rate of answers tell how long answers take now (Little's law), sooner than they do.
func (b *Balancer) admit(r *request) bool {
	load, hung := b.openLoad()
	if hung > load { // what hangs at a few servers is their trouble; at most of them it is overload
		load += hung
	}
	took := trustLoad * load / b.answers.rate(b, 0, fewAnswers) // as a part of the aim
	full := b.quickest + spareAim*(1-b.quickest)                // the work and a part of the rest
	over := math.Min(math.Min(took, 2*b.pressure), 2) - full    // a few meet by chance
	b.over = over
	hurry := bound(fewInAim/(b.asked.rate(b, 0, 0)*b.longestAim), 1, fewInAim)
	b.steady = bound(b.steady+shedRate*hurry*over, 0, maxShed)
	shed := bound(b.steady+shedNow*over, 0, math.Min(maxShed, 2*b.steady)) // not by chance alone
	if b.futile(r) || b.late(r) && b.steady >= r.class.LateValue {
		return false
	}
	return shed == 0 || b.rng.Float64() >= b.shedPart(r, shed)
}

// late: a client's later try whose aim has passed already, as the time left tells: first tries have more.
func (b *Balancer) late(r *request) bool {
	r.stats.longest = math.Max(r.stats.longest, r.Remaining)
	return r.Remaining < 0.99*r.stats.longest && r.Remaining <= r.class.Deadline-r.class.LatencyTarget
}

// shedPart spreads the load to shed over classes and tenants, those first whose answers add least to
// the goal for their work; the goal weighs the worst-served class and tenant on their own.
func (b *Balancer) shedPart(r *request, shed float64) float64 {
	all := b.weigh()
	value := func(class *classStats, tenant *tally) float64 {
		v := (b.cfg.Goal.Overall + b.cfg.Goal.WorstWindow) * class.worth / all.worth
		if class == all.weakClass {
			v += b.cfg.Goal.WorstClass / class.asked
		}
		v *= b.inShare(tenant, all.asked)
		if tenant == all.weakTenant {
			v += b.cfg.Goal.WorstTenant * class.worth / all.worth * all.asked / tenant.asked
		}
		return v / math.Max(class.mean, 1e-3)
	}
	total, below, like, own := 0.0, 0.0, 1e-3, value(r.stats, r.tenant)
	for c := range b.classes {
		for t := range b.tenants {
			work := b.classes[c].asked * b.classes[c].mean * b.tenants[t].asked
			total += work
			if v := value(&b.classes[c], &b.tenants[t]); v*alike < own {
				below += work
			} else if v < own*alike {
				like += work
			}
		}
	}
	return (shed*total - below) / like
}

// inShare tells how much of a tenant's traffic counts in full, by its share of this sidecar's requests.
func (b *Balancer) inShare(t *tally, asked float64) float64 {
	if t.share <= 0 {
		return 1
	}
	return b.cfg.OverShareValue + (1-b.cfg.OverShareValue)*math.Min(t.share*asked/t.asked, fairBound)
}
