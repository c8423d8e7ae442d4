package replication

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// statesVariable is the environment variable that sets how many states an exploration visits at most. Without it, each
// exploration visits a sample that takes some seconds.
const statesVariable = "PETRELHOOK_STATES"

// hasMajority reports whether a replica is primary and a majority of its view's members would still confirm it.
func (w *world) hasMajority(r *Replica) bool {
	votes := map[string]bool{}
	for _, n := range w.nodes {
		votes[n.replica.Self.ID] = !r.leadership.view.Epoch.Less(n.replica.hard.Promised)
	}
	return r.role == primary && majority(r.leadership.view.Members, votes)
}

// violation describes the invariant that a world violates, or returns "".
func (w *world) violation() string {
	if w.conflict != "" {
		return "one sequence number, two entries: " + w.conflict
	}
	primaryWithMajority := ""
	for _, address := range sortedKeys(w.nodes) {
		r := w.nodes[address].replica
		if !w.hasMajority(r) {
			continue
		}
		if primaryWithMajority != "" {
			return "two primaries have a majority: " + primaryWithMajority + " and " + address
		}
		primaryWithMajority = address
		applied := w.nodes[address].log.entries
		if len(applied) < len(w.committed) || !slices.Equal(applied[:len(w.committed)], w.committed) {
			return fmt.Sprintf("%s leads with %v where %v was acknowledged", address, applied, w.committed)
		}
		if len(r.leadership.view.InSync) < r.minInSync() {
			return address + " leads with too few disks in sync"
		}
		if ahead := w.aheadOf(address); ahead != "" {
			return ahead + " is in sync with " + address + ", and has an entry that " + address + " has not"
		}
	}
	return ""
}

// aheadOf returns the address of an in-sync replica in a primary's epoch whose entries are not a prefix of the primary's, or
// "" if there is none. Such a replica would acknowledge no further entry.
func (w *world) aheadOf(primaryAddress string) string {
	n := w.nodes[primaryAddress]
	view := &n.replica.leadership.view
	for _, address := range sortedKeys(w.nodes) {
		other := w.nodes[address]
		r := other.replica
		if !view.inSync(r.Self.ID) || r.hard.Promised != view.Epoch || r.hard.Accepted.Epoch != view.Epoch {
			continue
		}
		if applied := other.log.entries; len(applied) > len(n.log.entries) || !slices.Equal(applied, n.log.entries[:len(applied)]) {
			return address
		}
	}
	return ""
}

// exploringGCPercent lets the heap of an exploration grow further between two collections: most of it is short-lived garbage.
const exploringGCPercent = 400

// exploration visits all reachable worlds, up to a maximum, on several goroutines.
type exploration struct {
	mutex         sync.Mutex
	changed       *sync.Cond
	seen          map[fingerprint]struct{}
	stack         []*world
	activeWorkers int
	maxStates     int
	maxDepth      int
	complete      bool
	heapFull      bool // it stopped because of its memory
	violation     string
	trace         []string
	visit         func(w *world) string // a check in addition to violation; it returns "" for a valid world
}

func explore(start *world, maxStates int, visit func(w *world) string) *exploration {
	x := &exploration{seen: map[fingerprint]struct{}{}, maxStates: maxStates, stack: []*world{start}, visit: visit}
	x.changed = sync.NewCond(&x.mutex)
	defer debug.SetGCPercent(debug.SetGCPercent(exploringGCPercent))
	x.seen[start.fingerprint()] = struct{}{}
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(x.work)
	}
	group.Wait()
	x.complete = x.violation == "" && !x.heapFull && len(x.stack) == 0
	return x
}

func (x *exploration) next() *world {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for {
		if x.violation != "" || x.heapFull || len(x.seen) >= x.maxStates || len(x.stack) == 0 && x.activeWorkers == 0 {
			x.changed.Broadcast()
			return nil
		}
		if n := len(x.stack); n > 0 {
			w := x.stack[n-1]
			x.stack = x.stack[:n-1]
			x.activeWorkers++
			return w
		}
		x.changed.Wait()
	}
}

func (x *exploration) work() {
	for w := x.next(); w != nil; w = x.next() {
		var newWorlds []*world
		for _, s := range w.steps() {
			next := w.clone()
			next.trace = append(next.trace, s.name)
			s.do(next)
			if x.record(next) {
				newWorlds = append(newWorlds, next)
			}
		}
		x.mutex.Lock()
		x.stack = append(x.stack, newWorlds...)
		x.activeWorkers--
		x.changed.Broadcast()
		x.mutex.Unlock()
	}
}

