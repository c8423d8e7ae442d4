package balance

import (
	"maps"
	"math"
)

// Keys: a server may do less work for a key it had lately; what has just timed out is long work everywhere.

// classKey is what requests for the same work have in common.
type classKey struct {
	class int
	key   uint64
}

// timeoutTable holds the attempts with a key that timed out lately.
type timeoutTable struct {
	records   map[classKey]timeoutRecord
	sweepSize int // number of records at which expired ones are removed
}

type timeoutRecord struct{ latency, until float64 }

// hasAffinity: a server does less work for this request if it had its key lately.
func (b *Balancer) hasAffinity(r *request) bool { return b.cfg.KeyAffinity && r.Key != 0 }

// affinity is how many rotations ahead of its turn a server may get a key, the same at all sidecars (by
// rendezvous hashing: a Gumbel variate plus the logarithm of capacity: large servers have more). Each key has
// an order of servers. What a server got ahead of its turn it owes; past maxDebt its keys go to the next.
func (b *Balancer) affinity(r *request, s *server) float64 {
	if !b.hasAffinity(r) {
		return 0
	}
	u := (float64(mix(r.Key^mix(uint64(s.ID)))>>11) + 0.5) / (1 << 53)
	return affinityStrength * (math.Log(s.Capacity) - math.Log(-math.Log(u)))
}

// maxDebt is the most that a server can have got ahead of its turn, in rotations.
func (b *Balancer) maxDebt() float64 {
	if b.cfg.KeyAffinity {
		return maxAffinityDebt
	}
	return 1
}

// preferredServer is the candidate with the highest affinity for a first send. See affinityRoom.
func (b *Balancer) preferredServer(pool []*server, r *request, retry bool) (preferred *server) {
	if retry || !b.hasAffinity(r) {
		return nil
	}
	for _, s := range pool {
		if s.weight > 0 && (preferred == nil || s.affinity > preferred.affinity) {
			preferred = s
		}
	}
	return preferred
}

// recordTimeout remembers what timed out, as long as its client may retry it. Only where its server answered
// others meanwhile was it the work: a silent server does none.
func (b *Balancer) recordTimeout(r *request, a *attempt, latency float64) {
	if r.Key == 0 || a.server.AnsweredAt <= a.sentAt {
		return
	}
	t := &b.timeouts
	if len(t.records) >= t.sweepSize { // at twice as many as the last sweep left
		maps.DeleteFunc(t.records, func(_ classKey, r timeoutRecord) bool { return b.now > r.until })
		t.sweepSize = 2*len(t.records) + 16
	}
	t.records[classKey{r.Class, r.Key}] = timeoutRecord{latency, b.now + r.class.LatencyTarget}
}

// futileRetry: it retries what just timed out, with hardly more time; its value is less than the waste.
func (b *Balancer) futileRetry(r *request) bool {
	record := b.timeouts.records[classKey{r.Class, r.Key}]
	return r.ClientRetry && b.now <= record.until && r.Remaining < 2*record.latency &&
		b.cfg.Penalties.Waste*record.latency >= r.class.LateValue*r.stats.Mean
}
