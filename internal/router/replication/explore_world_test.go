package replication

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// This file has the model that an exploration checks: a world is one state of a core, with real replicas, the requests in
// flight, and the acknowledged entries. Disks sync at once (the simulation covers slow ones). Messages are lost, delayed or
// duplicated in any order. Time passes only in steps that end a wait.

// exploredLog is a state machine that keeps all its entries.
type exploredLog struct{ entries []string }

func (m *exploredLog) Decide([]byte) Decision { return Decision{Accept: true, Status: 200} }
func (m *exploredLog) Apply(entry []byte)     { m.entries = append(slices.Clip(m.entries), string(entry)) }
func (m *exploredLog) Snapshot() []byte {
	return []byte(strings.Join(append(slices.Clip(m.entries), ""), ","))
}
func (m *exploredLog) Value() any { return m.entries }
func (m *exploredLog) Restore(snapshot []byte) error {
	m.entries = strings.Split(string(snapshot), ",")
	m.entries = m.entries[:len(m.entries)-1]
	return nil
}

// exploredNode is one machine of a world.
type exploredNode struct {
	replica *Replica
	log     *exploredLog
	wiped   bool
	encoded [][]byte // cache of the encoded state, by renaming
}

// requestRoute is the sender and the receiver of a request in flight. Only the newest request of a route is kept.
type requestRoute struct{ from, to string }

// lateRequest is a Sync or an Accept that may still arrive, or arrive again, after a newer request of the same route.
type lateRequest struct {
	requestRoute
	message Message
}

// budget limits how many events of each kind may still happen in a world.
type budget struct {
	candidacies, writes, wipes, restarts, lateRequests int
}

// coreLayout is the part of a world that does not change.
type coreLayout struct {
	zones          map[string]string // of all machines, by address
	members        []string          // of the first view; the first of them is its primary
	outOfSync      []string          // members that are not in sync in the first view
	lateSyncs      bool              // a Sync may arrive late or again, too; otherwise only an Accept that was overtaken
	snapshot       bool              // the in-sync members have a snapshot with an entry, which the others lack
	faultTolerance int
	candidates     []string            // machines that may campaign; nil: exploredCandidates
	renamings      []map[string]string // of machines that differ by name only; see symmetryRenamings
}

// world is one state of an exploration.
type world struct {
	layout       *coreLayout
	nodes        map[string]*exploredNode // by address; nodes that are not owned are shared with other worlds: read-only
	owned        map[string]bool
	inFlight     map[requestRoute]Message
	lateRequests []lateRequest
	committed    []string // acknowledged entries, by sequence
	remaining    budget
	conflict     string // describes a sequence number under which two entries were acknowledged
	trace        []string
}

const exploredNow = 1_000_000_000_000 // reading of every replica's clock, in nanoseconds

func (w *world) clone() *world {
	next := &world{layout: w.layout, nodes: maps.Clone(w.nodes), owned: map[string]bool{}, inFlight: maps.Clone(w.inFlight), lateRequests: slices.Clone(w.lateRequests),
		committed: slices.Clone(w.committed), remaining: w.remaining, conflict: w.conflict, trace: slices.Clip(w.trace)}
	return next
}

// node returns a machine that may be changed. It copies the machine first if other worlds share it.
func (w *world) node(address string) *exploredNode {
	n := w.nodes[address]
	if !w.owned[address] {
		log := &exploredLog{entries: n.log.entries}
		n = &exploredNode{replica: cloneReplica(n.replica, log), log: log, wiped: n.wiped}
		w.nodes[address], w.owned[address] = n, true
	}
	return n
}

// cloneReplica copies a replica. It must have no pending saves, since their callbacks cannot be copied.
func cloneReplica(r *Replica, m StateMachine) *Replica {
	if len(r.disk.pendingSaves) > 0 || len(r.effects) > 0 {
		panic("a replica that waits for its disk cannot be copied")
	}
	c := *r
	c.state.machine = m
	c.state.history.entries = slices.Clip(r.state.history.entries)
	c.eligible.byID = maps.Clone(r.eligible.byID)
	c.preVote.replies = maps.Clone(r.preVote.replies)
	e := &c.election
	e.prepare.promises, e.prepare.votes, e.sync.synced = maps.Clone(e.prepare.promises), maps.Clone(e.prepare.votes), maps.Clone(e.sync.synced)
	e.sync.requested, e.accept.votes = maps.Clone(e.sync.requested), maps.Clone(e.accept.votes)
	l := &c.leadership
	l.proposals, l.confirmations = slices.Clip(l.proposals), slices.Clip(l.confirmations)
	l.staged.acks, l.statuses = maps.Clone(l.staged.acks), maps.Clone(l.statuses)
	l.learners = map[string]*learnerProgress{} // catching up is not explored
	return &c
}

// newWorld returns a core of three with the primary a, and other machines that are caught up and would join.
func newWorld(allowed budget, zones map[string]string) *world {
	return newCore(allowed, &coreLayout{zones: zones, members: []string{"a", "b", "c"}, faultTolerance: 1})
}

