package balance

import (
	"math/rand"
	"testing"
)

// workload feeds one balancer random but legal events and checks the first three rules of doc.go at every action.
type workload struct {
	t       *testing.T
	rng     *rand.Rand
	b       *Balancer
	cfg     Config
	now     float64
	servers map[ServerID]*Server
	ready   map[ServerID]bool // servers that accept requests
	open    map[RequestID]*openRequest
	timers  []pendingTimer
	probes  []ServerID
}

type openRequest struct {
	class    int
	deadline float64
	answered bool
	attempts []openAttempt
}

type openAttempt struct {
	server   Server
	sentAt   float64
	live     bool
	neverRan bool
}

type pendingTimer struct {
	at    float64
	token uint64
}

func newWorkload(t *testing.T, rng *rand.Rand, cfg Config) *workload {
	w := &workload{
		t: t, rng: rng, b: New(cfg), cfg: cfg, now: 5000, servers: map[ServerID]*Server{},
		ready: map[ServerID]bool{}, open: map[RequestID]*openRequest{},
	}
	w.apply(w.b.Start(w.now))
	return w
}

func TestRandomEventsKeepTheRules(t *testing.T) {
	for seed := range int64(40) {
		rng := rand.New(rand.NewSource(seed))
		cfg := baseConfig()
		cfg.Seed = uint64(seed)
		cfg.Parallel, cfg.Cancel = seed%2 == 0, seed%3 != 0
		cfg.KeyAffinity, cfg.Penalties.Waste = seed%5 < 2, float64(seed%4)/10
		cfg.MaxAttempts = 1 + int(seed%4)
		cfg.Subscribe = seed%5 == 0
		if seed%4 == 1 {
			cfg.Probes, cfg.Reports, cfg.Fields = true, ReportProbe, []ReportField{FieldInFlight, FieldQueue, FieldUtil}
		}
		w := newWorkload(t, rng, cfg)
		w.updateList(ListCached)
		for id := RequestID(1); id <= 1500; id++ {
			w.now += rng.ExpFloat64() * 8
			w.fireTimers()
			w.randomEvent(id)
		}
		for w.now += 10; len(w.timers) > 0 && w.anyUnanswered(); w.now += 10 {
			w.fireTimers()
		}
		if w.anyUnanswered() {
			t.Fatalf("seed %d: a request was never answered", seed)
		}
	}
}

// randomEvent hands in an event; id is the ID of a new request.
func (w *workload) randomEvent(id RequestID) {
	switch n := w.rng.Intn(20); {
	case n < 9:
		class := w.rng.Intn(len(w.cfg.Classes))
		left := w.cfg.Classes[class].Deadline * w.rng.Float64()
		if w.rng.Intn(20) == 0 {
			left = 0
		}
		w.open[id] = &openRequest{class: class, deadline: w.now + left}
		w.handle(Request{ID: id, Class: class, Remaining: left, Key: uint64(id % 7), ClientRetry: id%3 == 0})
	case n < 17:
		w.endRandomAttempt(id)
	case n < 18:
		w.updateList([]ListKind{ListFull, ListDelta, ListCached}[w.rng.Intn(3)])
	case n < 19:
		if len(w.probes) > 0 {
			s := w.probes[0]
			w.probes = w.probes[1:]
			w.handle(ProbeResult{Server: s, Latency: 1, LoadReport: []float32{float32(w.rng.Intn(6)), 0, 0.5}})
		}
	default:
		gone := id - RequestID(w.rng.Intn(20)) // ignored if there was no such request or it has ended
		if o := w.open[gone]; o != nil {
			o.answered = true
		}
		w.handle(ClientGone{Request: gone})
	}
}

// endRandomAttempt ends a random live attempt of a recent request, if there is one.
func (w *workload) endRandomAttempt(before RequestID) {
	for id := before; id > 0 && id+60 > before; id-- {
		o := w.open[id]
		if o == nil {
			continue
		}
		for i := range o.attempts {
			if a := &o.attempts[i]; a.live && w.rng.Intn(3) > 0 {
				result := []Result{OK, OK, OK, OK, Failed, Rejected, ConnectFailed, Reset, TimedOut}[w.rng.Intn(9)]
				a.live, a.neverRan = false, result.NeverRan()
				o.answered = o.answered || result == OK
				w.handle(Outcome{
					Request: id, Attempt: i, Server: a.server.ID, Result: result, Latency: w.now - a.sentAt, Finished: o.answered,
				})
				return
			}
		}
	}
}

