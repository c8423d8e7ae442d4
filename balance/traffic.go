package balance

import "math"

// traffic counts what clients request and what is answered.
type traffic struct {
	classes                 []classStats
	tenants                 []servedCounts // the last is for requests without a tenant
	requestRate, answerRate rateMeter
}

// servedCounts counts the requests of a class or tenant, and those served within the latency target. Both
// start at 1, so that neither is ever 0. share is a tenant's.
type servedCounts struct{ requests, served, share float64 }

func (c *servedCounts) worseServedThan(other *servedCounts) bool {
	return c.served*other.requests < other.served*c.requests
}

// classStats counts the requests of a class and follows how long its answers take.
type classStats struct {
	servedCounts
	ClassSnapshot
	value float64
}

func (c *classStats) add(latency float64) {
	c.Count = math.Min(c.Count+1, 300)
	c.Mean += (latency - c.Mean) / c.Count
	c.Deviation += (math.Abs(latency-c.Mean) - c.Deviation) / c.Count
}

// tenant returns the counts of a tenant, or those of requests without one.
func (t *traffic) tenant(i int) *servedCounts {
	if i < 0 || i >= len(t.tenants) {
		i = len(t.tenants) - 1
	}
	return &t.tenants[i]
}

// trafficTotals are the requests of all classes, their value, and who is served the smallest part of them.
type trafficTotals struct {
	requests, value float64
	worstClass      *classStats
	worstTenant     *servedCounts
}

func (t *traffic) totals() trafficTotals {
	all := trafficTotals{value: 1e-9, worstClass: &t.classes[0], worstTenant: &t.tenants[0]}
	for i := range t.classes {
		c := &t.classes[i]
		all.requests += c.requests
		all.value += c.requests * c.value
		if c.worseServedThan(&all.worstClass.servedCounts) {
			all.worstClass = c
		}
	}
	for i := range t.tenants {
		if t.tenants[i].worseServedThan(all.worstTenant) {
			all.worstTenant = &t.tenants[i]
		}
	}
	return all
}

// rateMeter holds decayed counts, over rateSpan of the longest latency targets and over one, as of at.
type rateMeter struct{ recent, latest, at float64 }

func (m *rateMeter) count(b *Balancer, events float64) {
	short, long := b.maxLatencyTarget, rateSpan*b.maxLatencyTarget
	m.latest = m.latest*math.Exp((m.at-b.now)/short) + events
	m.recent = m.recent*math.Exp((m.at-b.now)/long) + events
	m.at = b.now
}

// perMillisecond is the rate over the long span, with some events assumed beside those counted; or over the
// short span, where what is certain of it is more: traffic may grow fast.
func (m *rateMeter) perMillisecond(b *Balancer, assumed float64) float64 {
	m.count(b, 0)
	short, long := b.maxLatencyTarget, rateSpan*b.maxLatencyTarget
	slow := (m.recent + assumed) / long / math.Max(-math.Expm1((b.startedAt-b.now)/long), 1e-3)
	return math.Max(slow, (m.latest-2*math.Sqrt(m.latest))/short)
}

// latencyStats follows how long answers take, as a fraction of their latency target: the mean over meanSpan,
// how many answers that is of, the least that it has been, and the mean over shortMeanSpan.
type latencyStats struct{ mean, samples, min, recent float64 }

func (l *latencyStats) record(latency float64) {
	l.samples = math.Min(l.samples+1, meanSpan)
	l.recent += (math.Min(latency, 2) - l.recent) / shortMeanSpan
	l.mean += (math.Min(latency, 2) - l.mean) / l.samples
	if l.samples == meanSpan {
		l.min = math.Min(l.min, l.mean)
	}
}
