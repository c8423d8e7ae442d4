package replication

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// A world is a core as the exploration sees it: the real replicas, the requests that are on their way, and what was acknowledged. Disks sync at
// once (schedules with slow ones are the simulation's); messages are lost, late or doubled in any order; time passes where a step says so.

// exploredLog is a state machine that keeps all its entries.
type exploredLog struct{ entries []string }

func (m *exploredLog) Decide([]byte) Decision { return Decision{Accept: true, Status: 200} }
func (m *exploredLog) Apply(entry []byte)     { m.entries = append(slices.Clip(m.entries), string(entry)) }
func (m *exploredLog) Snapshot() []byte       { return []byte(strings.Join(m.entries, ",") + ",") }
func (m *exploredLog) Value() any             { return m.entries }
func (m *exploredLog) Restore(snapshot []byte) error {
	m.entries = strings.Split(string(snapshot), ",")
	m.entries = m.entries[:len(m.entries)-1]
	return nil
}

// explored is one machine of a world.
type explored struct {
	replica *Replica
	log     *exploredLog
	wiped   bool
	key     []byte // its state in writing, once it was asked for
}

// request is the newest question of one replica to another that is on its way.
type request struct{ from, to string }

// late is an Accept that was overtaken, and may still arrive.
type late struct {
	request
	message Accept
}

// budget is what may still happen in a world.
type budget struct {
	candidacies, writes, wipes, restarts, lates int
}

type world struct {
	nodes     map[string]*explored // by address; those that are not owned are other worlds' too, and not changed
	owned     map[string]bool
	on        map[request]Message // on their way
	late      []late
	committed []string // what was acknowledged, by sequence
	left      budget
	doubled   string // an acknowledged number that names two entries
	trace     []string
}

const exploredNow = 1_000_000_000_000 // nanoseconds on every replica's clock

func (w *world) clone() *world {
	next := &world{nodes: maps.Clone(w.nodes), owned: map[string]bool{}, on: maps.Clone(w.on), late: slices.Clone(w.late),
		committed: slices.Clone(w.committed), left: w.left, doubled: w.doubled, trace: slices.Clip(w.trace)}
	return next
}

// node gives a machine to be changed.
func (w *world) node(address string) *explored {
	n := w.nodes[address]
	if !w.owned[address] {
		log := &exploredLog{entries: n.log.entries}
		n = &explored{replica: cloneReplica(n.replica, log), log: log, wiped: n.wiped}
		w.nodes[address], w.owned[address] = n, true
	}
	return n
}

// cloneReplica copies a replica that waits for no disk: such a one holds no functions.
func cloneReplica(r *Replica, m StateMachine) *Replica {
	if len(r.pending) > 0 || len(r.out) > 0 {
		panic("a replica that waits for its disk cannot be copied")
	}
	c := *r
	c.machine = m
	c.history.entries = slices.Clip(r.history.entries)
	c.candidates = maps.Clone(r.candidates)
	c.preVote.replies = maps.Clone(r.preVote.replies)
	e := &c.election
	e.promises, e.votes, e.synced = maps.Clone(e.promises), maps.Clone(e.votes), maps.Clone(e.synced)
	e.joining, e.accepts = maps.Clone(e.joining), maps.Clone(e.accepts)
	l := &c.leading
	l.queue, l.confirms = slices.Clip(l.queue), slices.Clip(l.confirms)
	l.acks, l.acked = maps.Clone(l.acks), maps.Clone(l.acked)
	l.teaching = map[string]*teaching{} // lessons are not explored
	return &c
}

