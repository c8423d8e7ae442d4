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

// The model: two clients, three replicas one of which leads (and others that still think so), clocks at either end of the bound,
// questions and answers that are held back or lost, proposals that a later leader finds in its log or does not. Every state that
// can be reached is looked at, with the code itself: State, Clock and Holder.
//
// A true tick moves a fast clock by 404 and a slow one by 400, a part of 0.01 between them; a TTL is two ticks of a fast one.
const (
	fast, slow = 404, 400
	modelTTL   = time.Duration(2 * fast)
)

// How far it goes: true ticks and elections, as in LEASE_EXPLORE="5 2"; what the tests need, if it says nothing.
var ticks, elections uint8 = 3, 1

func init() { fmt.Sscan(os.Getenv("LEASE_EXPLORE"), &ticks, &elections) }

// questions are how often each client asks, after the start.
var questions = [2]uint8{2, 1}

type phase uint8

const (
	none      phase = iota
	sent            // on its way to whoever leads, or thinks so
	confirmed       // taken in, and a majority has confirmed since that its leader led
	answered        // on its way back
)

type ask struct {
	phase   phase
	what    Kind // Acquire, Release; 0: does the session live?
	asked   Instant
	leader  uint8
	answer  Answer
	yes     bool
	grants  []Grant
	version uint64
	token   Token
}

type modelClient struct {
	clock  Instant
	holder *SessionState
	ask    ask
	asks   uint8
	seq    uint64
}

type modelLeader struct {
	clock Instant // runs all the time
	view  *Lessor // nil: it does not think that it leads
}

type world struct {
	state   *State // as committed
	clients [2]modelClient
	leaders [3]modelLeader
	top     uint8     // who leads
	log     []Command // proposed by it, not yet committed
	tick    uint8
	elected uint8
}

func (s *State) clone() *State {
	n := *s
	n.sessions, n.nonces, n.leases = map[SessionID]*session{}, maps.Clone(s.nonces), map[string]*lease{}
	for id, own := range s.sessions {
		c := *own
		c.holds, c.waits = maps.Clone(own.holds), maps.Clone(own.waits)
		n.sessions[id] = &c
	}
	for name, l := range s.leases {
		c := *l
		c.queue = slices.Clone(l.queue)
		n.leases[name] = &c
	}
	return &n
}

func (c *Lessor) clone(s *State) *Lessor {
	n := *c
	n.state, n.alone, n.ending, n.broken = s, maps.Clone(c.alone), maps.Clone(c.ending), maps.Clone(c.broken)
	return &n
}

func (w *world) clone() *world {
	n := *w
	n.state, n.log = w.state.clone(), slices.Clone(w.log)
	for i := range n.leaders {
		if v := w.leaders[i].view; v != nil && i == int(w.top) {
			n.leaders[i].view = v.clone(n.state)
		} else if v != nil { // one that was succeeded sees the state of then, which changes no more
			n.leaders[i].view = v.clone(v.state)
		}
	}
	for i := range n.clients {
		if h := w.clients[i].holder; h != nil {
			c := *h
			c.held = map[string]*held{}
			for name, l := range h.held {
				one := *l
				c.held[name] = &one
			}
			n.clients[i].holder = &c
		}
	}
	return &n
}

