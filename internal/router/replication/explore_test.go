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

// statesVariable sets how many states an exploration visits at the most; without it, a share that takes some seconds.
const statesVariable = "PETRELHOOK_STATES"

// decides reports whether a majority of a primary's members would still confirm it.
func (w *world) decides(r *Replica) bool {
	votes := map[string]bool{}
	for _, n := range w.nodes {
		votes[n.replica.Self.ID] = !r.leading.view.Epoch.Less(n.replica.hard.Promised)
	}
	return r.role == primary && majority(r.leading.view.Members, votes)
}

// broken says which invariant a world breaks, or "".
func (w *world) broken() string {
	if w.doubled != "" {
		return "one number, two entries: " + w.doubled
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
		if len(r.leading.view.InSync) < r.minInSync() {
			return address + " leads with too few disks in sync"
		}
	}
	return ""
}

// key names a world's state: two with one key go on alike.
func (w *world) key() [sha256.Size]byte {
	k := make(keyText, 0, 4<<10)
	k.number(w.left.candidacies, w.left.writes, w.left.wipes, w.left.restarts, w.left.lates)
	k.texts(w.committed)
	for _, to := range sortedRequests(w.on) {
		k.text(to.from)
		k.text(to.to)
		k.request(w.on[to])
	}
	for _, l := range w.late {
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

// keyText is a state in writing: values in a fixed order, each with its end.
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

func (k *keyText) node(n *explored) {
	r := n.replica
	k.text(r.Self.ID)
	k.number(int(r.role))
	k.epoch(r.hard.Promised)
	k.view(r.hard.Accepted)
	k.view(r.known)
	k.position(r.position)
	k.position(r.published)
	k.position(r.history.base)
	k.texts(n.log.entries)
	if r.role == candidate {
		k.election(&r.election)
	}
	if r.role != follower {
		k.leading(&r.leading)
	}
}

func (k *keyText) election(e *election) {
	k.epoch(e.epoch)
	k.number(int(e.phase))
	k.texts(sortedKeys(e.votes))
	k.view(e.newest)
	k.texts(sortedKeys(e.synced))
	k.texts(sortedKeys(e.joining))
	k.texts(sortedKeys(e.accepts))
	for _, address := range sortedKeys(e.promises) {
		k.text(address)
		k.position(e.promises[address].Position)
	}
	if e.phase == accepting {
		k.view(e.view)
	}
}

func (k *keyText) leading(l *leading) {
	k.epoch(l.view.Epoch)
	k.flag(l.staged != nil)
	k.number(int(l.committed), len(l.queue))
	k.texts(sortedKeys(l.acks))
	for _, id := range sortedKeys(l.acked) {
		a := l.acked[id]
		k.text(id)
		k.epoch(a.known)
		k.position(a.position)
		k.flag(a.disk)
		k.flag(a.at == 0)
	}
}

// exploration visits worlds until none is new, or enough were.
type exploration struct {
	mutex   sync.Mutex
	wake    *sync.Cond
	seen    map[[sha256.Size]byte]bool
	stack   []*world
	busy    int
	most    int
	deepest int
	whole   bool
	fault   string
	trace   []string
	visit   func(w *world) string // beyond broken; "" is fine
}

func explore(start *world, most int, visit func(w *world) string) *exploration {
	x := &exploration{seen: map[[sha256.Size]byte]bool{}, most: most, stack: []*world{start}, visit: visit}
	x.wake = sync.NewCond(&x.mutex)
	x.seen[start.key()] = true
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(x.work)
	}
	group.Wait()
	x.whole = x.fault == "" && len(x.stack) == 0
	return x
}

func (x *exploration) next() *world {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for {
		if x.fault != "" || len(x.seen) >= x.most || len(x.stack) == 0 && x.busy == 0 {
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
			if x.note(next) {
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

// note takes in a world, and reports whether it is new and may go on.
func (x *exploration) note(w *world) bool {
	key := w.key()
	x.mutex.Lock()
	seen := x.seen[key]
	x.seen[key] = true
	x.deepest = max(x.deepest, len(w.trace))
	x.mutex.Unlock()
	if seen {
		return false
	}
	fault := w.broken()
	if fault == "" && x.visit != nil {
		fault = x.visit(w)
	}
	if fault == "" {
		return true
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.fault == "" || len(w.trace) < len(x.trace) {
		x.fault, x.trace = fault, w.trace
	}
	return false
}

func mostStates(t *testing.T, usual int) int {
	if text := os.Getenv(statesVariable); text != "" {
		n, err := strconv.Atoi(text)
		require.NoError(t, err)
		return n
	}
	return usual
}

// Two more zones: d and e are added. c's zone has a second machine: d takes c's place, which a has not heard for long.
var (
	joiningZones     = map[string]string{"a": "1", "b": "2", "c": "3", "d": "4", "e": "5"}
	replacementZones = map[string]string{"a": "1", "b": "2", "c": "3", "d": "3"}
)

func replacementWorld(left budget) *world {
	w := newWorld(left, replacementZones)
	lead := w.nodes["a"].replica
	lead.leading.since, lead.leading.began = 0, 0
	gone := lead.leading.acked["c"]
	gone.at = 0
	lead.leading.acked["c"] = gone
	return w
}

// abandonedWorld is a replacement whose first view was proposed by a, which gave it up with that view on its own disk alone.
func abandonedWorld(left budget) *world {
	w := replacementWorld(budget{candidacies: 1})
	for _, name := range []string{"a campaigns", "a>b Prepare", "a>d Prepare", "a waits no longer", "a>b Sync", "a>d Sync"} {
		w.play(name)
	}
	if accepted := w.nodes["a"].replica.hard.Accepted; !accepted.joint() {
		panic("a proposed nothing: " + w.nodes["a"].replica.Status())
	}
	w.node("a").replica.stepDown()
	clear(w.on)
	w.left, w.trace = left, nil
	return w
}

// overtakenWorld goes on from an abandoned view: b has taken over with c, which know nothing of it, and an order was acknowledged. a has heard
// of a later epoch.
func overtakenWorld(left budget) *world {
	w := abandonedWorld(budget{candidacies: 1, writes: 1})
	for _, name := range []string{"b campaigns", "b>c Prepare", "b waits no longer", "b>c Sync", "b>c Accept", "b takes an order", "b>c Replicate"} {
		w.play(name)
	}
	if len(w.committed) != 1 {
		panic("no order was acknowledged: " + w.nodes["b"].replica.Status())
	}
	w.node("a").replica.hard.Promised.Round = w.nodes["b"].replica.hard.Promised.Round
	w.left, w.trace = left, nil
	return w
}

// jointWorld goes on from a replacement that is in force, which b has accepted and does not know to be; a and d have gone on to another view
// without b, and an order was acknowledged there.
func jointWorld(left budget) *world {
	w := replacementWorld(budget{candidacies: 2, writes: 1})
	for _, name := range []string{"a campaigns", "a>b Prepare", "a>d Prepare", "a waits no longer", "a>b Sync", "a>d Sync", "a>b Accept",
		"a campaigns", "a>d Prepare", "a waits no longer", "a>d Sync", "a>d Accept", "a takes an order", "a>d Replicate"} {
		w.play(name)
	}
	if b := w.nodes["b"].replica.hard.Accepted; len(w.committed) != 1 || !b.joint() || b.Epoch == w.nodes["a"].replica.hard.Accepted.Epoch {
		panic("no order was acknowledged after a joint view: " + w.nodes["a"].replica.Status())
	}
	clear(w.on)
	w.left, w.trace = left, nil
	return w
}

// play does the first step whose name begins so.
func (w *world) play(name string) {
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
		"replaced, a late view":               replacementWorld(budget{candidacies: 2, lates: 1}),
		"abandoned, one candidacy":            abandonedWorld(budget{candidacies: 1, writes: 1}),
		"abandoned, two candidacies":          abandonedWorld(budget{candidacies: 2}),
		"overtaken, one candidacy":            overtakenWorld(budget{candidacies: 1, writes: 1, lates: 1}),
		"overtaken, two candidacies":          overtakenWorld(budget{candidacies: 2}),
		"joint in force, one candidacy":       jointWorld(budget{candidacies: 1, writes: 1}),
		"joint in force, two candidacies":     jointWorld(budget{candidacies: 2}),
		"two join, one candidacy":             newWorld(budget{candidacies: 1, writes: 1}, joiningZones),
		"two join, two candidacies":           newWorld(budget{candidacies: 2}, joiningZones),
	}
}

// wholeInCI are explored to their ends in each run without the race detector: what follows a change of members that was given up.
var wholeInCI = []string{"overtaken, one candidacy", "abandoned, two candidacies"}

func TestExplorationOfAbandonedViews(t *testing.T) {
	all := explorations()
	for _, name := range wholeInCI {
		exploreAll(t, name, all[name], allStates)
	}
}

func exploreAll(t *testing.T, name string, start *world, most int) {
	began := time.Now()
	x := explore(start, most, nil)
	t.Logf("%s: %d states, %d steps deep, whole %t, %v", name, len(x.seen), x.deepest, x.whole, time.Since(began).Round(time.Millisecond))
	require.Empty(t, x.fault, strings.Join(x.trace, "\n"))
	require.True(t, x.whole || len(x.seen) >= most)
}

// A share of everything, or as much as the variable says.
func TestExploration(t *testing.T) {
	all := explorations()
	for _, name := range sortedKeys(all) {
		t.Run(name, func(t *testing.T) { exploreAll(t, name, all[name], mostStates(t, shareOfStates)) })
	}
}