// newWorld is a core of three, a the primary, and two that are caught up and would join.
func newWorld(left budget, zones map[string]string) *world {
	w := &world{nodes: map[string]*explored{}, owned: map[string]bool{}, on: map[request]Message{}, left: left}
	first := View{Epoch: Epoch{Round: 1, Node: "a"}, Primary: "a", InSync: []string{"a", "b", "c"}}
	for _, id := range []string{"a", "b", "c"} {
		first.Members = append(first.Members, Member{ID: id, Address: id, Zone: zones[id], Joined: 1})
	}
	first.Old = first.Members
	for address, zone := range zones {
		w.start(address, &PersistedState{ID: address, Hard: HardState{Promised: first.Epoch, Accepted: first}}, zone)
	}
	for _, n := range w.nodes {
		n.replica.known = first
		for address, zone := range zones {
			n.replica.AddEligible(Member{ID: address, Address: address, Zone: zone})
		}
	}
	lead := w.nodes["a"].replica
	lead.role = primary
	lead.leading = leading{view: first, acked: map[string]memberAck{}, teaching: map[string]*teaching{}, since: exploredNow, began: exploredNow}
	for address, n := range w.nodes {
		lead.leading.acked[address] = memberAck{member: n.replica.Self, at: exploredNow, known: first.Epoch, disk: true}
	}
	return w
}

func (w *world) start(address string, kept *PersistedState, zone string) {
	log := &exploredLog{}
	r, err := New(Options{Self: Member{ID: kept.ID, Address: address, Zone: zone}, FaultTolerance: 1}, kept, log, exploredNow)
	if err != nil {
		panic(err)
	}
	w.nodes[address], w.owned[address] = &explored{replica: r, log: log, wiped: kept.ID != address}, true
}

// settle carries out what a replica wants, with a disk that syncs at once. Its answers to the asker are returned.
func (w *world) settle(address, asker string) (answers []Message) {
	r := w.node(address).replica
	for effects := r.Effects(); len(effects) > 0; effects = r.Effects() {
		for _, one := range effects {
			switch e := one.(type) {
			case Save:
				r.Saved(e.Number, exploredNow)
			case Answer:
				if e.Decision.Status == 200 && e.Token > 0 {
					w.acknowledge(r)
				}
			case Send:
				if isAnswer(e.Message) {
					if e.To == asker {
						answers = append(answers, e.Message)
					}
				} else {
					w.post(request{address, e.To}, e.Message)
				}
			}
		}
	}
	return answers
}

func isAnswer(m Message) bool {
	switch m.(type) {
	case Promise, Synced, Accepted, Replicated, HeartbeatAck:
		return true
	}
	return false
}

// post puts a request on its way; an Accept that it overtakes may arrive late.
func (w *world) post(to request, m Message) {
	switch m := m.(type) {
	case Prepare, Sync, Accept, Replicate:
	case Heartbeat:
		if m.View == nil {
			return // it tells nothing but the time
		}
	default:
		return // catching up and hints are not explored
	}
	if before, ok := w.on[to].(Accept); ok && w.left.lates > 0 {
		w.late = append(w.late, late{to, before})
	}
	w.on[to] = m
}

func (w *world) acknowledge(r *Replica) {
	entries := r.machine.(*exploredLog).entries
	for i, e := range entries {
		if i < len(w.committed) && w.committed[i] != e {
			w.doubled = fmt.Sprintf("%d names %q and %q", i, w.committed[i], e)
		}
		if i >= len(w.committed) {
			w.committed = append(slices.Clip(w.committed), e)
		}
	}
}

// deliver brings a request to its receiver, and the answer back where it is not lost.
func (w *world) deliver(to request, m Message, answered bool) {
	n := w.node(to.to)
	n.replica.Receive(to.from, m, exploredNow)
	answers := w.settle(to.to, to.from)
	if !answered {
		return
	}
	for _, a := range answers {
		if ack, ok := a.(HeartbeatAck); ok && ack.Epoch.Less(ack.Promised) {
			continue // a candidacy follows, which is a step of its own
		}
		w.node(to.from).replica.Receive(to.to, a, exploredNow)
		w.settle(to.from, "")
	}
}

// step is one thing that may happen next.
type step struct {
	name string
	do   func(w *world)
}

