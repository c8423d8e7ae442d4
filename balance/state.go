package balance

// This file holds what a balancer remembers, Handle and small helpers; no decisions.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

// listTimer is the token of the discovery timer; requests use their ID (below 2^52).
const listTimer = 1 << 60

// Balancer is one sidecar's decision maker. It is not safe for concurrent use.
type Balancer struct {
	cfg        Config
	rng        *rand.Rand
	now        float64
	started    float64
	longestAim float64 // of all classes
	out        []Action

	servers []*server // those listed, in order of ID
	ring    []*server // ... in the order of this sidecar's round; see subset
	near    []*server // the present subset
	byID    map[ServerID]*server
	pool    float64         // sum of weights at the last first pick
	kinds   map[int]float64 // learned logarithm of size by kind
	zones   map[int]float64 // ... and by zone
	learned float64         // times learn was called
	drift   float64         // mean step of learn
	asks    int             // failed list calls in a row
	askedAt float64         // when the last call was made

	reqs    map[RequestID]*request
	holding []*request // that wait for probes
	classes []classStats
	busy    float64 // recent part of probed servers that held anything
	tenants []tally // the last is for requests without a tenant

	steady                    float64 // part of the load that is refused lastingly
	over                      float64 // what answers take beyond what they may, as a part of the aim
	slowness, slowN, quickest float64 // recent and least mean time of answers, as a part of their aim
	asked, answers            meter
	pressure                  float64 // the same of the last few
	spare                     float64 // repeats left in the budget

	overruns map[subject]overrun // what ran out of time lately
	sweepAt  int                 // ... and when to look for what is past
}

// meter counts requests or answers. It holds decayed counts of the last few of the longest aims and of
// about the last aim.
type meter struct{ recent, latest, at float64 }

// rate counts some more and returns the rate a millisecond: over the last few of the longest aims and with
// some assumed; or over the last aim, where what is surely seen there is more: traffic may grow fast.
func (m *meter) rate(b *Balancer, more, assumed float64) float64 {
	short, long := b.longestAim, paceAims*b.longestAim
	m.latest = m.latest*math.Exp((m.at-b.now)/short) + more
	m.recent = m.recent*math.Exp((m.at-b.now)/long) + more
	m.at = b.now
	slow := (m.recent + assumed) / long / math.Max(-math.Expm1((b.started-b.now)/long), 1e-3)
	return math.Max(slow, (m.latest-2*math.Sqrt(m.latest))/short)
}

// openLoad is what is in flight, each attempt as one over its aim, at servers that never rested since they
// last answered and at the others.
func (b *Balancer) openLoad() (steady, rested float64) {
	for _, s := range b.servers {
		if s.restUntil == 0 {
			steady += s.load
		} else {
			rested += s.load
		}
	}
	return steady, rested
}

// server is what this sidecar knows of one server.
type server struct {
	Server
	place    uint64  // in the ring
	running  float64 // SWRR running value
	weight   float64 // in the current pick; 0: not in it
	favour   float64 // in the current pick, in rotations; see keys.go
	known    bool    // in the current pick: what it holds is known as well as can be
	size     float64 // learned logarithm of size, beyond its kind's and zone's
	inFlight int     // own attempts
	load     float64 // ... each as one over its aim

	errs      float64 // consecutive errors
	lastErr   float64
	restUntil float64 // 0: not rested
	answered  float64 // when it answered last
	rests     int
	dark      bool // the last probe got no answer
	down      bool // a connection was lost, and no answer came since

	coldSince float64 // start of its warm-up
	tokens    float64 // sends left in the cold budget
	tokensAt  float64

	probing    bool
	reported   float64 // requests it held at the last report
	reportedAt float64
	sentSince  float64 // own sends since
}

// takes counts an attempt that is work for the server now, or one less.
func (s *server) takes(one int, r *request) {
	s.inFlight += one
	s.load += float64(one) / r.class.LatencyTarget
	s.sentSince += float64(max(0, one))
}

// resetHealth clears what was held against a server.
func (s *server) resetHealth() {
	s.errs, s.rests, s.restUntil, s.down, s.dark = 0, 0, 0, false, false
}

type attempt struct {
	s       *server
	sent    float64
	live    bool
	clean   bool // proved never to have run
	overdue bool
}

type request struct {
	Request
	class     *Class
	stats     *classStats
	tenant    *tally
	arrived   float64
	deadline  float64
	tries     []attempt
	live      int
	done      bool
	stream    bool
	wakeAt    float64   // when its next timer comes
	probed    []*server // asked before the first send
	holdUntil float64
	lost      float64 // cost of the last attempt
	spent     float64 // ... and of all
	bodyGone  bool    // it cannot be sent again
}

