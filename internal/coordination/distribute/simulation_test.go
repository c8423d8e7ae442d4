package distribute

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Times of the simulated coordinators.
const (
	simFresh           = time.Second            // how long a confirmation by the leader is valid
	simConfirmInterval = 200 * time.Millisecond // between two requests for a confirmation
	simTick            = 50 * time.Millisecond
	simWindow          = 100 * time.Millisecond // calls are counted in windows of this length
)

// simulation runs coordinators that follow a log, and subscribers, in virtual time. It is deterministic for a seed.
type simulation struct {
	t            testing.TB
	rand         *rand.Rand
	now          time.Duration
	events       events
	seq          int
	log          []Command
	reference    *Register              // has applied the complete log
	history      map[string][]committed // by service
	coordinators []*simCoordinator
	subscribers  []*simSubscriber
	allDown      bool          // all coordinators are down, and so is the leader
	allUpAt      time.Duration // since when all coordinators are up again, after all were down or the faults have ended
	faultRate    float64       // the fraction of responses that are lost; as many are late, duplicated and corrupted
	calls        map[callWindow]int

	sent, accepted, stale, snapshots int
	faults                           [4]int        // responses that were lost, late, duplicated and corrupted
	acceptErrors                     map[error]int // results of Answered and Accept; nil: no error
}

// committed is a version with the time at which it was committed.
type committed struct {
	at time.Duration
	Version
}

// callWindow identifies the calls of one kind in one window.
type callWindow struct {
	window int
	kind   string // "reconnect": first or after a failed call; "unchanged": after a wait without a newer version; "version": after a version
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

func newSimulation(t testing.TB, seed uint64, coordinators, subscribers, services int) *simulation {
	sim := &simulation{t: t, rand: rand.New(rand.NewPCG(seed, 1)), reference: NewRegister(),
		history: map[string][]committed{}, calls: map[callWindow]int{}, acceptErrors: map[error]int{}}
	for i := range coordinators {
		coord := &simCoordinator{sim: sim, register: NewRegister(), up: true, phase: time.Duration(i) * time.Millisecond}
		coord.restart()
		sim.coordinators = append(sim.coordinators, coord)
		sim.after(coord.phase, coord.requestConfirmation)
		sim.after(coord.phase, coord.tick)
	}
	for i := range subscribers {
		s := &simSubscriber{sim: sim, service: fmt.Sprintf("service-%d", i%services), name: fmt.Sprintf("agent-%d", i), callKind: "reconnect"}
		s.Subscriber = NewSubscriber(DefaultSubscriberOptions(s.service, s.name, coordinators, sim.rand.Int64N), 0, 0)
		s.outbox.Set(Report{Sidecar: "sidecar-" + s.name})
		sim.subscribers = append(sim.subscribers, s)
		s.scheduleNextCall()
	}
	return sim
}

// after schedules a callback after a delay.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.now + d, sim.seq, do})
}

// run runs all events up to a time.
func (sim *simulation) run(until time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= until && !sim.t.Failed() {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = until
}

// between returns a random duration in [shortest, longest).
func (sim *simulation) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(sim.rand.Int64N(int64(longest-shortest)))
}

// delay returns a random delay of one message.
func (sim *simulation) delay() time.Duration {
	return sim.between(time.Millisecond, 20*time.Millisecond)
}

func (sim *simulation) chance(p float64) bool { return sim.rand.Float64() < p }

// publish commits a version, and checks that all subscribers of the service hold it, or a newer one, after the bound. Time during
// which all coordinators are down does not count.
func (sim *simulation) publish(service string, bound time.Duration) {
	v, _ := sim.reference.Newest(service)
	c := Command{Service: service, After: v.Revision, Content: json.RawMessage(fmt.Sprintf(`{"n":%d}`, len(sim.log)))}
	sim.log = append(sim.log, c)
	answer := sim.reference.Apply(c)
	if answer.Refused != "" || answer.Revision <= v.Revision {
		sim.t.Fatalf("%+v", answer)
	}
	if v, _ = sim.reference.Newest(service); v.Revision != answer.Revision {
		sim.t.Fatalf("%+v, newest %+v", answer, v)
	}
	sim.history[service] = append(sim.history[service], committed{sim.now, v})
	for _, coord := range sim.coordinators {
		coord.follow(len(sim.log))
	}
	sim.checkHeld(service, answer.Revision, bound, bound)
}

