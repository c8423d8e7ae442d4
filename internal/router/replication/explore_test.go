package replication

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// statesVariable sets how many states an exploration visits at most; without it, a sample that needs some seconds.
const statesVariable = "PETRELHOOK_STATES"

// decides reports whether a majority of a primary's members would still confirm it.
func (w *world) decides(r *Replica) bool {
	votes := map[string]bool{}
	for _, n := range w.nodes {
		votes[n.replica.Self.ID] = !r.leadership.view.Epoch.Less(n.replica.hard.Promised)
	}
	return r.role == primary && majority(r.leadership.view.Members, votes)
}

// violation names the invariant that a world violates, or is "".
func (w *world) violation() string {
	if w.conflict != "" {
		return "one sequence number, two entries: " + w.conflict
	}
	deciding := ""
	for _, address := range sortedKeys(w.nodes) {
		r := w.nodes[address].replica
		if !w.decides(r) {
			continue
		}
		if deciding != "" {
			return "two primaries decide: " + deciding + " and " + address
		}
		deciding = address
		has := w.nodes[address].log.entries
		if len(has) < len(w.committed) || !slices.Equal(has[:len(w.committed)], w.committed) {
			return fmt.Sprintf("%s leads with %v where %v was acknowledged", address, has, w.committed)
		}
		if len(r.leadership.view.InSync) < r.minInSync() {
			return address + " leads with too few disks in sync"
		}
	}
	return ""
}

// key is a hash of a world's state: two worlds with one key behave alike from there.
func (w *world) key() [sha256.Size]byte {
	k := make(keyText, 0, 4<<10)
	k.number(w.remaining.candidacies, w.remaining.writes, w.remaining.wipes, w.remaining.restarts, w.remaining.lateAccepts)
	k.texts(w.committed)
	for _, to := range sortedRequests(w.inFlight) {
		k.text(to.from)
		k.text(to.to)
		k.request(w.inFlight[to])
	}
	for _, l := range w.lateAccepts {
		k.text(l.from)
		k.text(l.to)
		k.epoch(l.message.View.Epoch)
	}
	for _, address := range sortedKeys(w.nodes) {
		n := w.nodes[address]
		if n.key == nil || w.owned[address] {
			own := make(keyText, 0, 1<<10)
			own.node(n)
			n.key = own
		}
		k = append(k, n.key...)
	}
	return sha256.Sum256(k)
}

// keyText is an encoded state: values in a fixed order, each delimited.
type keyText []byte

func (k *keyText) number(values ...int) {
	for _, v := range values {
		*k = binary.AppendVarint(*k, int64(v))
	}
}

func (k *keyText) flag(b bool) {
	if b {
		k.number(1)
	} else {
		k.number(0)
	}
}

func (k *keyText) text(s string) {
	*k = append(*k, s...)
	*k = append(*k, 0)
}

func (k *keyText) texts(list []string) {
	k.number(len(list))
	for _, s := range list {
		k.text(s)
	}
}

func (k *keyText) epoch(e Epoch) {
	k.number(int(e.Round))
	k.text(e.Node)
}

func (k *keyText) position(p Position) {
	k.epoch(p.Epoch)
	k.number(int(p.Sequence))
}

func (k *keyText) members(list []Member) {
	k.number(len(list))
	for _, m := range list {
		k.text(m.ID)
	}
}

func (k *keyText) view(v View) {
	k.epoch(v.Epoch)
	k.texts(v.InSync)
	k.members(v.Members)
	k.members(v.Old)
}

func (k *keyText) request(m Message) {
	switch m := m.(type) {
	case Prepare:
		k.number(1)
		k.epoch(m.Epoch)
	case Sync:
		k.number(2, len(m.Entries), len(m.Snapshot))
		k.epoch(m.Epoch)
		k.position(m.Position)
		k.position(m.After)
	case Accept:
		k.number(3)
		k.view(m.View)
	case Replicate:
		k.number(4, int(m.Sequence))
		k.epoch(m.Epoch)
		k.text(string(m.Entry))
	case Heartbeat:
		k.number(5, int(m.Committed))
		k.epoch(m.Epoch)
		k.flag(m.View != nil)
	}
}

func (k *keyText) node(n *exploredNode) {
	r := n.replica
	k.text(r.Self.ID)
	k.number(int(r.role))
	k.epoch(r.hard.Promised)
	k.view(r.hard.Accepted)
	k.view(r.knownView)
	k.position(r.state.position)
	k.position(r.state.published)
	k.position(r.state.history.base)
	k.texts(n.log.entries)
	if r.role == candidate {
		k.election(&r.election)
	}
	if r.role != follower {
		k.leading(&r.leadership)
	}
}

