package outlier

import (
	"cmp"
	"slices"
	"time"
)

// Services is what a detector has to know of the list of servers.
type Services interface {
	ServiceOf(server string) string   // "": it is not known, or may not be used
	UsableServers(service string) int // how many servers requests may go to
}

// Detector is a home's judgement of servers. What it holds grows with the servers that its subscribers sent to lately.
type Detector struct {
	services Services
	servers  map[string]*server
	traffic  map[string]*window // by service, of the own subscribers
	pruned   time.Duration
}

// server is what is known of one.
type server struct {
	service  string
	total    window // of all tellers
	tellers  map[string]*window
	peers    map[string]peerSum
	ejection ejection
	admitted time.Duration // until then it is not ejected, by an operator's word
}

type peerSum struct {
	Sum
	at time.Duration
}

// ejection is a server's past and present ejections.
type ejection struct {
	active bool
	until  time.Duration
	ended  time.Duration // when the last one ended
	times  int           // that followed one another soon
}

// NewDetector makes an empty one.
func NewDetector(s Services) *Detector {
	return &Detector{services: s, servers: map[string]*server{}, traffic: map[string]*window{}}
}

// find finds what is known of a server, or begins to; nil where no such server is usable.
func (d *Detector) find(id string) *server {
	if s := d.servers[id]; s != nil {
		return s
	}
	name := d.services.ServiceOf(id)
	if name == "" {
		return nil
	}
	s := &server{service: name, tellers: map[string]*window{}, peers: map[string]peerSum{}}
	d.servers[id] = s
	return s
}

// ApplyReport takes in what a subscriber sent.
func (d *Detector) ApplyReport(teller string, r Report, now time.Duration) {
	for i, id := range r.Servers {
		if i >= len(r.Sent) || i >= len(r.Failed) {
			return
		}
		s := d.find(id)
		if s == nil {
			continue
		}
		w := s.tellers[teller]
		if w == nil {
			w = &window{}
			s.tellers[teller] = w
		}
		sent, failed := float64(r.Sent[i]), float64(min(r.Failed[i], r.Sent[i]))
		w.add(sent, failed, now)
		s.total.add(sent, failed, now)
		t := d.traffic[s.service]
		if t == nil {
			t = &window{}
			d.traffic[s.service] = t
		}
		t.add(sent, failed, now)
	}
}

// ApplyPeerSums takes in the sums of another home, which stand for what it told before.
func (d *Detector) ApplyPeerSums(home string, sums []Sum, now time.Duration) {
	for _, sum := range sums {
		if s := d.find(sum.Server); s != nil {
			s.peers[home] = peerSum{sum, now}
		}
	}
}

// Sums are what other homes have to know: of servers that subscribers or other homes doubt.
func (d *Detector) Sums(now time.Duration) []Sum {
	var out []Sum
	for id, s := range d.servers {
		if !s.doubted(now) {
			continue
		}
		own := s.own(id, now)
		if own.All.Failed >= doubtful || s.doubtedByPeer() && own.All.Sent > 0 {
			out = append(out, own)
		}
	}
	return out
}

// doubted reports whether anybody lately saw the server fail. Of most servers nobody did, and they cost no more than this.
func (s *server) doubted(now time.Duration) bool {
	for home, p := range s.peers {
		if now-p.at > peerGood {
			delete(s.peers, home)
		}
	}
	if s.ejection.active || len(s.peers) > 0 {
		return true
	}
	if s.total.failed == 0 {
		return false
	}
	s.total.decay(now)
	return s.total.failed >= trialFailed
}

// doubtedByPeer reports whether another home saw the server fail; one that only answers this home's doubt did not.
func (s *server) doubtedByPeer() bool {
	for _, p := range s.peers {
		if p.All.Failed >= doubtful {
			return true
		}
	}
	return false
}

// own is the sum of the subscribers' sends, each teller's up to tellerSends.
func (s *server) own(id string, now time.Duration) Sum {
	sum := Sum{Server: id}
	for _, w := range s.tellers {
		w.decay(now)
		scale := 1.0
		if w.sent > tellerSends {
			scale = tellerSends / w.sent
		}
		one := Count{Sent: scale * w.sent, Failed: scale * w.failed}
		sum.All.add(one)
		if one.Failed > sum.Worst.Failed {
			sum.Worst = one
		}
	}
	return sum
}

// fleet is the sum of all homes.
func (s *server) fleet(own Sum) Sum {
	for _, p := range s.peers {
		own.All.add(p.All)
		if p.Worst.Failed > own.Worst.Failed {
			own.Worst = p.Worst
		}
	}
	return own
}

