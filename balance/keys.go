package balance

import (
	"maps"
	"math"
)

// Keys: what is known by what a request is about. A server that had a key lately does less work for it, where
// the settings say so; and what has just run out of time is long work, whoever does it.

// subject is what requests that ask for the same have in common.
type subject struct {
	class int
	key   uint64
}

// overrun is a try that had all its time and was not done.
type overrun struct{ took, until float64 }

// warms: a server does less work for this request if it had its key lately.
func (b *Balancer) warms(r *request) bool { return b.cfg.KeyAffinity && r.Key != 0 }

// favour is how many rotations ahead of its turn a server may have a key. All sidecars hash keys alike, so a
// key has one home in most cases, a large server has more of them (it is a Gumbel variate plus the logarithm
// of size), and each key has an order of its own in which others take over. The rotation goes on: what a
// server had ahead of its turn it owes, and past that debt its keys go to the next.
func (b *Balancer) favour(r *request, s *server) float64 {
	if !b.warms(r) {
		return 0
	}
	u := (float64(mix(r.Key^mix(uint64(s.ID)))>>11) + 0.5) / (1 << 53)
	return keyFavour * (math.Log(s.Capacity) - math.Log(-math.Log(u)))
}

// owes is the most turns that a server can have had ahead, in rotations.
func (b *Balancer) owes() float64 {
	if b.cfg.KeyAffinity {
		return keyDebt
	}
	return 1
}

// home is the server with most favour for a first send, among those of this pick. It may hold keyRoom more
// than its share: else a sidecar with little traffic passes it over for each single request it has there.
func (b *Balancer) home(pool []*server, r *request, repeat bool) (home *server) {
	if repeat || !b.warms(r) {
		return nil
	}
	for _, s := range pool {
		if s.weight > 0 && (home == nil || s.favour > home.favour) {
			home = s
		}
	}
	return home
}

// overran keeps in mind what ran out of time, as long as its client may come again with it. Only where its
// server answered others meanwhile was it the work: a silent server does none.
func (b *Balancer) overran(r *request, a *attempt, took float64) {
	if r.Key == 0 || a.s.answered <= a.sent {
		return
	}
	if len(b.overruns) >= b.sweepAt { // what is past goes when there is twice as much as was left
		maps.DeleteFunc(b.overruns, func(_ subject, o overrun) bool { return b.now > o.until })
		b.sweepAt = 2*len(b.overruns) + 16
	}
	b.overruns[subject{r.Class, r.Key}] = overrun{took, b.now + r.class.LatencyTarget}
}

// futile: a client comes again with what has just run out of time, and has hardly more time for it. An answer
// would be late, and earns less than what it costs if that work is wasted again.
func (b *Balancer) futile(r *request) bool {
	o := b.overruns[subject{r.Class, r.Key}]
	return r.ClientRetry && b.now <= o.until && r.Remaining < 2*o.took &&
		b.cfg.Penalties.Waste*o.took >= r.class.LateValue*r.stats.mean
}
