package balance

import "testing"

// The six behaviours that define AWRR, the mechanism of doc.go. rotation_test.go also tests the floor, the recovery with
// time and the retry at the healthiest server, with exact values.

// requestsPerServer sends n requests to four servers, of which the first has errs errors, and counts them by server.
func requestsPerServer(t *testing.T, errs float64, n int) map[ServerID]int {
	t.Helper()
	g := newHarness(t, baseConfig(), fleet(4)...)
	hits := map[ServerID]int{}
	for range n {
		g.b.servers.all[0].Errors, g.b.servers.all[0].LastErrorAt = errs, g.now // a success resets the count
		hits[sequence(g, 1)[0]]++
	}
	return hits
}

func TestAWRRHealthyServersShareEvenly(t *testing.T) {
	for id, n := range requestsPerServer(t, 0, 40) {
		if n != 10 {
			t.Errorf("server %d got %d of 40", id, n)
		}
	}
}

func TestAWRRErrorsReduceTheShareDownToTheFloor(t *testing.T) {
	none, some, many := requestsPerServer(t, 0, 400)[1], requestsPerServer(t, 2, 400)[1], requestsPerServer(t, 1000, 400)[1]
	if !(none > some && some > many && many > 0) {
		t.Fatalf("shares of 400 with none, two and very many errors: %d, %d, %d", none, some, many)
	}
}

func TestAWRRHealthRecoversWithTime(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(2)...)
	s := g.b.servers.all[0]
	g.b.recordFault(s, false)
	last := g.b.health(s)
	for range 5 {
		g.b.now += errorHalfLife / 2
		m := g.b.health(s)
		if m <= last {
			t.Fatalf("m went from %v to %v without errors", last, m)
		}
		last = m
	}
}

func TestAWRRRetryGoesToTheHealthiest(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(3)...)
	g.b.servers.all[1].Errors, g.b.servers.all[1].LastErrorAt = 2, g.now
	id, _ := g.request(safeClass)
	g.b.servers.all[1].currentWeight = 1e6 // next in turn, and not the healthiest
	if s, ok := sentTo(g.answer(id, 0, Rejected, 1)); !ok || s != 3 {
		t.Fatalf("retried at %d", s)
	}
}

func TestAWRRErrorsAffectOneServerOnly(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(4)...)
	for range 5 {
		g.b.recordFault(g.b.servers.all[0], false)
	}
	for _, s := range g.b.servers.all[1:] {
		if g.b.health(s) != 1 || g.b.coolingDown(s) {
			t.Errorf("server %d is affected by the errors of server 1, of its cell and kind", s.ID)
		}
	}
}
