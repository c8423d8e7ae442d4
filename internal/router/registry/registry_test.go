package registry

import (
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// usable returns the IDs of the usable instances of a service, sorted.
func usable(g *Registry, service string) []string {
	var ids []string
	for id, e := range g.entries {
		if e.Service == service && e.Usable() {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func instance(id string, sequence int64, state State) Instance {
	return Instance{ID: id, Service: "llm", Address: "10.0.0.1:80", State: state, Sequence: sequence}
}

func TestALateCallChangesNothing(t *testing.T) {
	g := New()
	require.True(t, g.ReceiveHeartbeat(instance("a", 5, Draining), time.Second))
	require.False(t, g.ReceiveHeartbeat(instance("a", 4, Ready), 2*time.Second))
	require.Empty(t, usable(g, "llm"))
}

func TestADrainIsNotRevoked(t *testing.T) {
	g := New()
	g.ReceiveHeartbeat(instance("a", 5, Draining), time.Second)
	g.ReceiveHeartbeat(instance("a", 6, Ready), 2*time.Second)
	require.Equal(t, Draining, g.Entry("a").State)
}

// Guards against an acknowledged drain without effect: the call was overtaken by a heartbeat of the server that was sent after it.
func TestADrainAppliesWhateverItsSequence(t *testing.T) {
	for _, end := range []State{Draining, Deregistered} {
		g := New()
		g.ReceiveHeartbeat(instance("a", 6, Ready), 0)
		require.True(t, g.ReceiveHeartbeat(instance("a", 5, end), time.Second))
		require.Equal(t, end, g.Entry("a").State)
		require.False(t, g.ReceiveHeartbeat(instance("a", 6, Ready), 2*time.Second))
		require.Empty(t, usable(g, "llm"))
	}
}

// A router that knows the end of an instance keeps it, whatever a home that lacks it reports: in changes, in a complete list and
// after a change of the home.
func TestAHomeThatLacksAnEndRevivesNoInstance(t *testing.T) {
	for _, end := range []State{Draining, Deregistered} {
		g := New()
		g.Adopt(Update{Instance: instance("a", 5, Ready)}, 0)
		g.Adopt(Update{Instance: instance("a", 6, end)}, time.Second)
		for _, sequence := range []int64{4, 6, 7} {
			stale := Update{Instance: instance("a", sequence, Ready)}
			g.Adopt(stale, 2*time.Second)
			require.Empty(t, usable(g, "llm"))
			g.Merge(stale, 2*time.Second)
			require.Empty(t, usable(g, "llm"))
			g.Replace([]Update{stale}, 3*time.Second)
			require.Empty(t, usable(g, "llm"))
		}
	}
}

func TestExpiryAndReturn(t *testing.T) {
	g := New()
	g.ReceiveHeartbeat(instance("a", 1, Ready), 0)
	require.False(t, g.Expire(5*time.Second, 4*time.Second))
	require.True(t, g.Expire(5*time.Second, 6*time.Second))
	require.Empty(t, usable(g, "llm"))
	require.True(t, g.ReceiveHeartbeat(instance("a", 2, Ready), 7*time.Second))
	require.Len(t, usable(g, "llm"), 1)
}

func TestAnAddressIsReused(t *testing.T) {
	g := New()
	g.ReceiveHeartbeat(instance("a", 1, Ready), 0)
	other := instance("b", 1, Ready)
	other.Service = "registry"
	g.ReceiveHeartbeat(other, 3*time.Second)
	require.Empty(t, usable(g, "llm"))
	require.Len(t, usable(g, "registry"), 1)
}

// Guards against a server that is not used for a moment because the end of its predecessor at the address is heard of late.
func TestADeregisteredInstanceClaimsNoAddress(t *testing.T) {
	ended := instance("ended", 9, Deregistered)
	running := instance("running", 1, Ready)
	for name, known := range map[string]bool{"the ended one was known": true, "the ended one was not known": false} {
		g := New()
		if known {
			g.ReceiveHeartbeat(instance("ended", 1, Ready), 0)
		}
		g.ReceiveHeartbeat(running, time.Second)
		g.ReceiveHeartbeat(ended, 2*time.Second)
		require.Equal(t, []string{"running"}, usable(g, "llm"), name)
		g.Expire(5*time.Second, 2*time.Second)
		require.Equal(t, []string{"running"}, usable(g, "llm"), name)
	}
}

// Two core members that disagree on whether an instance is lost would send each other updates forever if either adopted
// the decision of the other.
func TestJudgementsDoNotGoBackAndForth(t *testing.T) {
	a, b := New(), New()
	a.ReceiveHeartbeat(instance("x", 1, Ready), 0)
	b.ReceiveHeartbeat(instance("x", 1, Ready), 5*time.Second)
	now := 6 * time.Second
	a.Expire(4*time.Second, now)
	var fromA, fromB uint64
	messages := 0
	for range 50 {
		toB, toA := a.UpdatesSince(fromA, now), b.UpdatesSince(fromB, now)
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
	require.Len(t, usable(a, "llm"), 1)
	require.Len(t, usable(b, "llm"), 1)
}

func TestASubscriberAdoptsTheJudgementOfItsHome(t *testing.T) {
	g := New()
	g.Adopt(Update{Instance: instance("a", 1, Ready)}, time.Second)
	require.Len(t, usable(g, "llm"), 1)
	require.True(t, g.Adopt(Update{Instance: instance("a", 1, Ready), Lost: true}, 2*time.Second))
	require.Empty(t, usable(g, "llm"))
}

// An instance that is read from a disk after a restart has a contact time that is too recent, so it takes over the
// address of the instance that is running there. The running instance gets the address back with its next heartbeat.
func TestTheLivingInstanceGetsItsAddressBack(t *testing.T) {
	g := New()
	g.ReceiveHeartbeat(instance("new", 1, Ready), time.Second)
	g.Merge(Update{Instance: instance("dead", 9, Ready)}, 2*time.Second)
	require.Equal(t, "dead", usable(g, "llm")[0])
	g.ReceiveHeartbeat(instance("new", 2, Ready), 3*time.Second)
	g.Expire(5*time.Second, 3*time.Second)
	require.Len(t, usable(g, "llm"), 1)
	require.Equal(t, "new", usable(g, "llm")[0])
}

// UpdatesSince returns the same changes as a search of all entries, however often entries change, are added and are
// forgotten, and the number of recorded changes is bounded by the number of entries.
func TestUpdatesSinceFindsWhatASearchOfAllEntriesFinds(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	g := New()
	now := time.Duration(0)
	for step := range 5_000 {
		now += time.Duration(random.Intn(400)) * time.Millisecond
		id := fmt.Sprint("i", random.Intn(40))
		g.ReceiveHeartbeat(Instance{ID: id, Service: "s", Address: fmt.Sprint("a", random.Intn(30)), State: State(random.Intn(3) / 2), Sequence: int64(step)}, now)
		if random.Intn(5) == 0 {
			g.Expire(5*time.Second, now)
			g.Forget(g.Stamp(), now)
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
		for _, u := range g.UpdatesSince(stamp, now) {
			got = append(got, u.Instance.ID)
		}
		require.Equal(t, want, got)
		require.LessOrEqual(t, len(g.changes), 2*len(g.entries)+compactionSlack+1)
	}
}

// An instance that is first reported by a core member for which it is lost is not usable until a heartbeat or the next
// Expire.
func TestAnUnknownInstanceThatOthersHaveLost(t *testing.T) {
	g := New()
	g.Merge(Update{Instance: instance("a", 1, Ready), Lost: true, Age: time.Minute}, 2*time.Minute)
	require.Empty(t, usable(g, "llm"))
	g.ReceiveHeartbeat(instance("a", 2, Ready), 3*time.Minute)
	require.Len(t, usable(g, "llm"), 1)
}

// A subscriber learns of the end of an instance before the entry is forgotten, and entries are forgotten in the end.
func TestEndsAreForgottenOnceTheyWereFollowed(t *testing.T) {
	g := New()
	g.ReceiveHeartbeat(instance("a", 1, Ready), 0)
	stamp := g.Stamp()
	g.Expire(5*time.Second, time.Hour) // a process that was suspended
	g.Forget(stamp, time.Hour)
	require.Len(t, g.ChangedSince(stamp), 1, "it has just been lost")
	g.Forget(g.Stamp(), time.Hour+EndedRetention)
	require.Len(t, g.ChangedSince(stamp), 1)
	g.Forget(stamp, 2*time.Hour)
	require.Len(t, g.ChangedSince(stamp), 1, "the data plane has not applied it")
	g.Forget(g.Stamp(), 2*time.Hour)
	require.Zero(t, g.Len())
	require.Empty(t, g.byAddress)
	require.Empty(t, g.ChangedSince(0))
}

// Registries with the same usable instances have the same digest, however they learned of them.
func TestDigest(t *testing.T) {
	random := rand.New(rand.NewSource(2))
	home, subscriber := New(), New()
	now, followed := time.Duration(0), uint64(0)
	for step := range 3_000 {
		now += time.Duration(random.Intn(400)) * time.Millisecond
		id := fmt.Sprint("i", random.Intn(40))
		home.ReceiveHeartbeat(Instance{ID: id, Service: "s", Address: fmt.Sprint("a", random.Intn(30)), State: State(random.Intn(3) / 2), Sequence: int64(step)}, now)
		home.Expire(5*time.Second, now)
		home.Forget(home.Stamp(), now)
		if random.Intn(3) > 0 {
			continue
		}
		for _, u := range home.UpdatesSince(followed, now) {
			subscriber.Adopt(u, now)
		}
		followed = home.Stamp()
		subscriber.Forget(subscriber.Stamp(), now)
		require.Equal(t, usable(home, "s"), usable(subscriber, "s"))
		require.Equal(t, home.Digest(), subscriber.Digest())
	}
	home.ReceiveHeartbeat(Instance{ID: "more", Service: "s", Address: "more", Sequence: 1}, now)
	require.NotEqual(t, home.Digest(), subscriber.Digest())
}

// A complete list removes the instances that the home no longer has: a subscriber that was partitioned for a long time
// never receives the changes that ended them.
func TestACompleteListReplaces(t *testing.T) {
	home, subscriber := New(), New()
	for _, g := range []*Registry{home, subscriber} {
		g.ReceiveHeartbeat(Instance{ID: "stays", Service: "s", Address: "a", Sequence: 1}, 0)
	}
	subscriber.ReceiveHeartbeat(Instance{ID: "ended", Service: "s", Address: "b", Sequence: 1}, 0)
	home.ReceiveHeartbeat(Instance{ID: "new", Service: "s", Address: "c", Sequence: 1}, 0)
	subscriber.Replace(home.UpdatesSince(0, time.Second), time.Second)
	require.Equal(t, []string{"new", "stays"}, usable(subscriber, "s"))
	require.Equal(t, home.Digest(), subscriber.Digest())
}
