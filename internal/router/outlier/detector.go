package outlier

import "time"

// The figures of the evidence on a server.
const (
	maxReporterSends  = 8.0             // attempts of one reporter at a server that count, at most
	peerSumTTL        = 2 * time.Second // how long a peer's sum counts
	suspicionFailures = 0.5             // failed attempts from which peers are informed
)

// Services is what a detector has to know of the registered servers. The detector calls it from within its own methods,
// on their goroutine.
type Services interface {
	ServiceOf(server string) string   // "": it is not known, or may not be used
	UsableServers(service string) int // the number of servers that requests may go to
}

// Detector is a home's evidence on servers, and its decisions. Its size grows with the servers that its reporters sent
// attempts to recently. Times are on the steady clock of the home.
type Detector struct {
	services   Services
	servers    map[string]*server        // by ID
	traffic    map[string]*decayingCount // by service, of the own reporters
	lastPruned time.Duration
}

// server is what is known of one server.
type server struct {
	service       string
	total         decayingCount // of all own reporters
	reporters     map[string]*decayingCount
	peers         map[string]peerSum // by home
	ejection      ejection
	admittedUntil time.Duration // by an operator: until then it is not ejected
}

// peerSum is another home's last sum of a server.
type peerSum struct {
	Sum
	receivedAt time.Duration
}

// NewDetector returns a detector without evidence.
func NewDetector(s Services) *Detector {
	return &Detector{services: s, servers: map[string]*server{}, traffic: map[string]*decayingCount{}}
}

// server returns what is known of a server, empty at first; nil where no such server is usable.
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

// ApplyReport adds the report of a router that has this home. Entries of servers that are not usable, and those without
// a count, are left out.
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

// countOf returns the count of a key, which is empty at first.
func countOf(counts map[string]*decayingCount, key string) *decayingCount {
	c := counts[key]
	if c == nil {
		c = &decayingCount{}
		counts[key] = c
	}
	return c
}

// ApplyPeerSums replaces what another home, the peer, last sent of the servers that the sums name. Its sums of other
// servers stay until they expire.
func (d *Detector) ApplyPeerSums(peer string, sums []Sum, now time.Duration) {
	for _, sum := range sums {
		if s := d.server(sum.Server); s != nil {
			s.peers[peer] = peerSum{sum, now}
		}
	}
}

// Sums returns what the other homes have to know: of the servers that own reporters or other homes suspect. The caller
// sends it to each of them, whose ApplyPeerSums gets it.
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

// suspected reports whether anybody saw the server fail recently. Of most servers nobody did, and they cost no more
// than this.
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

// suspectedByPeer reports whether another home saw the server fail; one that only answers this one's suspicion did not.
func (s *server) suspectedByPeer() bool {
	for _, sum := range s.peers {
		if sum.All.Failed >= suspicionFailures {
			return true
		}
	}
	return false
}

// ownSum is the sum of the own reporters, each one's attempts scaled down to maxReporterSends.
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

// fleetSum adds the sums of all other homes to the own one.
func (s *server) fleetSum(own Sum) Sum {
	for _, sum := range s.peers {
		own.All.add(sum.All)
		if sum.Worst.Failed > own.Worst.Failed {
			own.Worst = sum.Worst
		}
	}
	return own
}

// prune drops what has decayed, at intervals.
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
