package balance

import "math"

// traffic counts the requests and answers of this sidecar.
type traffic struct {
	classes                 []classStats   // in the order of Config.Classes
	tenants                 []servedCounts // in the order of Config.Tenants; the last is for unknown tenants
	requestRate, answerRate rateMeter
}

// servedCounts counts the requests of a class or tenant, and those served within the latency target. Both
// start at 1, so that neither is ever 0. share is Tenant.Share, and 0 for a class.
type servedCounts struct{ requests, served, share float64 }

// worseServedThan reports whether a smaller fraction of its requests was served in time.
func (c *servedCounts) worseServedThan(other *servedCounts) bool {
	return c.served*other.requests < other.served*c.requests
}

// classStats holds the request counts and the latency statistics of a class; value is Class.Value.
type classStats struct {
	servedCounts
	ClassSnapshot
	value float64
}

// add counts an answer with its latency in ms. Mean and deviation cover about the last 300 answers.
func (c *classStats) add(latency float64) {
	c.Count = math.Min(c.Count+1, 300)
	c.Mean += (latency - c.Mean) / c.Count
	c.Deviation += (math.Abs(latency-c.Mean) - c.Deviation) / c.Count
}

// tenant returns the counts of a tenant, or those for unknown tenants.
func (t *traffic) tenant(i int) *servedCounts {
	if i < 0 || i >= len(t.tenants) {
		i = len(t.tenants) - 1
	}
	return &t.tenants[i]
}

// trafficTotals holds the number of requests of all classes, their value if all were answered in time, and
// the worst-served class and tenant.
type trafficTotals struct {
	requests, value float64
	worstClass      *classStats
	worstTenant     *servedCounts
}

// totals returns the totals since this process started.
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

// rateMeter measures the rate of events by counts that decay exponentially.
type rateMeter struct {
	recent  float64 // with a time constant of rateSpan times the longest latency target
	latest  float64 // ... and of one longest latency target
	updated float64 // when both were last decayed
}

// count adds events at the current time; 0 only decays the counts.
func (m *rateMeter) count(b *Balancer, events float64) {
	short, long := b.maxLatencyTarget, rateSpan*b.maxLatencyTarget
	m.latest = m.latest*math.Exp((m.updated-b.now)/short) + events
	m.recent = m.recent*math.Exp((m.updated-b.now)/long) + events
	m.updated = b.now
}

// perMillisecond returns the rate over the long span, with assumed events added to the counted ones. As
// traffic may grow fast, it returns the rate over the short span, less two standard deviations of its count,
// if that is higher. While the process is younger than the long span, its age limits the span.
func (m *rateMeter) perMillisecond(b *Balancer, assumed float64) float64 {
	m.count(b, 0)
	short, long := b.maxLatencyTarget, rateSpan*b.maxLatencyTarget
	slow := (m.recent + assumed) / long / math.Max(-math.Expm1((b.startedAt-b.now)/long), 1e-3)
	return math.Max(slow, (m.latest-2*math.Sqrt(m.latest))/short)
}

// latencyStats holds latency statistics of answers, as fractions of the latency targets.
type latencyStats struct {
	mean    float64 // over meanSpan answers
	samples float64 // number of answers that mean covers, at most meanSpan
	min     float64 // the lowest value of mean so far: the work alone, without queues
	recent  float64 // mean over shortMeanSpan answers
}

// record adds the latency of an answer, limited to twice its latency target.
func (l *latencyStats) record(latency float64) {
	l.samples = math.Min(l.samples+1, meanSpan)
	l.recent += (math.Min(latency, 2) - l.recent) / shortMeanSpan
	l.mean += (math.Min(latency, 2) - l.mean) / l.samples
	if l.samples == meanSpan {
		l.min = math.Min(l.min, l.mean)
	}
}