// count takes the request into the counts of its class and tenant.
func (r *request) count() {
	r.stats.asked++
	r.tenant.asked++
}

func (r *request) mayHaveRun() bool {
	for i := range r.tries {
		if !r.tries[i].clean {
			return true
		}
	}
	return false
}

// ended counts an attempt as no longer out.
func (r *request) ended(a *attempt, res Result) {
	a.live, a.clean = false, res.NeverRan()
	if !r.BodyOpen {
		a.s.takes(-1, r)
	}
	r.live--
}

func (r *request) hasProbed(s *server) bool {
	for _, p := range r.probed {
		if p == s {
			return true
		}
	}
	return false
}

// classStats follows how long answers of a class take, and counts its requests.
type classStats struct {
	tally
	n, mean, dev, longest, worth float64
}

// tally counts the requests of a class or tenant, and those served within the aim. Both start at 1,
// so that neither is ever 0.
type tally struct{ asked, served, share float64 }

func (t *tally) weaker(than *tally) bool { return t.served*than.asked < than.served*t.asked }

// weighed is what all requests of this sidecar ask for, and who is served the least part of it.
type weighed struct {
	asked, worth float64
	weakClass    *classStats
	weakTenant   *tally
}

func (b *Balancer) weigh() weighed {
	all := weighed{worth: 1e-9, weakClass: &b.classes[0], weakTenant: &b.tenants[0]}
	for c := range b.classes {
		all.asked += b.classes[c].asked
		all.worth += b.classes[c].asked * b.classes[c].worth
		if b.classes[c].weaker(&all.weakClass.tally) {
			all.weakClass = &b.classes[c]
		}
	}
	for t := range b.tenants {
		if b.tenants[t].weaker(all.weakTenant) {
			all.weakTenant = &b.tenants[t]
		}
	}
	return all
}

// tenant returns the tally of a tenant; the last is for requests without one.
func (b *Balancer) tenant(i int) *tally {
	if i < 0 || i >= len(b.cfg.Tenants) {
		i = len(b.cfg.Tenants)
	}
	return &b.tenants[i]
}

func (c *classStats) add(took float64) {
	c.n = math.Min(c.n+1, 300)
	c.mean += (took - c.mean) / c.n
	c.dev += (math.Abs(took-c.mean) - c.dev) / c.n
}

// New returns a balancer with the given settings, completed as withDefaults tells; Start begins its life.
func New(cfg Config) *Balancer {
	cfg = cfg.withDefaults()
	b := &Balancer{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.SidecarNumber))),
		byID: map[ServerID]*server{}, reqs: map[RequestID]*request{},
		classes: make([]classStats, len(cfg.Classes)), tenants: make([]tally, len(cfg.Tenants)+1),
		kinds: map[int]float64{}, zones: map[int]float64{}, longestAim: 1, quickest: startAim, busy: 1,
		spare: repeatBurst / 2, overruns: map[subject]overrun{},
	}
	for i := range cfg.Classes {
		b.longestAim = math.Max(b.longestAim, cfg.Classes[i].LatencyTarget)
		b.classes[i].tally, b.classes[i].worth = tally{asked: 1, served: 1}, cfg.Classes[i].Value
	}
	for i := range b.tenants {
		b.tenants[i] = tally{asked: 1, served: 1}
		if i < len(cfg.Tenants) {
			b.tenants[i].share = cfg.Tenants[i].Share
		}
	}
	return b
}

// Handle takes one event and returns what to do. The actions are valid until the next call.
// An error means that the event cannot be; the balancer is unchanged.
func (b *Balancer) Handle(now float64, ev Event) ([]Action, error) {
	if now > b.now && !math.IsInf(now, 1) { // time never goes back
		b.now = now
	}
	b.out = b.out[:0]
	var err error
	switch ev := ev.(type) {
	case Request:
		if b.reqs[ev.ID] != nil {
			return nil, fmt.Errorf("request %d: the id is in use", ev.ID)
		}
		err = b.onRequest(ev)
	case Outcome:
		r := b.reqs[ev.Request]
		if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.tries) || !r.tries[ev.Attempt].live {
			return nil, fmt.Errorf("outcome of request %d, attempt %d: it is not out", ev.Request, ev.Attempt)
		}
		ev.Latency = finite(ev.Latency, math.MaxFloat32)
		b.onOutcome(r, ev)
	case Timer:
		b.onTimer(ev)
	case ServerList:
		b.onList(ev)
	case ProbeResult:
		b.onProbe(ev)
	case ClientGone:
		if r := b.reqs[ev.Request]; r != nil {
			b.close(r)
		}
	case ResponseStarted:
		b.onStarted(ev)
	case BodySent:
		b.onWritten(ev)
	}
	return b.out, err
}

