package distribute

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The times of the simulated coordinators.
const (
	simFresh           = time.Second            // how long a confirmation by the leader is good
	simConfirmInterval = 200 * time.Millisecond // between two requests for it
	simTick            = 50 * time.Millisecond
	simWindow          = 100 * time.Millisecond // calls are counted in windows of this length
)

// world is coordinators that follow a log, and subscribers, in virtual time: the seed determines everything.
type world struct {
	t            testing.TB
	rand         *rand.Rand
	now          time.Duration
	events       events
	seq          int
	log          []Command
	truth        *Register              // of the complete log
	history      map[string][]committed // by service
	coordinators []*simCoordinator
	subscribers  []*simSubscriber
	allDown      bool          // all coordinators are down, and so is the leader
	allUpAt      time.Duration // when all were up again last
	faultRate    float64       // the fraction of responses that are lost; as many are late, duplicated, and corrupted
	calls        map[callWindow]int

	sent, accepted, stale, snapshots int
	faults                           [4]int // responses lost, late, duplicated, corrupted
	refused                          map[error]int
}

type committed struct {
	at time.Duration
	Version
}

// callWindow is the calls of a kind in one window.
type callWindow struct {
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
	w := &world{t: t, rand: rand.New(rand.NewPCG(seed, 1)), truth: NewRegister(),
		history: map[string][]committed{}, calls: map[callWindow]int{}, refused: map[error]int{}}
	for i := range nodes {
		n := &simCoordinator{world: w, register: NewRegister(), up: true, phase: time.Duration(i) * time.Millisecond}
		n.restart()
		w.coordinators = append(w.coordinators, n)
		w.after(n.phase, n.requestConfirmation)
		w.after(n.phase, n.tick)
	}
	for i := range subs {
		s := &simSubscriber{world: w, service: fmt.Sprintf("service-%d", i%services), name: fmt.Sprintf("agent-%d", i), callKind: "return"}
		s.Subscriber = NewSubscriber(DefaultSubscriberOptions(s.service, s.name, nodes, w.rand.Int64N), 0, 0)
		s.outbox.Set(Report{Sidecar: "sidecar-" + s.name})
		w.subscribers = append(w.subscribers, s)
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

// between returns a random time.
func (w *world) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(w.rand.Int64N(int64(longest-shortest)))
}

// delay returns the delay of one message.
func (w *world) delay() time.Duration { return w.between(time.Millisecond, 20*time.Millisecond) }

func (w *world) chance(p float64) bool { return w.rand.Float64() < p }

// publish commits a version. All subscribers of the service have it, or a newer one, after the bound, in which
// no coordinator was down.
func (w *world) publish(service string, bound time.Duration) {
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
	for _, n := range w.coordinators {
		n.follow(len(w.log))
	}
	w.checkHeld(service, answer.Revision, bound, bound)
}

// checkHeld checks after a delay that all subscribers of a service hold a revision, or a newer one.
func (w *world) checkHeld(service string, r Revision, delay, bound time.Duration) {
	w.after(delay, func() {
		if w.allDown || w.allUpAt+bound > w.now && w.allUpAt > w.now-delay {
			w.checkHeld(service, r, bound, bound)
			return
		}
		for _, s := range w.subscribers {
			if s.service == service && s.Revision() < r && !s.asleep {
				w.t.Errorf("%v: %s holds %d of %s; %d was published %v ago", w.now, s.name, s.Revision(), service, r, delay)
			}
		}
	})
}

// newestAt returns the newest revision that was committed at a moment.
func (w *world) newestAt(service string, at time.Duration) (r Revision) {
	for _, c := range w.history[service] {
		if c.at <= at {
			r = c.Revision
		}
	}
	return r
}

// simCoordinator is a coordinator.
type simCoordinator struct {
	world         *world
	register      *Register
	applied       int
	watches       *Watches
	reports       *ReportTable
	up            bool
	stopped       bool
	partitioned   bool // from the leader: it gets no entries, and no confirmation
	incarnation   int  // counts starts of the process
	phase         time.Duration
	backlog       []func()
	open          []*call
	confirmations []leaderConfirmation
}

// leaderConfirmation says that the log was that long when it was requested.
type leaderConfirmation struct {
	requestedAt time.Duration
	index       int
}

// restart starts a new process: its register is kept, and everything else is lost.
func (n *simCoordinator) restart() {
	n.incarnation++
	n.watches = NewWatches(func(s string) (Version, bool) { return n.register.Newest(s) }, simFresh)
	n.reports, n.open, n.confirmations, n.backlog = NewReportTable(), nil, nil, nil
}

// later calls do in this process after a delay, and when it runs.
func (n *simCoordinator) later(d time.Duration, do func()) {
	life := n.incarnation
	n.world.after(d, func() { n.run(life, do) })
}

func (n *simCoordinator) run(life int, do func()) {
	switch {
	case !n.up || life != n.incarnation:
	case n.stopped:
		n.backlog = append(n.backlog, func() { n.run(life, do) })
	default:
		do()
	}
}

func (n *simCoordinator) tick() {
	n.world.after(simTick, n.tick)
	n.run(n.incarnation, func() { n.watches.Tick(n.world.now); n.reports.Tick(n.world.now) })
}

// requestConfirmation requests a confirmation from the leader again and again.
func (n *simCoordinator) requestConfirmation() {
	n.world.after(simConfirmInterval, n.requestConfirmation)
	n.run(n.incarnation, func() {
		requestedAt, incarnation := n.world.now, n.incarnation
		n.world.after(n.world.delay(), func() {
			if n.partitioned || n.world.allDown {
				return
			}
			index := len(n.world.log)
			n.world.after(n.world.delay(), func() {
				n.run(incarnation, func() {
					n.confirmations = append(n.confirmations, leaderConfirmation{requestedAt, index})
					n.confirm()
					if n.applied < index {
						n.follow(index)
					}
				})
			})
		})
	})
}

// follow applies the log up to an index, after a delay.
func (n *simCoordinator) follow(index int) {
	if n.partitioned {
		return
	}
	n.later(n.world.delay(), func() {
		if n.partitioned || n.applied >= index {
			return
		}
		if index-n.applied > 25 { // by a snapshot
			var err error
			if n.register, err = RestoreRegister(n.world.truth.Snapshot()); err != nil {
				n.world.t.Fatal(err)
			}
			n.world.snapshots++
			n.applied = len(n.world.log)
			n.watches.ChangedAll(n.world.now)
		}
		for ; n.applied < index; n.applied++ {
			n.register.Apply(n.world.log[n.applied])
			n.watches.Changed(n.world.now, n.world.log[n.applied].Service)
		}
		n.confirm()
	})
}

func (n *simCoordinator) confirm() {
	for _, w := range n.confirmations {
		if w.index <= n.applied {
			n.watches.Confirmed(w.requestedAt)
		}
	}
	if len(n.confirmations) > 50 {
		n.confirmations = n.confirmations[25:]
	}
}

func (n *simCoordinator) kill() {
	n.up, n.stopped = false, false
	for _, c := range n.open {
		n.world.after(n.world.delay(), c.failed)
	}
	n.open = nil
}

func (n *simCoordinator) revive() { n.up = true; n.restart() }

func (n *simCoordinator) resume() {
	n.stopped = false
	all := n.backlog
	n.backlog = nil
	for _, do := range all {
		do()
	}
}

// receive takes in a call.
func (n *simCoordinator) receive(c *call) {
	if !n.up {
		n.world.after(n.world.delay(), c.failed)
		return
	}
	if len(n.open) > 1000 {
		n.open = n.open[500:]
	}
	n.open = append(n.open, c)
	n.run(n.incarnation, func() {
		if c.disconnected {
			return
		}
		w := c.call.Watch
		if err := w.Check(); err != nil {
			n.world.t.Errorf("%+v: %v", w, err)
		}
		if w.Reports != nil {
			n.reports.SetReports(n.world.now, w.Service, w.Member, w.Reports)
		}
		n.reports.Touch(n.world.now, w.Service, w.Member)
		n.reports.SetKnownRevision(w.Service, w.Member, w.Known)
		c.cancel = n.watches.Add(n.world.now, w, func(response WatchResponse, err error) { n.answer(c, response, err) })
	})
}

// answer checks a response and sends it.
func (n *simCoordinator) answer(c *call, response WatchResponse, err error) {
	w, watch := n.world, c.call.Watch
	if c.disconnected || c.answeredByServer {
		w.t.Errorf("%v: %s is answered after it disconnected, or twice", w.now, c.sub.name)
	}
	if c.answeredByServer = true; err != nil {
		w.stale++
		w.after(w.delay(), c.failed)
		return
	}
	known := watch.Known
	if response.Newer != nil {
		if known = response.Newer.Revision; known <= watch.Known {
			w.t.Errorf("%v: %s holds %d and is sent %d", w.now, c.sub.name, watch.Known, known)
		}
		c.sub.versionsSent++
		w.sent++
	}
	if least := w.newestAt(watch.Service, w.now-simFresh); known < least {
		w.t.Errorf("%v: %s is answered that %d is the newest; %d was committed %v ago",
			w.now, c.sub.name, known, least, simFresh)
	}
	response.ReportsReceived = n.reports.HasReports(watch.Service, watch.Member)
	d := w.delay()
	switch {
	case w.chance(w.faultRate):
		w.faults[0]++
		return // lost
	case w.chance(w.faultRate):
		w.faults[1]++
		d += w.between(0, 15*time.Second) // late
	case w.chance(w.faultRate): // duplicated
		w.faults[2]++
		w.after(d+w.between(0, time.Second), func() { c.answered(response) })
	case w.chance(w.faultRate):
		w.faults[3]++
		response.Newer = w.corruptVersion(watch.Service)
	}
	w.after(d, func() { c.answered(response) })
}

// corruptVersion returns what no subscriber may accept: an older version, one of another service, or an incomplete one.
func (w *world) corruptVersion(service string) *Version {
	all := w.history[service]
	if len(all) == 0 {
		return nil
	}
	v := all[w.rand.IntN(len(all))].Version
	switch w.rand.IntN(3) {
	case 0:
		v.Revision, v.Service = w.truth.Last()+1, "another"
	case 1:
		v.Revision, v.Content = w.truth.Last()+1, v.Content[:len(v.Content)/2]
	}
	return &v
}
