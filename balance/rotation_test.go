package balance

import (
	"math"
	"testing"
)

// sequence sends n safe requests, each answered before the next, and returns their servers.
func sequence(g *harness, n int) []ServerID {
	var ids []ServerID
	for range n {
		id, acts := g.request(safeClass)
		s, ok := sentTo(acts)
		if !ok {
			g.t.Fatal("nothing was sent")
		}
		ids = append(ids, s)
		g.b.requests.byID[id].stats.Count = 0 // keeps capacities from being learned from these answers
		g.answer(id, 0, OK, 10)
	}
	return ids
}

func TestRotationFollowsWeights(t *testing.T) {
	servers := fleet(3)
	servers[0].Capacity = 5
	got := sequence(newHarness(t, baseConfig(), servers...), 7)
	want := []ServerID{1, 1, 2, 1, 3, 1, 1}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("sequence %v, want %v", got, want)
		}
	}
}

func TestMultiplierFallsDecaysAndHasAFloor(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(2)...)
	s := g.b.servers.all[0]
	if m := g.b.health(s); m != 1 {
		t.Fatalf("m without errors is %v", m)
	}
	s.Errors, s.LastErrorAt = 2, g.now
	if m := g.b.health(s); math.Abs(m-(1-2*errorPenalty)) > 1e-9 {
		t.Fatalf("m after two errors is %v", m)
	}
	g.b.now += errorHalfLife
	if m := g.b.health(s); math.Abs(m-(1-errorPenalty)) > 1e-9 {
		t.Fatalf("m after a half-life is %v", m)
	}
	s.Errors = 1000
	if m := g.b.health(s); m != minHealth {
		t.Fatalf("m after very many errors is %v, want the floor", m)
	}
	if m := g.b.health(g.b.servers.all[1]); m != 1 {
		t.Fatalf("another server's errors moved m to %v", m)
	}
	s.Errors = 2
	id, _ := g.request(safeClass)
	g.b.requests.byID[id].attempts[0].server = s
	s.inFlight, g.b.servers.all[1].inFlight = 1, 0
	g.answer(id, 0, OK, 10)
	if m := g.b.health(s); m != 1 {
		t.Fatalf("m after a success is %v", m)
	}
}

func TestNoServerStarvesAtTheFloor(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(4)...)
	hits := 0
	for range 40 { // a success resets the errors, so they are set again each time
		g.b.servers.all[2].Errors, g.b.servers.all[2].LastErrorAt = 1000, g.now
		if sequence(g, 1)[0] == 3 {
			hits++
		}
	}
	if hits == 0 || hits >= 10 {
		t.Fatalf("the server at the floor got %d of 40", hits)
	}
}

func TestRetryGoesToTheHealthiestUntriedServer(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(4)...)
	for _, s := range g.b.servers.all {
		s.Errors, s.LastErrorAt = 2, g.now
	}
	g.b.servers.all[2].Errors = 1
	g.b.servers.all[1].currentWeight = 1000 // its turn, though it is not the healthiest
	id, acts := g.request(safeClass)
	if s, _ := sentTo(acts); s != 2 {
		t.Fatalf("first sent to %d, want 2", s)
	}
	g.b.servers.all[3].currentWeight = 1000 // next in turn, which must not count for a retry
	if s, ok := sentTo(g.answer(id, 0, Rejected, 1)); !ok || s != 3 {
		t.Fatalf("retried at %d, want 3", s)
	}
}

// If all servers have more than their share in flight, a first send goes to the one with the least for its
// weight, and a retry still goes by m. Sends in turn would load a slow server further and keep it slow. If a
// server is not over its share, the turn decides.
func TestFirstSendGoesToTheLeastLoadedOfFullServers(t *testing.T) {
	for _, c := range []struct {
		holds [4]int
		want  ServerID
	}{
		{[4]int{4, 3, 4, 4}, 2}, // all are over their share
		{[4]int{4, 4, 1, 0}, 3}, // 3 and 4 are not, and it is the turn of 3
	} {
		g := newHarness(t, baseConfig(), fleet(4)...)
		for i, s := range g.b.servers.all {
			s.inFlight, s.currentWeight = c.holds[i], float64(10*(4-i))
		}
		g.b.servers.all[1].Errors, g.b.servers.all[1].LastErrorAt = 1, g.now-5000
		r := &request{Request: Request{}, class: &g.b.cfg.Classes[safeClass]}
		if c.want == 2 {
			if s := g.b.pick(r, true); s.ID == 2 {
				t.Errorf("%v: the retry went to the server of lowest m", c.holds)
			}
			for i, s := range g.b.servers.all {
				s.currentWeight = float64(10 * (4 - i))
			}
		}
		if s := g.b.pick(r, false); s.ID != c.want {
			t.Errorf("%v: sent to %d, not %d", c.holds, s.ID, c.want)
		}
	}
}