func (b *Balancer) emit(a Action) { b.out = append(b.out, a) }

// mix scatters a number over all 64 bits, the same at every sidecar (the finalizer of splitmix64).
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func bound(v, least, most float64) float64 { return math.Max(least, math.Min(most, v)) }

func (b *Balancer) onTimer(ev Timer) {
	if ev.Token == listTimer {
		b.ask()
	} else if r := b.reqs[RequestID(ev.Token)]; r != nil {
		r.wakeAt = math.Inf(1) // not compared with the clock: a timer may come a rounding error early
		b.step(r)
	}
}

func (b *Balancer) onStarted(ev ResponseStarted) {
	if r := b.reqs[ev.Request]; r != nil && !r.done && !r.stream {
		r.stream = true // the client owns it now: no deadline, no repeat
		b.cancelOthers(r, ev.Attempt)
	}
}

// onWritten: the time of an open request, and of its attempt, begins.
func (b *Balancer) onWritten(ev BodySent) {
	r := b.reqs[ev.Request]
	if r == nil || !r.BodyOpen || ev.Attempt < 0 || ev.Attempt >= len(r.tries) || !r.tries[ev.Attempt].live {
		return
	}
	r.BodyOpen = false
	r.arrived, r.deadline = b.now, b.now+finite(r.Remaining, r.class.Deadline)
	r.tries[ev.Attempt].sent = b.now
	r.tries[ev.Attempt].s.takes(1, r)
	b.step(r)
}

// uploading: an attempt of an open request is out. Nothing is late before its last byte has left.
func (r *request) uploading() bool { return r.BodyOpen && r.live > 0 }

// warmth is the least fraction of its capacity that a cold server has.
func (b *Balancer) warmth(s *server) float64 {
	age := math.Max(0, b.now-s.coldSince) / b.cfg.SlowStartTime
	return b.cfg.SlowStartFraction + (1-b.cfg.SlowStartFraction)*math.Min(1, age)
}

// note takes in a load report.
func (b *Balancer) note(s *server, report []float32) {
	for i, f := range b.cfg.Fields {
		if i < len(report) && f == FieldInFlight && report[i] >= 0 && report[i] <= math.MaxFloat32 {
			s.reported, s.reportedAt, s.sentSince = float64(report[i]), b.now, 0
			b.busy += (math.Min(s.reported, 1) - b.busy) / recent
		}
	}
}

// markUnlisted: what a full list does not name is gone.
func (b *Balancer) markUnlisted(entries []Server) {
	listed := make(map[ServerID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for _, s := range b.servers {
		if !listed[s.ID] {
			s.State = Removed
		}
	}
}

// dropGone forgets servers that are gone and keeps the others in order.
func (b *Balancer) dropGone() {
	kept := b.servers[:0]
	for _, s := range b.servers {
		if s.State != Removed {
			kept = append(kept, s)
		} else {
			delete(b.byID, s.ID)
		}
	}
	b.servers = kept
	sort.Slice(kept, func(i, j int) bool { return kept[i].ID < kept[j].ID })
	b.ring = append(b.ring[:0], kept...)
	sort.SliceStable(b.ring, func(i, j int) bool { return b.ring[i].place < b.ring[j].place })
}

// time follows how long answers take, as a part of their aim, and the least it has been.
func (b *Balancer) time(took float64) {
	b.slowN = math.Min(b.slowN+1, recent)
	b.pressure += (math.Min(took, 2) - b.pressure) / pressureSpan
	b.slowness += (math.Min(took, 2) - b.slowness) / b.slowN
	if b.slowN == recent {
		b.quickest = math.Min(b.quickest, b.slowness)
	}
}

// stepHeld takes up the requests that wait for probes and keeps those that still do.
func (b *Balancer) stepHeld() {
	held := b.holding
	b.holding = held[:0]
	for _, r := range held {
		b.step(r)
		if !r.done && r.holdUntil > b.now {
			b.holding = append(b.holding, r)
		}
	}
}

// close marks a request as answered and gives up what is still out for it.
func (b *Balancer) close(r *request) {
	r.done = true
	b.cancelOthers(r, -1)
	if r.live == 0 {
		delete(b.reqs, r.ID)
	}
}

// send makes an attempt and counts it.
func (b *Balancer) send(r *request, s *server) {
	b.spare -= r.lost
	s.tokens--
	if !r.BodyOpen { // else it is no work before its last byte
		s.takes(1, r)
	}
	r.live++
	r.tries = append(r.tries, attempt{s: s, sent: b.now, live: true})
	b.emit(Action{Kind: Send, Request: r.ID, Server: s.ID})
}
