package registry

import (
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func instance(id string, sequence int64, state State) Instance {
	return Instance{ID: id, Service: "llm", Address: "10.0.0.1:80", State: state, Sequence: sequence}
}

func TestALateCallChangesNothing(t *testing.T) {
	g := New()
	require.True(t, g.Beat(instance("a", 5, Draining), time.Second))
	require.False(t, g.Beat(instance("a", 4, Ready), 2*time.Second))
	require.Empty(t, g.Usable("llm"))
}

func TestADrainIsNotTakenBack(t *testing.T) {
	g := New()
	g.Beat(instance("a", 5, Draining), time.Second)
	g.Beat(instance("a", 6, Ready), 2*time.Second)
	require.Equal(t, Draining, g.Entry("a").State)
}

func TestSilenceAndReturn(t *testing.T) {
	g := New()
	g.Beat(instance("a", 1, Ready), 0)
	require.False(t, g.Expire(5*time.Second, 4*time.Second))
	require.True(t, g.Expire(5*time.Second, 6*time.Second))
	require.Empty(t, g.Usable("llm"))
	require.True(t, g.Beat(instance("a", 2, Ready), 7*time.Second))
	require.Len(t, g.Usable("llm"), 1)
}

func TestAnAddressIsTakenOver(t *testing.T) {
	g := New()
	g.Beat(instance("a", 1, Ready), 0)
	other := instance("b", 1, Ready)
	other.Service = "registry"
	g.Beat(other, 3*time.Second)
	require.Empty(t, g.Usable("llm"))
	require.Len(t, g.Usable("registry"), 1)
}

// Two control sidecars that judge differently who is lost tell one another no end of news, if either takes over the
// other's word.
func TestJudgementsDoNotGoBackAndForth(t *testing.T) {
	a, b := New(), New()
	a.Beat(instance("x", 1, Ready), 0)
	b.Beat(instance("x", 1, Ready), 5*time.Second)
	now := 6 * time.Second
	a.Expire(4*time.Second, now)
	var fromA, fromB uint64
	messages := 0
	for range 50 {
		toB, toA := a.Since(fromA, now), b.Since(fromB, now)
		fromA, fromB = a.Stamp(), b.Stamp()
		messages += len(toA) + len(toB)
		now += time.Millisecond
		for _, u := range toB {
			b.Merge(u, now)
		}
		for _, u := range toA {
			a.Merge(u, now)
		}
	}
	require.Less(t, messages, 6)
	a.Expire(4*time.Second, now)
	require.Len(t, a.Usable("llm"), 1)
	require.Len(t, b.Usable("llm"), 1)
}

func TestASubscriberAdoptsItsHomesWord(t *testing.T) {
	g := New()
	g.Adopt(Update{Instance: instance("a", 1, Ready)}, time.Second)
	require.Len(t, g.Usable("llm"), 1)
	require.True(t, g.Adopt(Update{Instance: instance("a", 1, Ready), Lost: true}, 2*time.Second))
	require.Empty(t, g.Usable("llm"))
}

// What is read from a disk after a restart is older than it looks: the instance that lives at an address wins as soon as it
// is heard.
func TestTheLivingInstanceGetsItsAddressBack(t *testing.T) {
	g := New()
	g.Beat(instance("new", 1, Ready), time.Second)
	g.Merge(Update{Instance: instance("dead", 9, Ready)}, 2*time.Second)
	require.Equal(t, "dead", g.Usable("llm")[0].ID)
	g.Beat(instance("new", 2, Ready), 3*time.Second)
	g.Expire(5*time.Second, 3*time.Second)
	require.Len(t, g.Usable("llm"), 1)
	require.Equal(t, "new", g.Usable("llm")[0].ID)
}

// What changed since any stamp is what a look at all entries would find, however often entries change, come and are forgotten; and
// what is kept of changes is bounded by the entries.
func TestSinceIsWhatALookAtAllEntriesFinds(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	g := New()
	now := time.Duration(0)
	for step := range 5_000 {
		now += time.Duration(random.Intn(400)) * time.Millisecond
		id := fmt.Sprint("i", random.Intn(40))
		g.Beat(Instance{ID: id, Service: "s", Address: fmt.Sprint("a", random.Intn(30)), State: State(random.Intn(3) / 2), Sequence: int64(step)}, now)
		if random.Intn(5) == 0 {
			g.Expire(5*time.Second, now)
		}
		stamp := uint64(random.Intn(int(g.Stamp()) + 1))
		var want []string
		for _, e := range g.entries {
			if e.Stamp > stamp {
				want = append(want, e.ID)
			}
		}
		sort.Slice(want, func(i, j int) bool { return g.entries[want[i]].Stamp < g.entries[want[j]].Stamp })
		var got []string
		for _, u := range g.Since(stamp, now) {
			got = append(got, u.Instance.ID)
		}
		require.Equal(t, want, got)
		require.LessOrEqual(t, len(g.changes), 2*len(g.entries)+spareChanges+1)
	}
}
