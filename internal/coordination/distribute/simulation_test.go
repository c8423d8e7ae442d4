package distribute

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// What the simulated coordinators go by.
const (
	simFresh = time.Second            // how long a leader's word is good
	simWord  = 200 * time.Millisecond // how often it is asked for
	simTick  = 50 * time.Millisecond
	simCount = 100 * time.Millisecond // asks are counted in windows of it
)

// world is coordinators that follow a log, and subscribers, in virtual time: everything happens in an order that
// the seed gives.
type world struct {
	t       testing.TB
	rnd     *rand.Rand
	now     time.Duration
	events  events
	seq     int
	log     []Command
	truth   *Register              // of the whole log
	history map[string][]committed // by service
	nodes   []*node
	subs    []*sub
	away    bool          // all coordinators are, and so the leader is
	back    time.Duration // when all were back last
	faulty  float64       // how many answers are lost; as many are late, doubled, and broken
	asks    map[asked]int

	told, taken, stale, snapshots int
	spoilt                        [4]int // answers lost, late, doubled, broken
	refused                       map[error]int
}

type committed struct {
	at time.Duration
	Version
}

// asked is asks of a kind in one window.
type asked struct {
	window int
	kind   string // "return": first or after a loss; "hold": after nothing newer; "version": after a version
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newWorld(t testing.TB, seed uint64, nodes, subs, services int) *world {
	w := &world{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), truth: NewRegister(),
		history: map[string][]committed{}, asks: map[asked]int{}, refused: map[error]int{}}
	for i := range nodes {
		n := &node{w: w, reg: NewRegister(), up: true, phase: time.Duration(i) * time.Millisecond}
		n.begin()
		w.nodes = append(w.nodes, n)
		w.after(n.phase, n.word)
		w.after(n.phase, n.tick)
	}
	for i := range subs {
		s := &sub{w: w, service: fmt.Sprintf("service-%d", i%services), name: fmt.Sprintf("agent-%d", i), why: "return"}
		s.Subscriber = NewSubscriber(DefaultSubscriberOptions(s.service, s.name, nodes, w.rnd.Int64N), 0, 0)
		s.outbox.Set(Report{Sidecar: "sidecar-" + s.name})
		w.subs = append(w.subs, s)
		s.wake()
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + d, w.seq, do})
}

func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until && !w.t.Failed() {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// between is a random time.
func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rnd.Int64N(int64(most-least)))
}

// delay is of one message.
func (w *world) delay() time.Duration { return w.between(time.Millisecond, 20*time.Millisecond) }

func (w *world) chance(p float64) bool { return w.rnd.Float64() < p }

// publish commits a version. All subscribers of the service have it, or a newer one, after the bound, in which
// nobody was away.
func (w *world) publish(service string, bound time.Duration) Revision {
	v, _ := w.truth.Newest(service)
	c := Command{Service: service, After: v.Revision, Content: json.RawMessage(fmt.Sprintf(`{"n":%d}`, len(w.log)))}
	w.log = append(w.log, c)
	answer := w.truth.Apply(c)
	if answer.Refused != "" || answer.Revision <= v.Revision {
		w.t.Fatalf("%+v", answer)
	}
	if v, _ = w.truth.Newest(service); v.Revision != answer.Revision {
		w.t.Fatalf("%+v, newest %+v", answer, v)
	}
	w.history[service] = append(w.history[service], committed{w.now, v})
	for _, n := range w.nodes {
		n.follow(len(w.log))
	}
	w.judge(service, answer.Revision, bound, bound)
	return answer.Revision
}

func (w *world) judge(service string, r Revision, in, bound time.Duration) {
	w.after(in, func() {
		if w.away || w.back+bound > w.now && w.back > w.now-in {
			w.judge(service, r, bound, bound)
			return
		}
		for _, s := range w.subs {
			if s.service == service && s.Revision() < r && !s.asleep {
				w.t.Errorf("%v: %s holds %d of %s; %d was published %v ago", w.now, s.name, s.Revision(), service, r, in)
			}
		}
	})
}

// floor is the newest revision that was committed at that moment.
func (w *world) floor(service string, at time.Duration) (r Revision) {
	for _, c := range w.history[service] {
		if c.at <= at {
			r = c.Revision
		}
	}
	return r
}

// node is a coordinator.
type node struct {
	w       *world
	reg     *Register
	applied int
	watches *Watches
	sums    *ReportTable
	up      bool
	stopped bool
	cut     bool // from the leader: it gets no entries, and no word
	life    int  // a process
	phase   time.Duration
	backlog []func()
	open    []*call
	words   []word
}

// word is a leader's: the log was that long when it was asked for.
type word struct {
	asked time.Duration
	index int
}

// begin is a new process: what it heard is gone, its register is kept.
func (n *node) begin() {
	n.life++
	n.watches = NewWatches(func(s string) (Version, bool) { return n.reg.Newest(s) }, simFresh)
	n.sums, n.open, n.words, n.backlog = NewReportTable(), nil, nil, nil
}

// later does something at this process, after a delay and when it runs.
func (n *node) later(d time.Duration, do func()) {
	life := n.life
	n.w.after(d, func() { n.run(life, do) })
}

