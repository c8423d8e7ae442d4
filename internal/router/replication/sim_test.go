package replication

import (
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"
)

// simulation runs several replicas in virtual time, with a network that delays and loses messages, and disks that lose
// unsynced data. All random choices are drawn from one seed.
type simulation struct {
	t               testing.TB
	random          *rand.Rand
	now             time.Duration
	events          []event
	eventNumber     uint64
	hosts           map[string]*host
	seeds           []string
	blockedLinks    map[[2]string]bool
	history         []operation
	lossProbability float64 // that a message is lost
	restoreError    error   // of a process that could not start from its disk

	bytesPerSecond int // rate of each machine's link; 0: unlimited
	sentBytes      int // by all machines

	// Settings with which a test removes guards.
	tolerance        int // FaultTolerance of the replicas
	acksBeforeSync   bool
	reusesDiskIDs    bool
	unconfirmedReads bool
	intercept        func(to *process, m Message) Message
}

type event struct {
	at     time.Duration
	number uint64
	do     func()
}

// host is one machine. Its disk outlives its processes.
type host struct {
	address, zone    string
	disk             *PersistedState // synced state; nil: no file yet
	genesis          bool
	process          *process
	frozenUntil      time.Duration
	inboundLostUntil time.Duration // messages that arrive until then are lost, as for a suspended machine
	diskFullUntil    time.Duration
	syncTime         time.Duration
	wipes            int
	clockOffset      time.Duration // of its monotonic clock, relative to the simulation's: it only increases
	linkFreeAt       time.Duration // when the link has transmitted all messages sent so far
}

// process is one run of a replica, from its start to its end.
type process struct {
	host          *host
	replica       *Replica
	machine       *versionMachine
	answers       map[uint64]func(Decision)
	published     versionMachine // the state that was published last
	needsSnapshot bool           // a save failed: only one with a snapshot can succeed
	queuedSaves   []Save         // saves that came during the current sync
	syncing       bool
}

func newSimulation(t testing.TB, seed int64, machines, tolerance int) *simulation {
	t.Helper()
	s := &simulation{t: t, random: rand.New(rand.NewSource(seed)), hosts: map[string]*host{}, blockedLinks: map[[2]string]bool{}, tolerance: tolerance}
	for i := range machines {
		h := &host{address: fmt.Sprintf("10.0.%d.1:7000", i), zone: fmt.Sprintf("zone-%d", i), genesis: true, syncTime: 2 * time.Millisecond}
		s.hosts[h.address] = h
		if i < 3 {
			s.seeds = append(s.seeds, h.address)
		}
	}
	for _, h := range s.ordered() {
		s.after(time.Duration(s.random.Intn(300))*time.Millisecond, func() { s.boot(h) })
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.eventNumber++
	e := event{at: s.now + d, number: s.eventNumber, do: do}
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].at > e.at })
	s.events = append(s.events, event{})
	copy(s.events[i+1:], s.events[i:])
	s.events[i] = e
}

// run executes all events up to a time.
func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.do()
	}
	s.now = until
}

// boot starts a process on a host. A disk without a file gets a new identity, so it becomes another member.
func (s *simulation) boot(h *host) {
	if h.process != nil {
		return
	}
	if h.disk == nil {
		if !s.reusesDiskIDs || h.wipes == 0 {
			h.wipes++
		}
		h.disk = &PersistedState{ID: fmt.Sprintf("%s/%d", h.address, h.wipes), Hard: HardState{Genesis: h.genesis}}
	}
	m := &versionMachine{}
	p := &process{host: h, machine: m, answers: map[uint64]func(Decision){}}
	persisted := *h.disk
	persisted.Entries = append([]Entry(nil), persisted.Entries...)
	r, err := New(Options{Self: Member{ID: persisted.ID, Address: h.address, Zone: h.zone}, Seeds: s.seeds, Bootstrap: h.genesis,
		FaultTolerance: s.tolerance}, &persisted, machineAdapter{m}, s.clock(h))
	if err != nil {
		s.restoreError = err
		return
	}
	h.genesis = false
	p.replica = r
	h.process = p
	s.tick(p)
	s.announce(p)
}

// announce simulates the sessions through which routers learn of one another.
func (s *simulation) announce(p *process) {
	if p.host.process != p {
		return
	}
	s.after(400*time.Millisecond, func() { s.announce(p) })
	for _, other := range s.ordered() {
		if other.process != nil && other != p.host && s.reaches(p.host, other) {
			q := other.process
			self := p.replica.Self
			s.after(s.delay(), func() {
				s.runIn(q, func() { q.replica.AddEligible(self) })
			})
		}
	}
}

func (s *simulation) tick(p *process) {
	if p.host.process != p {
		return
	}
	s.after(50*time.Millisecond, func() { s.tick(p) })
	s.runIn(p, func() { p.replica.Tick(s.clock(p.host)) })
}

// runIn calls do in a process and executes the effects, at the end of a freeze if there is one. It does nothing if the process
// has ended.
func (s *simulation) runIn(p *process, do func()) {
	if p.host.process != p {
		return
	}
	if s.now < p.host.frozenUntil {
		s.after(p.host.frozenUntil-s.now, func() { s.runIn(p, do) })
		return
	}
	do()
	s.executeEffects(p)
}

