package balance

import (
	"maps"
	"math"
)

// Request keys. A server may do less work for a request whose key it had recently, so each key has a
// preferred server. A keyed request that has just timed out takes long at every server, so a client's retry
// of it is futile.

// classKey identifies the work of a request: requests of one class with the same key ask for the same work.
type classKey struct {
	class int
	key   uint64
}

// timeoutTable holds the keyed attempts that timed out recently.
type timeoutTable struct {
	records   map[classKey]timeoutRecord
	sweepSize int // number of records at which expired ones are removed
}

// timeoutRecord is how long an attempt took until it timed out, and until when it is remembered.
type timeoutRecord struct{ latency, until float64 }

// hasAffinity reports whether servers do less work for a request if they had its key recently.
func (b *Balancer) hasAffinity(r *request) bool { return b.cfg.KeyAffinity && r.Key != 0 }

// affinity returns by how many rotations a request may reach a server ahead of its turn because of its key.
// It is the same at all sidecars, so that they agree on an order of servers for each key. It is rendezvous
// hashing: a Gumbel variate, hashed from key and server, plus the logarithm of the listed capacity, so that
// a server is the first choice for a fraction of the keys equal to its fraction of the total capacity. Sends
// ahead of its turn make a server's current weight negative; at minus maxDebt its keys go to the next server.
func (b *Balancer) affinity(r *request, s *server) float64 {
	if !b.hasAffinity(r) {
		return 0
	}
	u := (float64(hash64(r.Key^hash64(uint64(s.ID)))>>11) + 0.5) / (1 << 53)
	return affinityStrength * (math.Log(s.Capacity) - math.Log(-math.Log(u)))
}

// maxDebt returns how far below zero a current weight may fall, in rotations of all candidates.
func (b *Balancer) maxDebt() float64 {
	if b.cfg.KeyAffinity {
		return maxAffinityDebt
	}
	return 1
}

// preferredServer returns the candidate with the highest affinity for a first send, or nil for a retry or a
// request without affinity. pick allows it affinityHeadroom more requests in flight than its share.
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

// recordTimeout remembers for one latency target that a keyed attempt timed out, as its client may retry the
// request. It does so only if the server answered another request meanwhile: otherwise the server, not the
// work, may be the cause.
func (b *Balancer) recordTimeout(r *request, a *attempt, latency float64) {
	if r.Key == 0 || a.server.AnsweredAt <= a.sentAt {
		return
	}
	t := &b.timeouts
	if len(t.records) >= t.sweepSize { // about twice as many as remained after the last sweep
		maps.DeleteFunc(t.records, func(_ classKey, r timeoutRecord) bool { return b.now > r.until })
		t.sweepSize = 2*len(t.records) + 16
	}
	t.records[classKey{r.Class, r.Key}] = timeoutRecord{latency, b.now + r.class.LatencyTarget}
}

// futileRetry reports whether a request is a client's retry of a request that has just timed out, and not
// worth an attempt: it has less than twice the time that the earlier attempt took, and the penalty for
// wasting that much work again is at least the value of a late answer.
func (b *Balancer) futileRetry(r *request) bool {
	record := b.timeouts.records[classKey{r.Class, r.Key}]
	return r.ClientRetry && b.now <= record.until && r.Remaining < 2*record.latency &&
		b.cfg.Penalties.Waste*record.latency >= r.class.LateValue*r.stats.Mean
}