// checkHeld checks after a delay that all subscribers of a service hold a revision, or a newer one. If all coordinators were down
// meanwhile, it checks again later, so that the whole bound has passed since they came back.
func (sim *simulation) checkHeld(service string, r Revision, delay, bound time.Duration) {
	sim.after(delay, func() {
		if sim.allDown || sim.allUpAt+bound > sim.now && sim.allUpAt > sim.now-delay {
			sim.checkHeld(service, r, bound, bound)
			return
		}
		for _, s := range sim.subscribers {
			if s.service == service && s.Revision() < r && !s.absent {
				sim.t.Errorf("%v: %s holds %d of %s; %d was published %v ago", sim.now, s.name, s.Revision(), service, r, delay)
			}
		}
	})
}

// newestAt returns the newest revision of a service that was committed at a given time.
func (sim *simulation) newestAt(service string, at time.Duration) (r Revision) {
	for _, c := range sim.history[service] {
		if c.at <= at {
			r = c.Revision
		}
	}
	return r
}

// simCoordinator simulates a coordinator.
type simCoordinator struct {
	sim           *simulation
	register      *Register
	applied       int
	watches       *Watches
	reports       *ReportTable
	up            bool
	stopped       bool
	partitioned   bool // from the leader: the coordinator receives neither entries nor confirmations
	incarnation   int  // counts the starts of the process
	phase         time.Duration
	backlog       []func()   // callbacks that are run when the stopped process resumes
	open          []*simCall // calls that fail if the process is killed
	confirmations []leaderConfirmation
}

// leaderConfirmation is a confirmation by the leader that the log had a length of index.
type leaderConfirmation struct {
	requestedAt time.Duration
	index       int
}

// restart starts a new process, which keeps the register and loses everything else.
func (coord *simCoordinator) restart() {
	coord.incarnation++
	coord.watches = NewWatches(func(s string) (Version, bool) { return coord.register.Newest(s) }, simFresh)
	coord.reports, coord.open, coord.confirmations, coord.backlog = NewReportTable(), nil, nil, nil
}

// later calls do after a delay, unless the process was killed by then. While the process is stopped, the call is deferred.
func (coord *simCoordinator) later(d time.Duration, do func()) {
	incarnation := coord.incarnation
	coord.sim.after(d, func() { coord.run(incarnation, do) })
}

// run calls do now if the process runs, defers it if the process is stopped, and drops it if the incarnation has ended.
func (coord *simCoordinator) run(incarnation int, do func()) {
	switch {
	case !coord.up || incarnation != coord.incarnation:
	case coord.stopped:
		coord.backlog = append(coord.backlog, func() { coord.run(incarnation, do) })
	default:
		do()
	}
}

// tick ticks the process periodically.
func (coord *simCoordinator) tick() {
	coord.sim.after(simTick, coord.tick)
	coord.run(coord.incarnation, func() { coord.watches.Tick(coord.sim.now); coord.reports.Tick(coord.sim.now) })
}

// requestConfirmation requests a confirmation from the leader periodically.
func (coord *simCoordinator) requestConfirmation() {
	coord.sim.after(simConfirmInterval, coord.requestConfirmation)
	coord.run(coord.incarnation, func() {
		requestedAt, incarnation := coord.sim.now, coord.incarnation
		coord.sim.after(coord.sim.delay(), func() {
			if coord.partitioned || coord.sim.allDown {
				return
			}
			index := len(coord.sim.log)
			coord.sim.after(coord.sim.delay(), func() {
				coord.run(incarnation, func() {
					coord.confirmations = append(coord.confirmations, leaderConfirmation{requestedAt, index})
					coord.confirm()
					if coord.applied < index {
						coord.follow(index)
					}
				})
			})
		})
	})
}

// follow applies the log up to an index, after a delay.
func (coord *simCoordinator) follow(index int) {
	if coord.partitioned {
		return
	}
	coord.later(coord.sim.delay(), func() {
		if coord.partitioned || coord.applied >= index {
			return
		}
		if index-coord.applied > 25 { // the entries are replaced by a snapshot
			var err error
			if coord.register, err = RestoreRegister(coord.sim.reference.Snapshot()); err != nil {
				coord.sim.t.Fatal(err)
			}
			coord.sim.snapshots++
			coord.applied = len(coord.sim.log)
			coord.watches.ChangedAll(coord.sim.now)
		}
		for ; coord.applied < index; coord.applied++ {
			coord.register.Apply(coord.sim.log[coord.applied])
			coord.watches.Changed(coord.sim.now, coord.sim.log[coord.applied].Service)
		}
		coord.confirm()
	})
}

