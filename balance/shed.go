package balance

import "math"

// Load shedding: which requests are rejected before anything is sent, because the servers together are too
// slow to answer the whole load in time.

// loadShedding is the state of the controller that sets how much load is shed. The fraction is the sum of a
// proportional part, a multiple of excess, and the integral part.
type loadShedding struct {
	integral float64 // fraction of the load to shed; follows the excess slowly
	excess   float64 // latency above the permitted one, in latency targets; negative: below it
}

// admit reports whether a request is served; otherwise it is shed. The current latency is estimated as the
// attempts in flight over the rate of answers (Little's law), which shows an overload earlier than the
// answers do. The estimate counts only as far as recent answers confirm it. The part above maxLatency is the
// excess, from which the shed fraction follows: a proportional part follows the load up and down at once, and
// an integral part adds up over requests.
func (b *Balancer) admit(r *request) bool {
	load, suspectLoad := b.servers.loadByHealth()
	if suspectLoad > load { // attempts that hang at few servers are their fault; at most servers, overload
		load += suspectLoad
	}
	shedding, minLatency := &b.shedding, b.latencies.min
	latency := inFlightWeight * load / b.traffic.answerRate.perMillisecond(b, assumedAnswers)
	maxLatency := minLatency + queueAllowance*(1-minLatency) // work, and a part of the rest for queues
	shedding.excess = math.Min(math.Min(latency, 2*b.latencies.recent), 2) - maxLatency
	requestsInTarget := b.traffic.requestRate.perMillisecond(b, 0) * b.maxLatencyTarget
	step := shedIntegralGain * clamp(fewRequests/requestsInTarget, 1, fewRequests)
	shedding.integral = clamp(shedding.integral+step*shedding.excess, 0, maxShedFraction)
	maxShed := math.Min(maxShedFraction, 2*shedding.integral) // as a few requests may coincide by chance
	shed := clamp(shedding.integral+shedGain*shedding.excess, 0, maxShed)
	if b.futileRetry(r) || b.lateRetry(r) && shedding.integral >= r.class.LateValue {
		return false
	}
	return shed == 0 || b.rng.Float64() >= b.shedProbability(r, shed)
}

// lateRetry reports whether a request is a client's retry whose latency target has passed. It goes by the
// remaining time: a first request has the longest one seen in its class, and a retry keeps the deadline of
// the first request.
func (b *Balancer) lateRetry(r *request) bool {
	r.stats.MaxRemaining = math.Max(r.stats.MaxRemaining, r.Remaining)
	return r.Remaining < 0.99*r.stats.MaxRemaining && r.Remaining <= r.class.Deadline-r.class.LatencyTarget
}

// shedProbability returns the probability with which to shed a request, so that shed is the fraction of all
// work that is shed. Classes and tenants are shed in the order of what their answers add to the goal per
// work, the lowest first, and only as far as needed. The result may be below 0 or above 1.
func (b *Balancer) shedProbability(r *request, shed float64) float64 {
	all := b.traffic.totals()
	totalWork, workBelow, workSimilar, ownValue := 0.0, 0.0, 1e-3, b.answerValue(&all, r.stats, r.tenant)
	for i := range b.traffic.classes {
		class := &b.traffic.classes[i]
		for j := range b.traffic.tenants {
			tenant := &b.traffic.tenants[j]
			work := class.requests * class.Mean * tenant.requests
			totalWork += work
			if value := b.answerValue(&all, class, tenant); value*similarValue < ownValue {
				workBelow += work
			} else if value < ownValue*similarValue {
				workSimilar += work
			}
		}
	}
	return (shed*totalWork - workBelow) / workSimilar
}

// answerValue returns what an answer of a class to a tenant adds to the goal, per millisecond of its work.
// Answers to the worst-served class and tenant also count for the weights that the goal gives to these.
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

// shareFactor returns the mean value of a tenant's answers, as a fraction of the full value. Answers within
// the tenant's share of this sidecar's requests have full value, others OverShareValue. For a tenant below
// its share the factor is above 1.
func (b *Balancer) shareFactor(t *servedCounts, requests float64) float64 {
	if t.share <= 0 {
		return 1
	}
	inShare := math.Min(t.share*requests/t.requests, maxShareFactor)
	return b.cfg.OverShareValue + (1-b.cfg.OverShareValue)*inShare
}