// newCore returns a core in its first view, whose members have no entries unless the layout has a snapshot, and other
// machines that are caught up and would join.
func newCore(allowed budget, layout *coreLayout) *world {
	w := &world{layout: layout, nodes: map[string]*exploredNode{}, owned: map[string]bool{}, inFlight: map[requestRoute]Message{}, remaining: allowed}
	if layout.candidates == nil {
		layout.candidates = exploredCandidates
	}
	zones := layout.zones
	first := View{Epoch: Epoch{Round: 1, Node: "a"}, Primary: "a"}
	for _, id := range layout.members {
		first.Members = append(first.Members, Member{ID: id, Address: id, Zone: zones[id], Joined: 1})
		if !slices.Contains(layout.outOfSync, id) {
			first.InSync = append(first.InSync, id)
		}
	}
	first.Old = first.Members
	for address, zone := range zones {
		persisted := &PersistedState{ID: address, Hard: HardState{Promised: first.Epoch, Accepted: first}}
		if layout.snapshot && first.inSync(address) {
			w.committed = []string{"first"}
			persisted.Snapshot = SnapshotRecord{Position: Position{Epoch: first.Epoch, Sequence: 1}, Data: []byte("first,")}
		}
		w.startNode(address, persisted, zone)
	}
	for _, n := range w.nodes {
		n.replica.knownView = first
		for address, zone := range zones {
			n.replica.AddEligible(Member{ID: address, Address: address, Zone: zone})
		}
	}
	primaryReplica := w.nodes["a"].replica
	primaryReplica.role = primary
	primaryReplica.leadership = leadership{view: first, statuses: map[string]replicaStatus{}, learners: map[string]*learnerProgress{}, viewSince: exploredNow, primarySince: exploredNow}
	for address, n := range w.nodes {
		primaryReplica.leadership.statuses[address] = replicaStatus{member: n.replica.Self, lastContact: exploredNow, knownEpoch: first.Epoch, hasDisk: true}
	}
	return w
}

func (w *world) startNode(address string, persisted *PersistedState, zone string) {
	log := &exploredLog{}
	r, err := New(Options{Self: Member{ID: persisted.ID, Address: address, Zone: zone}, FaultTolerance: w.layout.faultTolerance}, persisted, log, exploredNow)
	if err != nil {
		panic(err)
	}
	w.nodes[address], w.owned[address] = &exploredNode{replica: r, log: log, wiped: persisted.ID != address}, true
}