// confirm applies the confirmations whose index the register has reached.
func (coord *simCoordinator) confirm() {
	for _, c := range coord.confirmations {
		if c.index <= coord.applied {
			coord.watches.Confirmed(c.requestedAt)
		}
	}
	if len(coord.confirmations) > 50 {
		coord.confirmations = coord.confirmations[25:]
	}
}

// kill ends the process: its open calls fail.
func (coord *simCoordinator) kill() {
	coord.up, coord.stopped = false, false
	for _, c := range coord.open {
		coord.sim.after(coord.sim.delay(), c.failed)
	}
	coord.open = nil
}

// start starts a process after a kill.
func (coord *simCoordinator) start() { coord.up = true; coord.restart() }

// resume continues a stopped process, which first runs what was deferred.
func (coord *simCoordinator) resume() {
	coord.stopped = false
	all := coord.backlog
	coord.backlog = nil
	for _, do := range all {
		do()
	}
}

// receive handles a call at the coordinator.
func (coord *simCoordinator) receive(c *simCall) {
	if !coord.up {
		coord.sim.after(coord.sim.delay(), c.failed)
		return
	}
	if len(coord.open) > 1000 {
		coord.open = coord.open[500:]
	}
	coord.open = append(coord.open, c)
	coord.run(coord.incarnation, func() {
		if c.disconnected {
			return
		}
		watch := c.request.Watch
		if err := watch.Check(); err != nil {
			coord.sim.t.Errorf("%+v: %v", watch, err)
		}
		if watch.Reports != nil {
			coord.reports.SetReports(coord.sim.now, watch.Service, watch.Member, watch.Reports)
		}
		coord.reports.Touch(coord.sim.now, watch.Service, watch.Member)
		coord.reports.SetKnownRevision(watch.Service, watch.Member, watch.Known)
		c.cancel = coord.watches.Add(coord.sim.now, watch, func(response WatchResponse, err error) { coord.answer(c, response, err) })
	})
}

// answer checks a response and sends it.
func (coord *simCoordinator) answer(c *simCall, response WatchResponse, err error) {
	sim, watch := coord.sim, c.request.Watch
	if c.disconnected || c.answeredByServer {
		sim.t.Errorf("%v: the call of %s is answered after the agent disconnected, or twice", sim.now, c.sub.name)
	}
	if c.answeredByServer = true; err != nil {
		sim.stale++
		sim.after(sim.delay(), c.failed)
		return
	}
	known := watch.Known
	if response.Newer != nil {
		if known = response.Newer.Revision; known <= watch.Known {
			sim.t.Errorf("%v: %s holds %d and is sent %d", sim.now, c.sub.name, watch.Known, known)
		}
		c.sub.versionsSent++
		sim.sent++
	}
	if minimum := sim.newestAt(watch.Service, sim.now-simFresh); known < minimum {
		sim.t.Errorf("%v: the answer to %s leaves %d as the newest; %d was committed at least %v ago",
			sim.now, c.sub.name, known, minimum, simFresh)
	}
	response.ReportsReceived = coord.reports.HasReports(watch.Service, watch.Member)
	d := sim.delay()
	switch {
	case sim.chance(sim.faultRate):
		sim.faults[0]++
		return // lost
	case sim.chance(sim.faultRate):
		sim.faults[1]++
		d += sim.between(0, 15*time.Second) // late
	case sim.chance(sim.faultRate): // duplicated
		sim.faults[2]++
		sim.after(d+sim.between(0, time.Second), func() { c.answered(response) })
	case sim.chance(sim.faultRate):
		sim.faults[3]++
		response.Newer = sim.corruptVersion(watch.Service)
	}
	sim.after(d, func() { c.answered(response) })
}

// corruptVersion returns a version that no subscriber may accept: an earlier one, one of another service, or one with truncated
// content.
func (sim *simulation) corruptVersion(service string) *Version {
	all := sim.history[service]
	if len(all) == 0 {
		return nil
	}
	v := all[sim.rand.IntN(len(all))].Version
	switch sim.rand.IntN(3) {
	case 0:
		v.Revision, v.Service = sim.reference.Last()+1, "another"
	case 1:
		v.Revision, v.Content = sim.reference.Last()+1, v.Content[:len(v.Content)/2]
	}
	return &v
}