// key tells worlds apart. Instants count from the tick, so that what differs in nothing but a start is one.
func (w *world) key() []byte {
	var b []byte
	num := func(all ...int64) {
		for _, n := range all {
			b = binary.AppendVarint(b, n)
		}
	}
	state := func(s *State) {
		l := s.leases["x"]
		if num(int64(s.token), int64(len(s.sessions))); l != nil {
			num(int64(l.holder), int64(l.token))
		}
		for _, id := range slices.Sorted(maps.Keys(s.sessions)) {
			own := s.sessions[id]
			num(int64(id), int64(own.seq), int64(own.answer.Status), int64(own.version))
		}
	}
	state(w.state)
	num(int64(w.top), int64(w.tick), int64(w.elected))
	for i := range w.leaders {
		l := &w.leaders[i]
		if l.view == nil {
			num(-1)
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(l.view.alone)) {
			num(int64(id), int64(l.view.alone[id]), int64(len(l.view.ending)))
			if l.view.ending[id] {
				num(-2)
			}
		}
		if i != int(w.top) {
			state(l.view.state)
		}
	}
	for i := range w.clients {
		c := &w.clients[i]
		num(int64(c.ask.phase), int64(c.ask.what), int64(c.ask.asked), int64(c.ask.leader), int64(c.ask.answer.Status), int64(c.ask.answer.Token),
			int64(c.ask.answer.Session), int64(c.ask.version), int64(len(c.ask.grants)), int64(c.asks), int64(c.seq))
		if c.ask.yes {
			num(-3)
		}
		if c.holder != nil {
			num(int64(c.holder.Session), int64(c.holder.until), int64(c.holder.version))
			for name, l := range c.holder.held {
				b = append(b, name...)
				num(int64(l.token), int64(l.until), int64(l.since))
			}
		}
	}
	for _, c := range w.log {
		num(int64(c.Kind), int64(c.Session))
	}
	return b
}

// broken is what the model itself leaves out, to show that it is needed.
type leftOut struct{ confirmation bool }

func (w *world) apply(c Command) Answer {
	a := w.state.Apply(c)
	w.leaders[w.top].view.Applied(c, a, w.leaders[w.top].clock)
	return a
}

// next calls visit with each world that can follow.
func (w *world) next(rates [5]Instant, out leftOut, visit func(*world)) {
	if w.tick < ticks {
		n := w.clone()
		n.tick++
		for i := range n.clients {
			n.clients[i].clock += rates[i]
		}
		for i := range n.leaders {
			n.leaders[i].clock += rates[2+i]
		}
		visit(n)
	}
	top := &w.leaders[w.top]
	if len(w.log) == 0 {
		if n := w.clone(); true {
			if n.log = n.leaders[n.top].view.ExpiryCommands(top.clock); len(n.log) > 0 {
				visit(n)
			}
		}
	} else {
		n := w.clone()
		n.apply(n.log[0])
		n.log = n.log[1:]
		visit(n)
	}
	if w.elected < elections {
		for kept := range len(w.log) + 1 { // how much of what was proposed is in the next one's log
			n := w.clone()
			n.elected++
			old := &n.leaders[n.top]
			old.view = old.view.clone(old.view.state.clone()) // it still thinks that it leads
			n.top = (n.top + 1) % 3
			for _, c := range n.log[:kept] {
				n.state.Apply(c)
			}
			n.log = nil
			n.leaders[n.top].view = NewLessor(n.state, n.leaders[n.top].clock)
			visit(n)
		}
	}
	for i := range w.clients {
		w.client(i, out, visit)
	}
}