// record adds a world to the visited ones, and reports whether it is new and valid.
func (x *exploration) record(w *world) bool {
	f := w.fingerprint()
	x.mutex.Lock()
	_, seen := x.seen[f]
	x.seen[f] = struct{}{}
	if !seen && len(x.seen)%statesPerHeapCheck == 0 {
		x.heapFull = x.heapFull || heapBytes() > maxHeapBytes
	}
	x.maxDepth = max(x.maxDepth, len(w.trace))
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

// An exploration stops and sets heapFull once its heap has grown beyond maxHeapBytes.
const (
	maxHeapBytes       = 10 << 30
	statesPerHeapCheck = 50_000
)

// heapBytes returns the size of the heap in bytes, garbage included.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// sampleOf returns how many states of a world a default run visits: fewer with renamings, since each state is then encoded
// once for every renaming.
func sampleOf(w *world, usual int) int {
	if len(w.layout.renamings) > 1 {
		return usual / renamedSampleDivisor
	}
	return usual
}

const renamedSampleDivisor = 4

func maxStates(t *testing.T, usual int) int {
	t.Helper()
	if text := os.Getenv(statesVariable); text != "" {
		n, err := strconv.Atoi(text)
		require.NoError(t, err)
		return n
	}
	return usual
}

// completeInCI are explorations that each run without the race detector completes: the states after an abandoned change of
// members.
var completeInCI = []string{"overtaken, one candidacy", "abandoned, two candidacies"}

// guardWorlds are the small worlds each of which detects the removal of one guard. Each run without the race detector
// explores them completely too.
var guardWorlds = []string{"one behind, two candidacies", "a late state, one candidacy", "five, after a joint view"}

func TestExplorationOfAbandonedViews(t *testing.T) {
	all := explorations()
	for _, name := range completeInCI {
		exploreAll(t, name, all[name], allStates)
	}
}

func TestExplorationOfWorldsForGuards(t *testing.T) {
	all := explorations()
	for _, name := range guardWorlds {
		exploreAll(t, name, all[name], allStates)
	}
}

func exploreAll(t *testing.T, name string, start *world, maxStates int) {
	t.Helper()
	began := time.Now()
	x := explore(start, maxStates, nil)
	t.Logf("%s: %d states, %d steps deep, complete %t, %v", name, len(x.seen), x.maxDepth, x.complete, time.Since(began).Round(time.Millisecond))
	require.Empty(t, x.violation, strings.Join(x.trace, "\n"))
	require.False(t, x.heapFull, "the bound on memory was reached after %d states", len(x.seen))
	require.True(t, x.complete || len(x.seen) >= maxStates)
}

// Visits a sample of the states of each exploration, or as many as statesVariable sets.
func TestExploration(t *testing.T) {
	all := explorations()
	for _, name := range sortedKeys(all) {
		t.Run(name, func(t *testing.T) { exploreAll(t, name, all[name], maxStates(t, sampleOf(all[name], sampledStates))) })
	}
}

// An exploration with symmetry reduction agrees with one without: both are complete and find no violation, and the states
// that the visited worlds of the first represent are as many as those that the second visits.
func TestReducedAndFullExplorationsAgree(t *testing.T) {
	for name, start := range map[string]func() *world{
		"five, one candidacy": func() *world { return coreOfFive(budget{candidacies: 1}) },
		"five with a lost disk, its machine alike": func() *world {
			w := coreOfFive(budget{candidacies: 1, wipes: 1})
			w.layout.candidates = []string{"b"}
			return w
		},
	} {
		t.Run(name, func(t *testing.T) {
			var standsFor atomic.Int64
			reduced := explore(start(), allStates, func(w *world) string {
				standsFor.Add(int64(w.distinctRenamings()))
				return ""
			})
			full := start()
			first := full.distinctRenamings() // of the start, for which visit is not called
			full.layout.renamings = nil
			all := explore(full, allStates, nil)
			t.Logf("%d states, which represent %d", len(reduced.seen), len(all.seen))
			require.Empty(t, reduced.violation+all.violation)
			if !reduced.complete || !all.complete {
				t.Log("only a sample was visited")
				return
			}
			require.Equal(t, len(all.seen), int(standsFor.Load())+first)
			require.Less(t, len(reduced.seen), len(all.seen))
		})
	}
}

// distinctRenamings returns the number of different worlds among the renamings of a world.
func (w *world) distinctRenamings() int {
	distinct := map[string]bool{}
	for i := range max(1, len(w.layout.renamings)) {
		distinct[string(w.encode(i))] = true
	}
	return len(distinct)
}