func (n *node) run(life int, do func()) {
	switch {
	case !n.up || life != n.life:
	case n.stopped:
		n.backlog = append(n.backlog, func() { n.run(life, do) })
	default:
		do()
	}
}

func (n *node) tick() {
	n.w.after(simTick, n.tick)
	n.run(n.life, func() { n.watches.Tick(n.w.now); n.sums.Tick(n.w.now) })
}

// word asks for the leader's.
func (n *node) word() {
	n.w.after(simWord, n.word)
	n.run(n.life, func() {
		asked, life := n.w.now, n.life
		n.w.after(n.w.delay(), func() {
			if n.cut || n.w.away {
				return
			}
			index := len(n.w.log)
			n.w.after(n.w.delay(), func() {
				n.run(life, func() {
					n.words = append(n.words, word{asked, index})
					n.confirm()
					if n.applied < index {
						n.follow(index)
					}
				})
			})
		})
	})
}

// follow brings the log up to there, after a delay.
func (n *node) follow(index int) {
	if n.cut {
		return
	}
	n.later(n.w.delay(), func() {
		if n.cut || n.applied >= index {
			return
		}
		if index-n.applied > 25 { // by a snapshot
			var err error
			if n.reg, err = RestoreRegister(n.w.truth.Snapshot()); err != nil {
				n.w.t.Fatal(err)
			}
			n.w.snapshots++
			n.applied = len(n.w.log)
			n.watches.ChangedAll(n.w.now)
		}
		for ; n.applied < index; n.applied++ {
			n.reg.Apply(n.w.log[n.applied])
			n.watches.Changed(n.w.now, n.w.log[n.applied].Service)
		}
		n.confirm()
	})
}

func (n *node) confirm() {
	for _, w := range n.words {
		if w.index <= n.applied {
			n.watches.Confirmed(w.asked)
		}
	}
	if len(n.words) > 50 {
		n.words = n.words[25:]
	}
}

func (n *node) kill() {
	n.up, n.stopped = false, false
	for _, c := range n.open {
		n.w.after(n.w.delay(), c.failed)
	}
	n.open = nil
}

func (n *node) revive() { n.up = true; n.begin() }

func (n *node) awake() {
	n.stopped = false
	all := n.backlog
	n.backlog = nil
	for _, do := range all {
		do()
	}
}

// ask is a call that came in.
func (n *node) ask(c *call) {
	if !n.up {
		n.w.after(n.w.delay(), c.failed)
		return
	}
	if len(n.open) > 1000 {
		n.open = n.open[500:]
	}
	n.open = append(n.open, c)
	n.run(n.life, func() {
		if c.gone {
			return
		}
		w := c.call.Watch
		if err := w.Check(); err != nil {
			n.w.t.Errorf("%+v: %v", w, err)
		}
		if w.Reports != nil {
			n.sums.SetReports(n.w.now, w.Service, w.Member, w.Reports)
		}
		n.sums.Touch(n.w.now, w.Service, w.Member)
		n.sums.SetKnownRevision(w.Service, w.Member, w.Known)
		c.cancel = n.watches.Add(n.w.now, w, func(told WatchResponse, err error) { n.answer(c, told, err) })
	})
}

// answer sends one, and judges it.
func (n *node) answer(c *call, told WatchResponse, err error) {
	w, watch := n.w, c.call.Watch
	if c.gone || c.told {
		w.t.Errorf("%v: %s is told after it went, or twice", w.now, c.sub.name)
	}
	if c.told = true; err != nil {
		w.stale++
		w.after(w.delay(), c.failed)
		return
	}
	known := watch.Known
	if told.Newer != nil {
		if known = told.Newer.Revision; known <= watch.Known {
			w.t.Errorf("%v: %s holds %d and is told %d", w.now, c.sub.name, watch.Known, known)
		}
		c.sub.told++
		w.told++
	}
	if least := w.floor(watch.Service, w.now-simFresh); known < least {
		w.t.Errorf("%v: %s is told that %d is the newest; %d was committed %v ago",
			w.now, c.sub.name, known, least, simFresh)
	}
	told.ReportsReceived = n.sums.HasReports(watch.Service, watch.Member)
	d := w.delay()
	switch {
	case w.chance(w.faulty):
		w.spoilt[0]++
		return // lost
	case w.chance(w.faulty):
		w.spoilt[1]++
		d += w.between(0, 15*time.Second) // late
	case w.chance(w.faulty): // doubled
		w.spoilt[2]++
		w.after(d+w.between(0, time.Second), func() { c.answered(told) })
	case w.chance(w.faulty):
		w.spoilt[3]++
		told.Newer = w.broken(watch.Service)
	}
	w.after(d, func() { c.answered(told) })
}

// broken is what nobody should take: an older version, one of another service, or half of one.
func (w *world) broken(service string) *Version {
	all := w.history[service]
	if len(all) == 0 {
		return nil
	}
	v := all[w.rnd.IntN(len(all))].Version
	switch w.rnd.IntN(3) {
	case 0:
		v.Revision, v.Service = w.truth.Last()+1, "another"
	case 1:
		v.Revision, v.Content = w.truth.Last()+1, v.Content[:len(v.Content)/2]
	}
	return &v
}
