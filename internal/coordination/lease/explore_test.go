package lease

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// The model has two clients and three replicas. One replica leads; others may still act as leaders of earlier terms. Each clock runs at
// either end of the drift bound. Requests and responses may be delayed or lost, and a later leader may or may not find a proposal in its
// log. The exploration visits every reachable world, which is a state of the whole model, and runs the real code: State, Lessor and
// SessionState.
//
// One tick of true time advances a fast clock by 404 ns and a slow clock by 400 ns, so that their rates differ by MaxDrift. A TTL is two
// ticks of a fast clock.
const (
	fastTick, slowTick = 404, 400
	modelTTL           = time.Duration(2 * fastTick)
)

// maxTicks and maxElections bound the exploration: the ticks of true time and the elections in a world. The environment variable
// LEASE_EXPLORE="5 2" sets them to 5 and 2. The defaults suffice to find the violations that TestExploration and TestTheChecksCanFail
// provoke.
var maxTicks, maxElections uint8 = 3, 1

func init() { fmt.Sscan(os.Getenv("LEASE_EXPLORE"), &maxTicks, &maxElections) }

// maxRequests is the largest number of requests that each client sends after the initial state.
var maxRequests = [2]uint8{2, 1}

type phase uint8

const (
	noRequest    phase = iota
	requestSent        // on its way to the leader, or to a replica that has not noticed that it was replaced
	confirmed          // received by a replica; then a majority confirmed that the replica leads
	responseSent       // the response is on its way back
)

// modelRequest is the request that a client has in progress, with the response once there is one.
type modelRequest struct {
	phase       phase
	kind        Kind    // Acquire, Release; 0: keep-alive
	requestedAt Instant // by the client's clock
	replica     uint8   // the index of the replica that received the request
	answer      Answer  // the response to a command
	renewed     bool    // the response to a keep-alive: the session was renewed
	grants      []Grant // the response to a keep-alive, with version
	version     uint64
	token       Token // of the grant that a Release ends
}

type modelClient struct {
	clock        Instant
	session      *SessionState
	request      modelRequest
	requestsSent uint8  // since the initial state
	seq          uint64 // of the last command
}

type modelReplica struct {
	clock  Instant // advances whether or not the replica leads
	lessor *Lessor // nil: the replica does not act as leader
}

// world is one state of the model.
type world struct {
	state     *State // after all committed commands
	clients   [2]modelClient
	replicas  [3]modelReplica
	leader    uint8     // the index of the current leader
	proposed  []Command // proposed by the current leader, not yet committed
	tick      uint8
	elections uint8
}

func (s *State) clone() *State {
	n := *s
	n.sessions, n.nonces, n.leases = map[SessionID]*session{}, maps.Clone(s.nonces), map[string]*lease{}
	for id, sess := range s.sessions {
		c := *sess
		c.holds, c.waits = maps.Clone(sess.holds), maps.Clone(sess.waits)
		n.sessions[id] = &c
	}
	for name, l := range s.leases {
		c := *l
		c.waiters = slices.Clone(l.waiters)
		n.leases[name] = &c
	}
	return &n
}

func (ls *Lessor) clone(s *State) *Lessor {
	n := *ls
	n.state, n.expiry, n.expiring, n.brokenGrants = s, maps.Clone(ls.expiry), maps.Clone(ls.expiring), maps.Clone(ls.brokenGrants)
	return &n
}

func (w *world) clone() *world {
	n := *w
	n.state, n.proposed = w.state.clone(), slices.Clone(w.proposed)
	for i := range n.replicas {
		if ls := w.replicas[i].lessor; ls != nil && i == int(w.leader) {
			n.replicas[i].lessor = ls.clone(n.state)
		} else if ls != nil { // the state of a replaced leader does not change any more
			n.replicas[i].lessor = ls.clone(ls.state)
		}
	}
	for i := range n.clients {
		if sess := w.clients[i].session; sess != nil {
			c := *sess
			c.grants = map[string]*heldGrant{}
			for name, grant := range sess.grants {
				grantCopy := *grant
				c.grants[name] = &grantCopy
			}
			n.clients[i].session = &c
		}
	}
	return &n
}