// prune drops what is old, now and then.
func (d *Detector) prune(now time.Duration) {
	if now-d.pruned < memory {
		return
	}
	d.pruned = now
	for id, s := range d.servers {
		for teller, w := range s.tellers {
			if w.decay(now); w.sent < forgotten {
				delete(s.tellers, teller)
			}
		}
		past := s.ejection.times > 0 && now-s.ejection.ended < soon || now < s.admitted
		if !s.doubted(now) && len(s.tellers) == 0 && !past {
			delete(d.servers, id)
		}
	}
	for name, t := range d.traffic {
		if t.decay(now); t.sent < forgotten {
			delete(d.traffic, name)
		}
	}
}

// suspect is a server that a judgement looks at.
type suspect struct {
	id     string
	server *server
	own    Sum
	all    Sum
}

// ratio ranks suspects.
func (s *suspect) ratio() float64 { return max(s.own.All.ratio(), s.all.All.ratio()) }

// outlier reports whether a server fails so much that it is left alone. What the own subscribers see goes before what the
// fleet does: a server may fail for others alone.
func (s *suspect) outlier(limit float64) bool {
	if s.own.fails(limit) {
		return true
	}
	contradicted := s.own.All.Sent >= ownEnough && s.own.All.ratio() < limit/3
	return s.all.fails(limit) && !contradicted
}

// Judge says which servers are left alone, by service and ID. Reporting is the part of the fleet that reports here.
func (d *Detector) Judge(reporting float64, now time.Duration) []Ejection {
	d.prune(now)
	byService := map[string][]*suspect{}
	for id, s := range d.servers {
		if !s.doubted(now) {
			continue
		}
		if d.services.ServiceOf(id) != s.service { // it has ended, or may not be used
			delete(d.servers, id)
			continue
		}
		own := s.own(id, now)
		byService[s.service] = append(byService[s.service], &suspect{id, s, own, s.fleet(own)})
	}
	var out []Ejection
	for name, list := range byService {
		d.judgeService(name, list, now)
		trial := d.trial(name, reporting, now)
		for _, one := range list {
			if one.server.ejection.active {
				out = append(out, Ejection{Server: one.id, Trial: trial})
			}
		}
	}
	slices.SortFunc(out, func(a, b Ejection) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// failsTrials reports whether an ejected server still fails: by the own subscribers' trials where there were enough.
func (s *suspect) failsTrials() bool {
	seen := s.all.All
	if s.own.All.Sent >= ownTrials {
		seen = s.own.All
	}
	return seen.Failed >= trialFailed && seen.ratio() >= leastRatio
}

// judgeService begins and ends the ejections of one service; the worst servers come first.
func (d *Detector) judgeService(name string, list []*suspect, now time.Duration) {
	slices.SortFunc(list, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(b.ratio(), a.ratio()), cmp.Compare(a.id, b.id))
	})
	usable := d.services.UsableServers(name)
	room := int(ejectablePart * float64(usable))
	for _, one := range list {
		e := &one.server.ejection
		if e.active {
			e.review(one.failsTrials(), now)
		}
		if e.active {
			room--
		}
	}
	limit := limitOf(list, usable)
	for _, one := range list {
		if room <= 0 {
			return
		}
		if !one.server.ejection.active && now >= one.server.admitted && one.outlier(limit) {
			one.server.ejection.begin(now)
			room--
		}
	}
}

// limitOf is the ratio of failed sends from which a server of a service is an outlier. Servers of which no home tells failures
// count as well.
func limitOf(list []*suspect, usable int) float64 {
	ratios := make([]float64, max(usable, len(list)))
	for i, one := range list {
		ratios[i] = one.all.All.ratio()
	}
	slices.Sort(ratios)
	median := ratios[(len(ratios)-1)/2]
	return max(leastRatio, medianFactor*median)
}

func (e *ejection) begin(now time.Duration) {
	if e.times > 0 && now-e.ended > soon {
		e.times = 0
	}
	e.active, e.until = true, now+min(ejectMost, ejectFirst<<min(e.times, 4))
	e.times++
}

// review ends an ejection whose time is up, or prolongs it while trials fail.
func (e *ejection) review(failing bool, now time.Duration) {
	switch {
	case now < e.until:
	case failing:
		e.until = now + ejectAgain
	default:
		e.active, e.ended = false, now
	}
}

// trial is the probability with which a request of a service goes to one of its ejected servers.
func (d *Detector) trial(name string, reporting float64, now time.Duration) float64 {
	part := trialPart / float64(max(1, d.services.UsableServers(name)))
	t := d.traffic[name]
	if t == nil || reporting <= 0 {
		return part
	}
	t.decay(now)
	rate := t.sent / memory.Seconds() / min(1, reporting)
	return min(part, trialsPerS/max(rate, forgotten))
}