func (s *simulation) delay() time.Duration {
	return time.Millisecond + time.Duration(s.random.Intn(1500))*time.Microsecond
}

func (s *simulation) reaches(from, to *host) bool {
	return !s.blockedLinks[[2]string{from.address, to.address}] && s.random.Float64() >= s.lossProbability
}

func (s *simulation) executeEffects(p *process) {
	for _, effect := range p.replica.Effects() {
		switch e := effect.(type) {
		case Send:
			s.send(p, e)
		case Save:
			s.save(p, e)
		case Publish:
			p.published = e.Value.(versionMachine)
		case Answer:
			if then := p.answers[e.Token]; then != nil {
				delete(p.answers, e.Token)
				then(e.Decision)
			}
		}
	}
}

func (s *simulation) send(p *process, e Send) {
	to := s.hosts[e.To]
	if to == nil || to.process == nil || !s.reaches(p.host, to) {
		return
	}
	q, m := to.process, e.Message
	s.after(s.transmissionDelay(p.host, m)+s.delay(), func() {
		if s.now < to.inboundLostUntil {
			return
		}
		s.runIn(q, func() {
			if s.intercept != nil {
				m = s.intercept(q, m)
			}
			if m != nil {
				q.replica.Receive(p.host.address, m, s.clock(to))
			}
		})
	})
}

// transmissionDelay returns the time until a message has left its sender's link.
func (s *simulation) transmissionDelay(h *host, m Message) time.Duration {
	size := messageBytes(m)
	s.sentBytes += size
	if s.bytesPerSecond == 0 {
		return 0
	}
	h.linkFreeAt = max(h.linkFreeAt, s.now) + time.Duration(size)*time.Second/time.Duration(s.bytesPerSecond)
	return h.linkFreeAt - s.now
}

// messageBytes returns the approximate size of a message on the wire, in bytes.
func messageBytes(m Message) int {
	const headerBytes = 200
	switch m := m.(type) {
	case Sync:
		return headerBytes + len(m.Snapshot) + entryBytes(m.Entries)
	case SnapshotChunk:
		return headerBytes + len(m.Data)
	case MissingEntries:
		return headerBytes + entryBytes(m.Entries)
	case Replicate:
		return headerBytes + len(m.Entry)
	}
	return headerBytes
}

func entryBytes(entries []Entry) (n int) {
	for _, e := range entries {
		n += len(e.Data)
	}
	return n
}

// save queues a save, in order, as the node's disk writer does. Saves that are not synced when the process ends are lost.
func (s *simulation) save(p *process, e Save) {
	h := p.host
	if s.acksBeforeSync {
		s.after(time.Millisecond, func() { s.runIn(p, func() { p.replica.Saved(e.Number, s.clock(h)) }) })
	}
	p.queuedSaves = append(p.queuedSaves, e)
	if !p.syncing {
		s.sync(p)
	}
}

// sync syncs all queued saves together. Saves that come meanwhile wait for the next sync.
func (s *simulation) sync(p *process) {
	batch := p.queuedSaves
	p.queuedSaves, p.syncing = nil, true
	s.after(p.host.syncTime, func() {
		if p.host.process != p {
			return
		}
		for _, e := range batch {
			s.completeSave(p, e)
		}
		p.syncing = false
		if len(p.queuedSaves) > 0 {
			s.sync(p)
		}
	})
}

// completeSave completes a save: the data is on the disk, or the save fails.
func (s *simulation) completeSave(p *process, e Save) {
	h := p.host
	if s.now < h.diskFullUntil || p.needsSnapshot && e.Snapshot == nil {
		p.needsSnapshot = true
		s.runIn(p, func() { p.replica.SaveFailed(e.Number, s.clock(h)) })
		return
	}
	p.needsSnapshot = false
	h.disk.Hard = e.Hard
	if e.Snapshot != nil {
		h.disk.Snapshot, h.disk.Entries = *e.Snapshot, nil
	} else if e.Entry != nil {
		h.disk.Entries = append(h.disk.Entries, *e.Entry)
	}
	if !s.acksBeforeSync {
		s.runIn(p, func() { p.replica.Saved(e.Number, s.clock(h)) })
	}
}

// clock returns the reading of a host's monotonic clock.
func (s *simulation) clock(h *host) time.Duration { return s.now + h.clockOffset }

func (s *simulation) kill(h *host) { h.process = nil }

func (s *simulation) wipe(h *host) { h.disk = nil }

func (s *simulation) blockLink(a, b *host, oneWay bool) {
	s.blockedLinks[[2]string{a.address, b.address}] = true
	if !oneWay {
		s.blockedLinks[[2]string{b.address, a.address}] = true
	}
}

func (s *simulation) heal() { s.blockedLinks = map[[2]string]bool{} }

func (s *simulation) primary() *process {
	for _, address := range s.addresses() {
		h := s.hosts[address]
		if h.process != nil && h.process.replica.IsPrimary() && h.process.replica.HasContact() {
			return h.process
		}
	}
	return nil
}

func (s *simulation) addresses() []string {
	var out []string
	for address := range s.hosts {
		out = append(out, address)
	}
	sort.Strings(out)
	return out
}

// ordered returns the hosts sorted by address, so that a seed has the same draws each time.
func (s *simulation) ordered() []*host {
	var out []*host
	for _, address := range s.addresses() {
		out = append(out, s.hosts[address])
	}
	return out
}