// key returns an encoding that differs if the worlds differ. -1 marks a replica that does not act as leader, -2 an Expire that has been
// proposed, and -3 a keep-alive that renewed the session.
func (w *world) key() []byte {
	var encoded []byte
	appendInts := func(values ...int64) {
		for _, n := range values {
			encoded = binary.AppendVarint(encoded, n)
		}
	}
	appendState := func(s *State) {
		l := s.leases["x"]
		if appendInts(int64(s.lastToken), int64(len(s.sessions))); l != nil {
			appendInts(int64(l.holder), int64(l.token))
		}
		for _, id := range slices.Sorted(maps.Keys(s.sessions)) {
			sess := s.sessions[id]
			appendInts(int64(id), int64(sess.lastSeq), int64(sess.lastAnswer.Status), int64(sess.version))
		}
	}
	appendState(w.state)
	appendInts(int64(w.leader), int64(w.tick), int64(w.elections))
	for i := range w.replicas {
		l := &w.replicas[i]
		if l.lessor == nil {
			appendInts(-1)
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(l.lessor.expiry)) {
			appendInts(int64(id), int64(l.lessor.expiry[id]), int64(len(l.lessor.expiring)))
			if l.lessor.expiring[id] {
				appendInts(-2)
			}
		}
		if i != int(w.leader) {
			appendState(l.lessor.state)
		}
	}
	for i := range w.clients {
		c := &w.clients[i]
		appendInts(int64(c.request.phase), int64(c.request.kind), int64(c.request.requestedAt), int64(c.request.replica), int64(c.request.answer.Status), int64(c.request.answer.Token),
			int64(c.request.answer.Session), int64(c.request.version), int64(len(c.request.grants)), int64(c.requestsSent), int64(c.seq))
		if c.request.renewed {
			appendInts(-3)
		}
		if c.session != nil {
			appendInts(int64(c.session.Session), int64(c.session.expiry), int64(c.session.grantsVersion))
			for name, l := range c.session.grants {
				encoded = append(encoded, name...)
				appendInts(int64(l.token), int64(l.expiry), int64(l.learnedAt))
			}
		}
	}
	for _, c := range w.proposed {
		appendInts(int64(c.Kind), int64(c.Session))
	}
	return encoded
}

// omissions states which steps of the protocol the model leaves out, to show that they are necessary.
type omissions struct{ confirmation bool }

// apply commits a command at the current leader.
func (w *world) apply(c Command) Answer {
	a := w.state.Apply(c)
	w.replicas[w.leader].lessor.Applied(c, a, w.replicas[w.leader].clock)
	return a
}

// successors calls visit with each world that can follow in one step. rates holds by how much the clocks of the two clients and of the
// three replicas, in this order, advance in a tick.
func (w *world) successors(rates [5]Instant, omit omissions, visit func(*world)) {
	if w.tick < maxTicks {
		n := w.clone()
		n.tick++
		for i := range n.clients {
			n.clients[i].clock += rates[i]
		}
		for i := range n.replicas {
			n.replicas[i].clock += rates[2+i]
		}
		visit(n)
	}
	leader := &w.replicas[w.leader]
	if len(w.proposed) == 0 {
		if n := w.clone(); true {
			if n.proposed = n.replicas[n.leader].lessor.ExpiryCommands(leader.clock); len(n.proposed) > 0 {
				visit(n)
			}
		}
	} else {
		n := w.clone()
		n.apply(n.proposed[0])
		n.proposed = n.proposed[1:]
		visit(n)
	}
	if w.elections < maxElections {
		for keptCommands := range len(w.proposed) + 1 { // the number of proposed commands that are in the next leader's log
			n := w.clone()
			n.elections++
			replaced := &n.replicas[n.leader]
			// The replaced leader still acts as a leader, on a state of its own.
			replaced.lessor = replaced.lessor.clone(replaced.lessor.state.clone())
			n.leader = (n.leader + 1) % 3
			for _, c := range n.proposed[:keptCommands] {
				n.state.Apply(c)
			}
			n.proposed = nil
			n.replicas[n.leader].lessor = NewLessor(n.state, n.replicas[n.leader].clock)
			visit(n)
		}
	}
	for i := range w.clients {
		w.clientSuccessors(i, omit, visit)
	}
}