func (w *workload) updateList(kind ListKind) {
	var entries []Server
	for i := range 10 {
		id := ServerID(i + 1)
		s := w.servers[id]
		if s == nil || w.rng.Intn(4) == 0 {
			s = &Server{ID: id, State: ServerState(w.rng.Intn(3) % 2), Capacity: 1, Cell: i % 3, Zone: i % 2, Kind: i % 2}
			if w.rng.Intn(3) == 0 {
				s.StartedAt = w.now
			}
			w.servers[id] = s
		}
		if kind == ListDelta && w.rng.Intn(2) == 0 {
			continue
		}
		if kind != ListDelta && w.rng.Intn(8) == 0 {
			w.ready[id] = false
			continue
		}
		w.ready[id] = s.State == Ready
		entries = append(entries, *s)
	}
	w.handle(ServerList{Kind: kind, Servers: entries})
}

func (w *workload) handle(ev Event) {
	acts, err := w.b.Handle(w.now, ev)
	if err != nil {
		w.t.Fatalf("%#v: %v", ev, err)
	}
	w.apply(acts)
}

func (w *workload) apply(acts []Action) {
	for _, a := range acts {
		switch a.Kind {
		case SetTimer:
			w.timers = append(w.timers, pendingTimer{w.now + a.After, a.Token})
		case Probe:
			if !w.cfg.Probes {
				w.t.Fatal("probed where probes are not allowed")
			}
			w.probes = append(w.probes, a.Server)
		case Send:
			w.checkSend(a)
		case Reject, Fail:
			w.checkFinalAnswer(a)
		case Cancel:
			if !w.cfg.Cancel || a.Attempt >= len(w.open[a.Request].attempts) {
				w.t.Fatalf("cancel of %+v", a)
			}
		}
	}
}

func (w *workload) checkSend(a Action) {
	o, c := w.open[a.Request], w.cfg.Classes[w.open[a.Request].class]
	switch {
	case o.answered:
		w.t.Fatalf("request %d was sent after its answer", a.Request)
	case !w.ready[a.Server]:
		w.t.Fatalf("request %d was sent to server %d, which is draining or removed", a.Request, a.Server)
	case len(o.attempts) >= w.cfg.MaxAttempts:
		w.t.Fatalf("request %d was sent too often", a.Request)
	}
	to := *w.servers[a.Server]
	for _, p := range o.attempts {
		if p.live && !w.cfg.Parallel {
			w.t.Fatalf("request %d has two attempts in flight", a.Request)
		}
		if p.neverRan || c.Effect == Safe {
			continue
		}
		apart := c.Group == GroupCell && p.server.Cell != to.Cell || c.Group == GroupZone && p.server.Zone != to.Zone
		if c.Effect == Unsafe || apart || w.now >= p.sentAt+c.Window {
			w.t.Fatalf("request %d may have run and was sent again", a.Request)
		}
	}
	o.attempts = append(o.attempts, openAttempt{server: to, sentAt: w.now, live: true})
}

func (w *workload) checkFinalAnswer(a Action) {
	o, c := w.open[a.Request], w.cfg.Classes[w.open[a.Request].class]
	if o.answered || w.now > o.deadline+w.cfg.AnswerSlack {
		w.t.Fatalf("request %d: a second or late answer at %v, deadline %v", a.Request, w.now, o.deadline)
	}
	o.answered = true
	if a.Kind == Fail || c.Effect == Safe || c.Effect == Keyed && c.Group == GroupAll {
		return
	}
	for _, p := range o.attempts {
		if !p.neverRan {
			w.t.Fatalf("request %d may have run and was rejected", a.Request)
		}
	}
}

// fireTimers hands in the timers that are due, each at its own time.
func (w *workload) fireTimers() {
	end := w.now
	for {
		next := -1
		for i, p := range w.timers {
			if p.at <= end && (next < 0 || p.at < w.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		p := w.timers[next]
		w.timers = append(w.timers[:next], w.timers[next+1:]...)
		w.now = p.at
		w.handle(Timer{Token: p.token})
	}
	w.now = end
}

func (w *workload) anyUnanswered() bool {
	for _, o := range w.open {
		if !o.answered {
			return true
		}
	}
	return false
}
