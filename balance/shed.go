package balance

import "math"

// Load shedding: what is rejected before anything is sent, as the fleet is too slow, and who goes first.

// loadShedding is the fraction shed lastingly, and what answers exceed, in latency targets.
type loadShedding struct{ lasting, excess float64 }

// admit reports whether a request is served at all; else the fleet cannot answer the load in time. Attempts
// in flight over the rate of answers show how long answers take now (Little's law), earlier than answers do.
func (b *Balancer) admit(r *request) bool {
	load, hung := b.servers.openLoad()
	if hung > load { // what hangs at a few servers is their fault; at most of them it is overload
		load += hung
	}
	shedding, least := &b.shedding, b.latencies.min
	latency := loadTrust * load / b.traffic.answerRate.perMillisecond(b, assumedAnswers)
	maxLatency := least + queueAllowance*(1-least) // the work and a fraction of the rest
	shedding.excess = math.Min(math.Min(latency, 2*b.latencies.recent), 2) - maxLatency
	requestsInTarget := b.traffic.requestRate.perMillisecond(b, 0) * b.maxLatencyTarget
	step := shedStep * clamp(fewRequests/requestsInTarget, 1, fewRequests)
	shedding.lasting = clamp(shedding.lasting+step*shedding.excess, 0, maxShedFraction)
	maxShed := math.Min(maxShedFraction, 2*shedding.lasting) // a few requests may coincide by chance
	shed := clamp(shedding.lasting+shedImmediate*shedding.excess, 0, maxShed)
	if b.futileRetry(r) || b.lateRetry(r) && shedding.lasting >= r.class.LateValue {
		return false
	}
	return shed == 0 || b.rng.Float64() >= b.shedProbability(r, shed)
}

// lateRetry: a client's retry whose latency target has passed, by its time left: first requests have more.
func (b *Balancer) lateRetry(r *request) bool {
	r.stats.MaxRemaining = math.Max(r.stats.MaxRemaining, r.Remaining)
	return r.Remaining < 0.99*r.stats.MaxRemaining && r.Remaining <= r.class.Deadline-r.class.LatencyTarget
}

// shedProbability sheds first the classes and tenants whose answers add least to the goal for their work.
func (b *Balancer) shedProbability(r *request, shed float64) float64 {
	all := b.traffic.totals()
	total, below, similar, own := 0.0, 0.0, 1e-3, b.answerValue(&all, r.stats, r.tenant)
	for i := range b.traffic.classes {
		class := &b.traffic.classes[i]
		for j := range b.traffic.tenants {
			tenant := &b.traffic.tenants[j]
			work := class.requests * class.Mean * tenant.requests
			total += work
			if value := b.answerValue(&all, class, tenant); value*similarValue < own {
				below += work
			} else if value < own*similarValue {
				similar += work
			}
		}
	}
	return (shed*total - below) / similar
}

// answerValue is what an answer adds to the goal for its work; the worst-served class and tenant count extra.
func (b *Balancer) answerValue(all *trafficTotals, class *classStats, tenant *servedCounts) float64 {
	v := (b.cfg.Goal.Overall + b.cfg.Goal.WorstWindow) * class.value / all.value
	if class == all.worstClass {
		v += b.cfg.Goal.WorstClass / class.requests
	}
	v *= b.shareFactor(tenant, all.requests)
	if tenant == all.worstTenant {
		v += b.cfg.Goal.WorstTenant * class.value / all.value * all.requests / tenant.requests
	}
	return v / math.Max(class.Mean, 1e-3)
}

// shareFactor is how much of a tenant's traffic has its full value, by its share of this sidecar's requests.
func (b *Balancer) shareFactor(t *servedCounts, requests float64) float64 {
	if t.share <= 0 {
		return 1
	}
	inShare := math.Min(t.share*requests/t.requests, maxShareFactor)
	return b.cfg.OverShareValue + (1-b.cfg.OverShareValue)*inShare
}