// clientSuccessors calls visit with each world that can follow when the current request of client i makes progress or is lost, or when
// the client sends a new one.
func (w *world) clientSuccessors(i int, omit omissions, visit func(*world)) {
	c := &w.clients[i]
	sendRequest := func(commandKind Kind, token Token) {
		n := w.clone()
		next := &n.clients[i]
		next.request = modelRequest{phase: requestSent, kind: commandKind, requestedAt: next.clock, token: token}
		if next.requestsSent++; commandKind != 0 {
			next.seq++
		}
		if commandKind == Release {
			next.session.Forget("x")
		}
		visit(n)
	}
	switch c.request.phase {
	case noRequest:
		if c.requestsSent >= maxRequests[i] {
			return
		}
		if c.session.Expiry() < 0 { // the session was invalidated
			return
		}
		if token, _, ok := c.session.Held("x", c.clock); ok {
			sendRequest(Release, token)
		} else {
			sendRequest(Acquire, 0)
		}
		if i == 0 { // the other client needs no keep-alive: its session does not expire within the model's bounds
			sendRequest(0, 0)
		}
	case requestSent:
		for index := range w.replicas {
			if w.replicas[index].lessor == nil || index != int(w.leader) && (c.request.kind != 0 || !omit.confirmation) {
				// A replica that does not lead cannot commit a command. It gets no confirmation for a keep-alive, but answers nevertheless if
				// the model omits the confirmation.
				continue
			}
			n := w.clone()
			next := &n.clients[i]
			next.request.phase, next.request.replica = confirmed, uint8(index)
			switch next.request.kind {
			case Acquire, Release:
				next.request.phase = responseSent
				next.request.answer = n.apply(Command{Kind: next.request.kind, Session: next.session.Session, Seq: next.seq, Name: "x", Token: next.request.token})
			default:
				next.request.grants, next.request.version = n.replicas[index].lessor.state.Grants(next.session.Session, next.session.grantsVersion)
			}
			visit(n)
		}
	case confirmed: // the replica answers; another replica may be the leader by now
		n := w.clone()
		next, replica := &n.clients[i], &n.replicas[c.request.replica]
		if next.request.phase = responseSent; next.request.kind == 0 {
			if next.request.renewed = replica.lessor.Renewable(next.session.Session); next.request.renewed {
				replica.lessor.Renew(next.session.Session, replica.clock)
			}
		}
		visit(n)
	case responseSent:
		n := w.clone()
		n.clients[i].request = modelRequest{}
		visit(n) // the response is lost
		n = w.clone()
		next := &n.clients[i]
		switch r := next.request; {
		case r.kind == Acquire && r.answer.Status == OK:
			next.session.ApplyGrant(next.clock, "x", r.answer.Token)
		case r.answer.Status == NoSession || r.kind == 0 && !r.renewed:
			next.session.Invalidate()
		case r.kind == 0:
			next.session.ApplyKeepAlive(r.requestedAt, r.grants, r.version)
		}
		next.request = modelRequest{}
		visit(n)
	}
}

// explore visits the reachable worlds, and stops at a world in which two clients hold the lease. It returns the number of worlds found,
// the number of visited worlds in which at least one client holds the lease, and whether two clients hold it in one of them.
func explore(rates [5]Instant, omit omissions) (worlds, worldsWithHolder int, twoHolders bool) {
	s := NewState()
	first := &world{state: s} // the first client holds the lease; the session of the second client has a longer TTL
	first.replicas[0].lessor = NewLessor(s, 0)
	for i := range first.clients {
		a := first.apply(Command{Kind: Open, Nonce: fmt.Sprint(i), Owner: "same", TTL: modelTTL * time.Duration(1+4*i)})
		first.clients[i].session = NewSessionState(0, a.Session, modelTTL*time.Duration(1+4*i))
	}
	first.clients[0].seq = 1
	first.clients[0].session.ApplyGrant(0, "x", first.apply(Command{Kind: Acquire, Session: 1, Seq: 1, Name: "x"}).Token)
	type hash [32]byte
	seen, pending := map[hash]struct{}{}, []*world{first}
	for len(pending) > 0 && !twoHolders {
		w := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		holders := 0
		for i := range w.clients {
			if sess := w.clients[i].session; sess != nil {
				if _, _, ok := sess.Held("x", w.clients[i].clock); ok {
					holders++
				}
			}
		}
		worldsWithHolder += min(holders, 1)
		twoHolders = holders > 1
		w.successors(rates, omit, func(next *world) {
			k := hash(sha256.Sum256(next.key()))
			if _, known := seen[k]; !known {
				seen[k] = struct{}{}
				pending = append(pending, next)
			}
		})
	}
	return len(seen), worldsWithHolder, twoHolders
}

// Two clients never hold the lease at the same time, in any world of the model and with the clocks of clients and replicas at either end of
// the drift bound. If the model omits the confirmation by a majority, there is a world in which two clients hold it. For the other steps of
// the argument in the package documentation, TestTheChecksCanFail here and in package replica checks that tests fail without the step.
func TestExploration(t *testing.T) {
	var total atomic.Int64
	var explorers sync.WaitGroup
	slots := make(chan struct{}, 2) // leaves processors to other packages' tests, which run at the same time
	for _, rates := range [][5]Instant{
		{slowTick, slowTick, fastTick, fastTick, fastTick}, {fastTick, fastTick, slowTick, slowTick, slowTick},
		{slowTick, fastTick, fastTick, slowTick, fastTick}, {fastTick, slowTick, slowTick, fastTick, slowTick},
	} {
		slots <- struct{}{}
		explorers.Go(func() {
			defer func() { <-slots }()
			worlds, worldsWithHolder, twoHolders := explore(rates, omissions{})
			if twoHolders || worldsWithHolder == 0 {
				t.Errorf("rates %v: two clients hold the lease: %v; at least one client holds it in %d of %d worlds", rates, twoHolders, worldsWithHolder, worlds)
			}
			total.Add(int64(worlds))
		})
	}
	explorers.Wait()
	t.Logf("%d worlds", total.Load())
	if _, _, twoHolders := explore([5]Instant{slowTick, slowTick, fastTick, fastTick, fastTick}, omissions{confirmation: true}); !twoHolders {
		t.Error("the exploration found no two holders although the model omits the confirmation by a majority")
	}
}