// candidates may campaign: the primary, one other member, one that joins. The others are like these but for their names.
var exploredCandidates = []string{"a", "b", "d"}

// steps are all that may happen next.
func (w *world) steps() (steps []step) {
	for _, to := range sortedRequests(w.on) {
		m := w.on[to]
		for _, answered := range []bool{true, false} {
			if _, beat := m.(Heartbeat); beat && !answered {
				continue
			}
			steps = append(steps, step{fmt.Sprintf("%s>%s %T answered %t", to.from, to.to, m, answered), func(w *world) {
				if answered {
					delete(w.on, to)
				}
				w.deliver(to, m, answered)
			}})
		}
	}
	for i, l := range w.late {
		if w.left.lates > 0 {
			steps = append(steps, step{fmt.Sprintf("late %s>%s Accept %v", l.from, l.to, l.message.View.Epoch), func(w *world) {
				w.left.lates--
				w.late = slices.Delete(slices.Clone(w.late), i, i+1)
				w.deliver(l.request, l.message, false)
			}})
		}
	}
	for _, address := range sortedKeys(w.nodes) {
		steps = append(steps, w.stepsOf(address)...)
	}
	return steps
}

func (w *world) stepsOf(address string) (steps []step) {
	r := w.nodes[address].replica
	if r.role == candidate && r.election.phase != accepting {
		steps = append(steps, step{address + " waits no longer", func(w *world) { w.waitNoLonger(address) }})
	}
	newest := r.newestKnown()
	if w.left.candidacies > 0 && slices.Contains(exploredCandidates, address) && (r.role == primary || newest.Member(r.Self.ID) != nil) {
		steps = append(steps, step{address + " campaigns", func(w *world) {
			w.left.candidacies--
			r := w.node(address).replica
			if r.role == candidate {
				r.stepDown()
			}
			r.now = exploredNow
			r.campaign(true)
			w.settle(address, "")
		}})
	}
	if w.left.writes > 0 && r.role == primary && r.leading.staged == nil {
		steps = append(steps, step{address + " takes an order", func(w *world) {
			w.left.writes--
			r := w.node(address).replica
			r.Propose(uint64(1), []byte(fmt.Sprint(address, w.left.writes)), exploredNow)
			w.settle(address, "")
		}})
	}
	if w.left.wipes > 0 && !w.nodes[address].wiped {
		steps = append(steps, step{address + " loses its disk", func(w *world) {
			w.left.wipes--
			self := w.nodes[address].replica.Self
			w.start(address, &PersistedState{ID: address + "'"}, self.Zone)
			w.forget(address)
		}})
	}
	if w.left.restarts > 0 {
		steps = append(steps, step{address + " restarts", func(w *world) {
			w.left.restarts--
			n := w.nodes[address]
			kept := &PersistedState{ID: n.replica.Self.ID, Hard: n.replica.hard,
				Snapshot: SnapshotRecord{Position: n.replica.position, Data: n.log.Snapshot()}}
			w.start(address, kept, n.replica.Self.Zone)
			w.forget(address)
		}})
	}
	return steps
}

// forget drops what a process that ended had on its way but for Accepts, which may have left.
func (w *world) forget(address string) {
	for to := range w.on {
		if to.from == address {
			delete(w.on, to)
		}
	}
}

// waitNoLonger ends a candidate's wait for answers beyond those that it needs.
func (w *world) waitNoLonger(address string) {
	r := w.node(address).replica
	r.now = exploredNow + phaseWait + 1
	switch r.election.phase {
	case preparing:
		r.advancePreparing()
	case syncing:
		r.advanceSyncing()
	}
	r.now = exploredNow
	r.election.agreed, r.election.began = min(r.election.agreed, exploredNow), min(r.election.began, exploredNow)
	w.settle(address, "")
}

func sortedRequests(m map[request]Message) []request {
	return slices.SortedFunc(maps.Keys(m), func(a, b request) int {
		return strings.Compare(a.from+">"+a.to, b.from+">"+b.to)
	})
}