func (k *keyText) election(e *election) {
	k.epoch(e.epoch)
	k.number(int(e.phase))
	k.texts(sortedKeys(e.prepare.votes))
	k.view(e.newestView)
	k.texts(sortedKeys(e.sync.synced))
	k.texts(sortedKeys(e.sync.requested))
	k.texts(sortedKeys(e.accept.votes))
	for _, address := range sortedKeys(e.prepare.promises) {
		k.text(address)
		k.position(e.prepare.promises[address].Position)
	}
	if e.phase == accepting {
		k.view(e.accept.view)
	}
}

func (k *keyText) leading(l *leadership) {
	k.epoch(l.view.Epoch)
	k.flag(l.staged.proposal != nil)
	k.number(int(l.committed), len(l.proposals))
	k.texts(sortedKeys(l.staged.acks))
	for _, id := range sortedKeys(l.statuses) {
		a := l.statuses[id]
		k.text(id)
		k.epoch(a.knownEpoch)
		k.position(a.durablePosition)
		k.flag(a.hasDisk)
		k.flag(a.lastContact == 0)
	}
}

// exploration visits worlds until none is new, or until it has visited enough.
type exploration struct {
	mutex     sync.Mutex
	wake      *sync.Cond
	seen      map[[sha256.Size]byte]bool
	stack     []*world
	busy      int
	maxStates int
	deepest   int
	complete  bool
	violation string
	trace     []string
	visit     func(w *world) string // a check beyond violation; "" is fine
}

func explore(start *world, maxStates int, visit func(w *world) string) *exploration {
	x := &exploration{seen: map[[sha256.Size]byte]bool{}, maxStates: maxStates, stack: []*world{start}, visit: visit}
	x.wake = sync.NewCond(&x.mutex)
	x.seen[start.key()] = true
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(x.work)
	}
	group.Wait()
	x.complete = x.violation == "" && len(x.stack) == 0
	return x
}

func (x *exploration) next() *world {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for {
		if x.violation != "" || len(x.seen) >= x.maxStates || len(x.stack) == 0 && x.busy == 0 {
			x.wake.Broadcast()
			return nil
		}
		if n := len(x.stack); n > 0 {
			w := x.stack[n-1]
			x.stack = x.stack[:n-1]
			x.busy++
			return w
		}
		x.wake.Wait()
	}
}

func (x *exploration) work() {
	for w := x.next(); w != nil; w = x.next() {
		var fresh []*world
		for _, s := range w.steps() {
			next := w.clone()
			next.trace = append(next.trace, s.name)
			s.do(next)
			if x.record(next) {
				fresh = append(fresh, next)
			}
		}
		x.mutex.Lock()
		x.stack = append(x.stack, fresh...)
		x.busy--
		x.wake.Broadcast()
		x.mutex.Unlock()
	}
}

