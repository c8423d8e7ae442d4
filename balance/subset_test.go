package balance

import (
	"math"
	"testing"
)

// members returns the subset of servers that sidecar n of a number of peers uses.
func members(t *testing.T, n, peers int, servers []Server) map[ServerID]bool {
	t.Helper()
	cfg := baseConfig()
	cfg.SidecarNumber, cfg.SidecarCount = n, peers
	got := map[ServerID]bool{}
	for _, s := range newHarness(t, cfg, servers...).b.subset() {
		got[s.ID] = true
	}
	return got
}

// Subsets are of the smallest size, use all servers evenly, and change little with the list. When each of a thousand sidecars
// used every server, the servers' connection tables filled up and most attempts got no connection.
func TestSubsetsAreSmallEvenAndStable(t *testing.T) {
	const peers, servers = 800, 100
	all, fewer := fleet(servers), fleet(servers)[:servers-1]
	users := map[ServerID]int{}
	changed := 0
	for n := range peers {
		before, after := members(t, n, peers, all), members(t, n, peers, fewer)
		if len(before) != minSubset {
			t.Fatalf("sidecar %d uses %d servers", n, len(before))
		}
		for id := range before {
			users[id]++
			if !after[id] {
				changed++
			}
		}
	}
	mean := float64(peers*minSubset) / servers
	for id, n := range users {
		if math.Abs(float64(n)-mean) > mean/4 {
			t.Errorf("server %d is used by %d sidecars, on average %.0f", id, n, mean)
		}
	}
	// Without one of the hundred servers, on average at most one member of a subset changes.
	if len(users) != servers || changed > peers {
		t.Errorf("%d servers used; %d members changed as one server left", len(users), changed)
	}
}

func TestFewSidecarsUseTheWholeFleet(t *testing.T) {
	for _, peers := range []int{1, 3, connectionsPerServer} {
		if got := members(t, 0, peers, fleet(60)); len(got) != 60 {
			t.Errorf("one of %d sidecars uses %d servers of 60", peers, len(got))
		}
	}
}

// A sidecar whose traffic grows widens its subset, so as not to overload the few servers of it.
func TestBusySidecarsWidenTheirSubset(t *testing.T) {
	cfg := baseConfig()
	cfg.SidecarCount = 1000
	g := newHarness(t, cfg, fleet(100)...)
	for range 1000 {
		id, acts := g.request(safeClass)
		if has(acts, Send) {
			g.answer(id, 0, OK, 5)
		}
		g.now += 4
	}
	if n := len(g.b.subset()); n < 40 {
		t.Fatalf("250 requests a second are spread over %d servers of 100", n)
	}
}

// Members in a cooldown widen the subset. Otherwise a sidecar has no server left when most of its subset fails at once.
func TestFailedMembersWidenTheSubset(t *testing.T) {
	cfg := baseConfig()
	cfg.SidecarCount = 1000
	g := newHarness(t, cfg, fleet(100)...)
	before := append([]*server(nil), g.b.subset()...)
	for _, s := range before[:minSubset-1] {
		g.b.recordFault(s, true)
	}
	if after := g.b.subset(); len(after) != 2*minSubset-1 || after[0] != before[0] {
		t.Fatalf("%d members with all but one of %d down", len(after), len(before))
	}
	g.now += 1e6
	g.handle(Timer{Token: 12345})
	if after := g.b.subset(); len(after) != minSubset {
		t.Fatalf("%d members after the cooldowns", len(after))
	}
}

// A keyed request that may have run is retried outside the subset if no other member of the subset is in its cell.
func TestAKeyedRequestInItsCellMayLeaveTheSubset(t *testing.T) {
	cfg := baseConfig()
	cfg.SidecarCount = 1000
	for n := range 20 {
		cfg.SidecarNumber = n
		g := newHarness(t, cfg, fleet(100)...)
		id, acts := g.request(cellClass)
		first, _ := sentTo(acts)
		second, ok := sentTo(g.answer(id, 0, Failed, 10))
		if !ok || first == second || g.b.servers.byID[first].Cell != g.b.servers.byID[second].Cell {
			t.Fatalf("sidecar %d: sent to %d, then %d (%v)", n, first, second, ok)
		}
	}
}
