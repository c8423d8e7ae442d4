package outlier

import "time"

const (
	maxReporterSends  = 8.0             // upper bound of one reporter's attempts at a server that count
	peerSumTTL        = 2 * time.Second // how long the sum of another home counts
	suspicionFailures = 0.5             // failed attempts from which the other homes are informed
)

// Services gives a Detector access to the registered servers. The Detector calls it only from its own methods, on the
// goroutine of their caller.
type Services interface {
	ServiceOf(server string) string   // service of a server; "" if the server is unknown or not usable
	UsableServers(service string) int // number of usable servers of a service
}

// Detector holds a home's evidence on servers and its decisions. Its size grows with the number of servers that received
// attempts from its reporters recently. Times are readings of the home's monotonic clock.
type Detector struct {
	services   Services
	servers    map[string]*server        // by ID
	traffic    map[string]*decayingCount // attempts of the own reporters, by service
	lastPruned time.Duration
}

// server holds the evidence on one server, and its ejection.
type server struct {
	service       string
	total         decayingCount             // of all own reporters
	reporters     map[string]*decayingCount // of each own reporter
	peers         map[string]peerSum        // by home
	ejection      ejection
	admittedUntil time.Duration // end of an operator's override, until which the server is not ejected
}

// peerSum is the latest sum for a server that another home sent.
type peerSum struct {
	Sum
	receivedAt time.Duration
}

// NewDetector returns a Detector without evidence.
func NewDetector(s Services) *Detector {
	return &Detector{services: s, servers: map[string]*server{}, traffic: map[string]*decayingCount{}}
}

// server returns the evidence on a server, and creates it if there is none. It returns nil if the server is not usable.
func (d *Detector) server(id string) *server {
	if s := d.servers[id]; s != nil {
		return s
	}
	service := d.services.ServiceOf(id)
	if service == "" {
		return nil
	}
	s := &server{service: service, reporters: map[string]*decayingCount{}, peers: map[string]peerSum{}}
	d.servers[id] = s
	return s
}

// ApplyReport adds the report of a router that subscribes to this home. It ignores entries for unusable servers, and
// incomplete entries.
func (d *Detector) ApplyReport(reporter string, r Report, now time.Duration) {
	for i, id := range r.Servers {
		if i >= len(r.Sent) || i >= len(r.Failed) {
			return
		}
		s := d.server(id)
		if s == nil {
			continue
		}
		sent, failed := float64(r.Sent[i]), float64(min(r.Failed[i], r.Sent[i]))
		countOf(s.reporters, reporter).add(sent, failed, now)
		s.total.add(sent, failed, now)
		countOf(d.traffic, s.service).add(sent, failed, now)
	}
}

// countOf returns the count for a key, and creates an empty one if there is none.
func countOf(counts map[string]*decayingCount, key string) *decayingCount {
	c := counts[key]
	if c == nil {
		c = &decayingCount{}
		counts[key] = c
	}
	return c
}

// ApplyPeerSums replaces the sums that another home, the peer, sent before for the same servers. The peer's sums for
// other servers stay until they expire.
func (d *Detector) ApplyPeerSums(peer string, sums []Sum, now time.Duration) {
	for _, sum := range sums {
		if s := d.server(sum.Server); s != nil {
			s.peers[peer] = peerSum{sum, now}
		}
	}
}

// Sums returns this home's sums for the servers that its own reporters or other homes suspect. The caller sends them to
// each of the other homes, which pass them to ApplyPeerSums.
func (d *Detector) Sums(now time.Duration) []Sum {
	var out []Sum
	for id, s := range d.servers {
		if !s.suspected(now) {
			continue
		}
		own := s.ownSum(id, now)
		if own.All.Failed >= suspicionFailures || s.suspectedByPeer() && own.All.Sent > 0 {
			out = append(out, own)
		}
	}
	return out
}

// suspected reports whether there is recent evidence of failures of the server. Most servers have none, and take no
// further work than this check. It removes the peers' sums that have expired.
func (s *server) suspected(now time.Duration) bool {
	for peer, sum := range s.peers {
		if now-sum.receivedAt > peerSumTTL {
			delete(s.peers, peer)
		}
	}
	if s.ejection.active || len(s.peers) > 0 {
		return true
	}
	if s.total.failed == 0 {
		return false
	}
	s.total.decay(now)
	return s.total.failed >= minTrialFailures
}

// suspectedByPeer reports whether another home's sum contains failures of the server. A home also sends sums with fewer
// failures, in answer to the suspicion of others; these do not count.
func (s *server) suspectedByPeer() bool {
	for _, sum := range s.peers {
		if sum.All.Failed >= suspicionFailures {
			return true
		}
	}
	return false
}

// ownSum returns the sum over the own reporters. A reporter's counts are scaled down to at most maxReporterSends
// attempts.
func (s *server) ownSum(id string, now time.Duration) Sum {
	sum := Sum{Server: id}
	for _, c := range s.reporters {
		c.decay(now)
		scale := 1.0
		if c.sent > maxReporterSends {
			scale = maxReporterSends / c.sent
		}
		count := Count{Sent: scale * c.sent, Failed: scale * c.failed}
		sum.All.add(count)
		if count.Failed > sum.Worst.Failed {
			sum.Worst = count
		}
	}
	return sum
}

// fleetSum returns the total of the home's own sum and the sums of all other homes.
func (s *server) fleetSum(own Sum) Sum {
	for _, sum := range s.peers {
		own.All.add(sum.All)
		if sum.Worst.Failed > own.Worst.Failed {
			own.Worst = sum.Worst
		}
	}
	return own
}

// prune removes decayed counts and servers without evidence, at most once per decayTimeConstant.
func (d *Detector) prune(now time.Duration) {
	if now-d.lastPruned < decayTimeConstant {
		return
	}
	d.lastPruned = now
	for id, s := range d.servers {
		pruneCounts(s.reporters, now)
		recentlyEjected := s.ejection.repetitions > 0 && now-s.ejection.endedAt < repetitionWindow
		if !s.suspected(now) && len(s.reporters) == 0 && !recentlyEjected && now >= s.admittedUntil {
			delete(d.servers, id)
		}
	}
	pruneCounts(d.traffic, now)
}

func pruneCounts(counts map[string]*decayingCount, now time.Duration) {
	for key, c := range counts {
		if c.decay(now); c.sent < minSends {
			delete(counts, key)
		}
	}
}
