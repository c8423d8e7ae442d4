package balance

import "math"

// Load shedding: which requests are rejected before anything of them is sent, because all servers together
// are too slow to answer the load in time.

// loadShedding is how much load is shed.
type loadShedding struct {
	lasting float64 // fraction of the load, which follows the excess slowly
	excess  float64 // by how many latency targets answers are slower than they may be; below 0: they are not
}

// admit reports whether a request is served; if not, it is shed. How long answers take now is what is in
// flight over the rate of answers (Little's law), which shows an overload earlier than the answers do; it
// counts only as far as recent answers confirm it. What exceeds maxLatency is shed: a part at once, which
// follows the load up and down, and a part that adds up over requests.
func (b *Balancer) admit(r *request) bool {
	load, suspectLoad := b.servers.openLoad()
	if suspectLoad > load { // what hangs at a few servers is their fault; at most servers it is overload
		load += suspectLoad
	}
	shedding, minLatency := &b.shedding, b.latencies.min
	latency := loadTrust * load / b.traffic.answerRate.perMillisecond(b, assumedAnswers)
	maxLatency := minLatency + queueAllowance*(1-minLatency) // the work and a fraction of the rest
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

// lateRetry reports whether a request is a client's retry whose latency target has passed. It goes by the
// time that is left: a first request has the longest that was seen of its class, and the deadline is that
// of the first.
func (b *Balancer) lateRetry(r *request) bool {
	r.stats.MaxRemaining = math.Max(r.stats.MaxRemaining, r.Remaining)
	return r.Remaining < 0.99*r.stats.MaxRemaining && r.Remaining <= r.class.Deadline-r.class.LatencyTarget
}

// shedProbability returns the probability to shed a request, so that shed is the fraction of all work that
// is shed: first goes the work of the classes and tenants whose answers add least to the goal for their
// work, as far as needed, and none of those that add most. It may be below 0 or above 1.
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

// answerValue is what an answer of a class to a tenant adds to the goal, for each millisecond of its work.
// Answers to the worst-served class and tenant add to the goal's weights of these as well.
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

// shareFactor is the mean value of a tenant's answers, as a fraction of the full value: within its share of
// this sidecar's requests they have all of it, beyond that OverShareValue. A tenant below its share is
// above 1.
func (b *Balancer) shareFactor(t *servedCounts, requests float64) float64 {
	if t.share <= 0 {
		return 1
	}
	inShare := math.Min(t.share*requests/t.requests, maxShareFactor)
	return b.cfg.OverShareValue + (1-b.cfg.OverShareValue)*inShare
}