func (w *world) client(i int, out leftOut, visit func(*world)) {
	c := &w.clients[i]
	begin := func(what Kind, token Token) {
		n := w.clone()
		c := &n.clients[i]
		c.ask = ask{phase: sent, what: what, asked: c.clock, token: token}
		if c.asks++; what != 0 {
			c.seq++
		}
		if what == Release {
			c.holder.Forget("x")
		}
		visit(n)
	}
	switch c.ask.phase {
	case none:
		if c.asks >= questions[i] {
			return
		}
		if c.holder.Expiry() < 0 {
			return
		}
		if token, _, ok := c.holder.Held("x", c.clock); ok {
			begin(Release, token)
		} else {
			begin(Acquire, 0)
		}
		if i == 0 { // the other's session outlives the model
			begin(0, 0)
		}
	case sent:
		for l := range w.leaders {
			if w.leaders[l].view == nil || l != int(w.top) && (c.ask.what != 0 || !out.confirmation) {
				continue // one that does not lead gets nothing committed and nothing confirmed
			}
			n := w.clone()
			q := &n.clients[i]
			q.ask.phase, q.ask.leader = confirmed, uint8(l)
			switch q.ask.what {
			case Acquire, Release:
				q.ask.phase = answered
				q.ask.answer = n.apply(Command{Kind: q.ask.what, Session: q.holder.Session, Seq: q.seq, Name: "x", Token: q.ask.token})
			default:
				q.ask.grants, q.ask.version = n.leaders[l].view.state.Grants(q.holder.Session, q.holder.version)
			}
			visit(n)
		}
	case confirmed: // the leader answers, by now perhaps another's
		n := w.clone()
		q, l := &n.clients[i], &n.leaders[c.ask.leader]
		if q.ask.phase = answered; q.ask.what == 0 {
			if q.ask.yes = l.view.Renewable(q.holder.Session); q.ask.yes {
				l.view.Renew(q.holder.Session, l.clock)
			}
		}
		visit(n)
	case answered:
		n := w.clone()
		n.clients[i].ask = ask{}
		visit(n) // it is lost
		n = w.clone()
		q := &n.clients[i]
		switch a := q.ask; {
		case a.what == Acquire && a.answer.Status == OK:
			q.holder.ApplyGrant(q.clock, "x", a.answer.Token)
		case a.answer.Status == NoSession || a.what == 0 && !a.yes:
			q.holder.Invalidate()
		case a.what == 0:
			q.holder.ApplyKeepAlive(a.asked, a.grants, a.version)
		}
		q.ask = ask{}
		visit(n)
	}
}

// explore looks at all that can be reached and gives how much that is, and whether two ever held.
func explore(rates [5]Instant, out leftOut) (states, held int, two bool) {
	s := NewState()
	first := &world{state: s} // one holds, and both have sessions, the other's a longer one
	first.leaders[0].view = NewLessor(s, 0)
	for i := range first.clients {
		a := first.apply(Command{Kind: Open, Nonce: fmt.Sprint(i), Owner: "same", TTL: modelTTL * time.Duration(1+4*i)})
		first.clients[i].holder = NewSessionState(0, a.Session, modelTTL*time.Duration(1+4*i))
	}
	first.clients[0].seq = 1
	first.clients[0].holder.ApplyGrant(0, "x", first.apply(Command{Kind: Acquire, Session: 1, Seq: 1, Name: "x"}).Token)
	type hash [32]byte
	seen, todo := map[hash]struct{}{}, []*world{first}
	for len(todo) > 0 && !two {
		w := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		n := 0
		for i := range w.clients {
			if h := w.clients[i].holder; h != nil {
				if _, _, ok := h.Held("x", w.clients[i].clock); ok {
					n++
				}
			}
		}
		held += min(n, 1)
		two = n > 1
		w.next(rates, out, func(n *world) {
			k := hash(sha256.Sum256(n.key()))
			if _, known := seen[k]; !known {
				seen[k] = struct{}{}
				todo = append(todo, n)
			}
		})
	}
	return len(seen), held, two
}

// Every state of the model, with the clocks of clients and leaders at either end of the bound: no two hold. Without the
// confirmation by a majority two do; what else the argument needs is taken out of the code by TestTheChecksCanFail.
func TestExploration(t *testing.T) {
	var all atomic.Int64
	var sides sync.WaitGroup
	turn := make(chan struct{}, 2) // others test processes meanwhile
	for _, rates := range [][5]Instant{
		{slow, slow, fast, fast, fast}, {fast, fast, slow, slow, slow}, {slow, fast, fast, slow, fast}, {fast, slow, slow, fast, slow},
	} {
		turn <- struct{}{}
		sides.Go(func() {
			defer func() { <-turn }()
			states, held, two := explore(rates, leftOut{})
			if two || held == 0 {
				t.Errorf("rates %v: two hold: %v; in %d of %d states one holds", rates, two, held, states)
			}
			all.Add(int64(states))
		})
	}
	sides.Wait()
	t.Logf("%d states", all.Load())
	if _, _, two := explore([5]Instant{slow, slow, fast, fast, fast}, leftOut{confirmation: true}); !two {
		t.Error("without the confirmation nothing goes wrong: the model is blind")
	}
}