// executeNodeEffects executes a replica's effects, with a disk that syncs at once. It returns the answers to the requester.
func (w *world) executeNodeEffects(address, requester string) (answers []Message) {
	r := w.node(address).replica
	for effects := r.Effects(); len(effects) > 0; effects = r.Effects() {
		for _, effect := range effects {
			switch e := effect.(type) {
			case Save:
				r.Saved(e.Number, exploredNow)
			case Answer:
				if e.Decision.Status == 200 && e.Token > 0 {
					w.acknowledge(r)
				}
			case Send:
				if isAnswer(e.Message) {
					if e.To == requester {
						answers = append(answers, e.Message)
					}
				} else {
					w.enqueueRequest(requestRoute{address, e.To}, e.Message)
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

// enqueueRequest puts a request in flight. A Sync or an Accept that it overtakes may arrive late.
func (w *world) enqueueRequest(route requestRoute, m Message) {
	switch m := m.(type) {
	case Prepare, Sync, Accept, Replicate:
	case Heartbeat:
		if m.View == nil {
			return // it has no effect but to renew the contact
		}
	default:
		return // catching up and transfers of leadership are not explored
	}
	if w.remaining.lateRequests > 0 {
		switch overtaken := w.inFlight[route].(type) {
		case Sync:
			w.keepLateSync(route, overtaken)
		case Accept:
			w.lateRequests = append(slices.Clip(w.lateRequests), lateRequest{route, overtaken})
		}
	}
	w.inFlight[route] = m
}

// keepLateSync adds a Sync to the late requests, if the layout and the budget permit: it may arrive late, or again.
func (w *world) keepLateSync(route requestRoute, m Message) {
	if _, ok := m.(Sync); ok && w.layout.lateSyncs && w.remaining.lateRequests > 0 {
		w.lateRequests = append(slices.Clip(w.lateRequests), lateRequest{route, m})
	}
}

func (w *world) acknowledge(r *Replica) {
	entries := r.state.machine.(*exploredLog).entries
	for i, e := range entries {
		if i < len(w.committed) && w.committed[i] != e {
			w.conflict = fmt.Sprintf("%d names %q and %q", i, w.committed[i], e)
		}
		if i >= len(w.committed) {
			w.committed = append(slices.Clip(w.committed), e)
		}
	}
}

// deliver delivers a request to its receiver and, if answered is set, the answer to the sender; otherwise the answer is lost.
func (w *world) deliver(route requestRoute, m Message, answered bool) {
	n := w.node(route.to)
	n.replica.Receive(route.from, m, exploredNow)
	answers := w.executeNodeEffects(route.to, route.from)
	if !answered {
		return
	}
	for _, a := range answers {
		if ack, ok := a.(HeartbeatAck); ok && ack.Epoch.Less(ack.Promised) {
			continue // the candidacy that it causes is a step of its own
		}
		w.node(route.from).replica.Receive(route.to, a, exploredNow)
		w.executeNodeEffects(route.from, "")
	}
}

// step is one event that may happen next.
type step struct {
	name string
	do   func(w *world)
}

// exploredCandidates are the machines that may campaign: the primary, one other member, and one machine that joins. The
// other machines differ from these by name only.
var exploredCandidates = []string{"a", "b", "d"}

// steps returns all events that may happen next.
func (w *world) steps() (steps []step) {
	for _, route := range sortedRequests(w.inFlight) {
		m := w.inFlight[route]
		for _, answered := range []bool{true, false} {
			if _, isHeartbeat := m.(Heartbeat); isHeartbeat && !answered {
				continue
			}
			steps = append(steps, step{fmt.Sprintf("%s>%s %T answered %t", route.from, route.to, m, answered), func(w *world) {
				if answered {
					delete(w.inFlight, route)
					w.keepLateSync(route, m)
				}
				w.deliver(route, m, answered)
			}})
		}
	}
	for i, l := range w.lateRequests {
		if w.remaining.lateRequests > 0 {
			steps = append(steps, step{fmt.Sprintf("late %s>%s %T", l.from, l.to, l.message), func(w *world) {
				w.remaining.lateRequests--
				w.lateRequests = slices.Delete(slices.Clone(w.lateRequests), i, i+1)
				w.deliver(l.requestRoute, l.message, false)
			}})
		}
	}
	for _, address := range sortedKeys(w.nodes) {
		steps = append(steps, w.nodeSteps(address)...)
	}
	return steps
}

func (w *world) nodeSteps(address string) (steps []step) {
	r := w.nodes[address].replica
	if r.role == candidate && r.election.phase != accepting {
		steps = append(steps, step{address + " stops waiting", func(w *world) { w.endPhaseWait(address) }})
	}
	newest := r.newestKnownView()
	if w.remaining.candidacies > 0 && slices.Contains(w.layout.candidates, address) && (r.role == primary || newest.Member(r.Self.ID) != nil) {
		steps = append(steps, step{address + " campaigns", func(w *world) {
			w.remaining.candidacies--
			r := w.node(address).replica
			if r.role == candidate {
				r.stepDown()
			}
			r.now = exploredNow
			r.campaign(true)
			w.executeNodeEffects(address, "")
		}})
	}
	if w.remaining.writes > 0 && r.role == primary && r.leadership.staged.proposal == nil {
		steps = append(steps, step{address + " commits an entry", func(w *world) {
			w.remaining.writes--
			r := w.node(address).replica
			r.Propose(uint64(1), []byte(fmt.Sprint(address, w.remaining.writes)), exploredNow)
			w.executeNodeEffects(address, "")
		}})
	}
	if w.remaining.wipes > 0 && !w.nodes[address].wiped {
		steps = append(steps, step{address + " loses its disk", func(w *world) {
			w.remaining.wipes--
			self := w.nodes[address].replica.Self
			w.startNode(address, &PersistedState{ID: address + "'"}, self.Zone)
			w.dropRequestsOf(address)
		}})
	}
	if w.remaining.restarts > 0 {
		steps = append(steps, step{address + " restarts", func(w *world) {
			w.remaining.restarts--
			n := w.nodes[address]
			persisted := &PersistedState{ID: n.replica.Self.ID, Hard: n.replica.hard,
				Snapshot: SnapshotRecord{Position: n.replica.state.position, Data: n.log.Snapshot()}}
			w.startNode(address, persisted, n.replica.Self.Zone)
			w.dropRequestsOf(address)
		}})
	}
	return steps
}

// dropRequestsOf drops the requests in flight of a process that ended. Its late requests remain.
func (w *world) dropRequestsOf(address string) {
	for route := range w.inFlight {
		if route.from == address {
			delete(w.inFlight, route)
		}
	}
}

// endPhaseWait ends a candidate's wait for answers beyond those that it needs.
func (w *world) endPhaseWait(address string) {
	r := w.node(address).replica
	r.now = exploredNow + maxPhaseWait + 1
	switch r.election.phase {
	case preparing:
		r.advancePreparing()
	case syncing:
		r.advanceSyncing()
	}
	r.now = exploredNow
	r.election.prepare.majoritySince, r.election.phaseSince = min(r.election.prepare.majoritySince, exploredNow), min(r.election.phaseSince, exploredNow)
	w.executeNodeEffects(address, "")
}

func sortedRequests(m map[requestRoute]Message) []requestRoute {
	return slices.SortedFunc(maps.Keys(m), func(a, b requestRoute) int {
		return strings.Compare(a.from+">"+a.to, b.from+">"+b.to)
	})
}