// record adds a world to those seen, and reports whether it is new and violates nothing.
func (x *exploration) record(w *world) bool {
	key := w.key()
	x.mutex.Lock()
	seen := x.seen[key]
	x.seen[key] = true
	x.deepest = max(x.deepest, len(w.trace))
	x.mutex.Unlock()
	if seen {
		return false
	}
	fault := w.violation()
	if fault == "" && x.visit != nil {
		fault = x.visit(w)
	}
	if fault == "" {
		return true
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.violation == "" || len(w.trace) < len(x.trace) {
		x.violation, x.trace = fault, w.trace
	}
	return false
}

func maxStates(t *testing.T, usual int) int {
	t.Helper()
	if text := os.Getenv(statesVariable); text != "" {
		n, err := strconv.Atoi(text)
		require.NoError(t, err)
		return n
	}
	return usual
}

// Two more zones: d and e are added. c's zone has a second machine: d replaces c, with which a has had no contact for long.
var (
	joiningZones     = map[string]string{"a": "1", "b": "2", "c": "3", "d": "4", "e": "5"}
	replacementZones = map[string]string{"a": "1", "b": "2", "c": "3", "d": "3"}
)

func replacementWorld(left budget) *world {
	w := newWorld(left, replacementZones)
	primaryReplica := w.nodes["a"].replica
	primaryReplica.leadership.viewSince, primaryReplica.leadership.primarySince = 0, 0
	gone := primaryReplica.leadership.statuses["c"]
	gone.lastContact = 0
	primaryReplica.leadership.statuses["c"] = gone
	return w
}

// abandonedWorld is a replacement whose first view was proposed by a, which stepped down with that view on its own disk alone.
func abandonedWorld(left budget) *world {
	w := replacementWorld(budget{candidacies: 1})
	for _, name := range []string{"a campaigns", "a>b Prepare", "a>d Prepare", "a waits no longer", "a>b Sync", "a>d Sync"} {
		w.playStep(name)
	}
	if accepted := w.nodes["a"].replica.hard.Accepted; !accepted.joint() {
		panic("a proposed nothing: " + w.nodes["a"].replica.Status())
	}
	w.node("a").replica.stepDown()
	clear(w.inFlight)
	w.remaining, w.trace = left, nil
	return w
}

// overtakenWorld continues from an abandoned view: b, which does not know of it, has become primary with c, and an entry was acknowledged.
// a knows of a later epoch.
func overtakenWorld(left budget) *world {
	w := abandonedWorld(budget{candidacies: 1, writes: 1})
	for _, name := range []string{"b campaigns", "b>c Prepare", "b waits no longer", "b>c Sync", "b>c Accept", "b commits an entry", "b>c Replicate"} {
		w.playStep(name)
	}
	if len(w.committed) != 1 {
		panic("no entry was acknowledged: " + w.nodes["b"].replica.Status())
	}
	w.node("a").replica.hard.Promised.Round = w.nodes["b"].replica.hard.Promised.Round
	w.remaining, w.trace = left, nil
	return w
}

// jointWorld continues from a replacement that is in force, which b has accepted and does not know to be; a and d have moved to another view
// without b, and an entry was acknowledged there.
func jointWorld(left budget) *world {
	w := replacementWorld(budget{candidacies: 2, writes: 1})
	for _, name := range []string{"a campaigns", "a>b Prepare", "a>d Prepare", "a waits no longer", "a>b Sync", "a>d Sync", "a>b Accept",
		"a campaigns", "a>d Prepare", "a waits no longer", "a>d Sync", "a>d Accept", "a commits an entry", "a>d Replicate"} {
		w.playStep(name)
	}
	if b := w.nodes["b"].replica.hard.Accepted; len(w.committed) != 1 || !b.joint() || b.Epoch == w.nodes["a"].replica.hard.Accepted.Epoch {
		panic("no entry was acknowledged after a joint view: " + w.nodes["a"].replica.Status())
	}
	clear(w.inFlight)
	w.remaining, w.trace = left, nil
	return w
}

// playStep does the first step whose name has a prefix.
func (w *world) playStep(name string) {
	for _, s := range w.steps() {
		if strings.HasPrefix(strings.ReplaceAll(s.name, "replication.", ""), name) {
			s.do(w)
			return
		}
	}
	panic("no such step: " + name)
}

func explorations() map[string]*world {
	return map[string]*world{
		"replaced, two candidacies":           replacementWorld(budget{candidacies: 2}),
		"replaced, two candidacies, an order": replacementWorld(budget{candidacies: 2, writes: 1}),
		"replaced, a lost disk":               replacementWorld(budget{candidacies: 2, wipes: 1}),
		"replaced, a restart":                 replacementWorld(budget{candidacies: 2, restarts: 1}),
		"replaced, a late view":               replacementWorld(budget{candidacies: 2, lateAccepts: 1}),
		"abandoned, one candidacy":            abandonedWorld(budget{candidacies: 1, writes: 1}),
		"abandoned, two candidacies":          abandonedWorld(budget{candidacies: 2}),
		"overtaken, one candidacy":            overtakenWorld(budget{candidacies: 1, writes: 1, lateAccepts: 1}),
		"overtaken, two candidacies":          overtakenWorld(budget{candidacies: 2}),
		"joint in force, one candidacy":       jointWorld(budget{candidacies: 1, writes: 1}),
		"joint in force, two candidacies":     jointWorld(budget{candidacies: 2}),
		"two join, one candidacy":             newWorld(budget{candidacies: 1, writes: 1}, joiningZones),
		"two join, two candidacies":           newWorld(budget{candidacies: 2}, joiningZones),
	}
}

// completeInCI are explored completely in each run without the race detector: what follows an abandoned change of members.
var completeInCI = []string{"overtaken, one candidacy", "abandoned, two candidacies"}

func TestExplorationOfAbandonedViews(t *testing.T) {
	all := explorations()
	for _, name := range completeInCI {
		exploreAll(t, name, all[name], allStates)
	}
}

func exploreAll(t *testing.T, name string, start *world, maxStates int) {
	t.Helper()
	began := time.Now()
	x := explore(start, maxStates, nil)
	t.Logf("%s: %d states, %d steps deep, complete %t, %v", name, len(x.seen), x.deepest, x.complete, time.Since(began).Round(time.Millisecond))
	require.Empty(t, x.violation, strings.Join(x.trace, "\n"))
	require.True(t, x.complete || len(x.seen) >= maxStates)
}

// A sample of all worlds, or as many states as the variable says.
func TestExploration(t *testing.T) {
	all := explorations()
	for _, name := range sortedKeys(all) {
		t.Run(name, func(t *testing.T) { exploreAll(t, name, all[name], maxStates(t, sampledStates)) })
	}
}
