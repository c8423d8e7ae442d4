package balance

import (
	"maps"
	"math"
)

// Keys. A server may do less work for a request whose key it had lately, so that keys have preferred
// servers. And what has just timed out is long work at every server, so that its retry is of no use.

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

// timeoutRecord is how long an attempt took until it timed out, and until when it is remembered.
type timeoutRecord struct{ latency, until float64 }

// hasAffinity reports whether servers do less work for a request if they had its key lately.
func (b *Balancer) hasAffinity(r *request) bool { return b.cfg.KeyAffinity && r.Key != 0 }

// affinity is how many rotations ahead of its turn a server may get a request for its key, the same at all
// sidecars, so that each key has an order of servers. It is rendezvous hashing: a Gumbel variate, hashed
// from key and server, plus the logarithm of the capacity that the list says, so that a server is the first
// choice of as large a part of the keys as its capacity is of all. What a server got ahead of its turn its
// current weight owes; when that is maxDebt its keys go to the next server.
func (b *Balancer) affinity(r *request, s *server) float64 {
	if !b.hasAffinity(r) {
		return 0
	}
	u := (float64(mix(r.Key^mix(uint64(s.ID)))>>11) + 0.5) / (1 << 53)
	return affinityStrength * (math.Log(s.Capacity) - math.Log(-math.Log(u)))
}

// maxDebt is the most that a server can have got ahead of its turn, in rotations of all candidates.
func (b *Balancer) maxDebt() float64 {
	if b.cfg.KeyAffinity {
		return maxAffinityDebt
	}
	return 1
}

// preferredServer returns the candidate with the highest affinity for a first send, which may have
// affinityRoom more requests in flight than its share, or nil if the request has none.
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

// recordTimeout remembers for a latency target that an attempt with a key timed out, as its client may
// retry the request. Only if its server answered others meanwhile was it for the work: a silent server does
// none.
func (b *Balancer) recordTimeout(r *request, a *attempt, latency float64) {
	if r.Key == 0 || a.server.AnsweredAt <= a.sentAt {
		return
	}
	t := &b.timeouts
	if len(t.records) >= t.sweepSize { // there are twice as many as the last sweep left
		maps.DeleteFunc(t.records, func(_ classKey, r timeoutRecord) bool { return b.now > r.until })
		t.sweepSize = 2*len(t.records) + 16
	}
	t.records[classKey{r.Class, r.Key}] = timeoutRecord{latency, b.now + r.class.LatencyTarget}
}

// futileRetry reports whether a request is a client's retry of what has just timed out, with less than
// twice the time, where the penalty for the wasted work is no less than the value of a late answer.
func (b *Balancer) futileRetry(r *request) bool {
	record := b.timeouts.records[classKey{r.Class, r.Key}]
	return r.ClientRetry && b.now <= record.until && r.Remaining < 2*record.latency &&
		b.cfg.Penalties.Waste*record.latency >= r.class.LateValue*r.stats.Mean
}
