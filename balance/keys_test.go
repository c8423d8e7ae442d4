package balance

import (
	"fmt"
	"math"
	"testing"
)

// requestKey hands in a request with a key, answers it after 10 ms, and returns the server that it was sent to.
func (g *harness) requestKey(key uint64) ServerID {
	g.t.Helper()
	g.next++
	s, ok := sentTo(g.handle(Request{ID: g.next, Class: allClass, Key: key, Remaining: 2000}))
	if !ok {
		g.t.Fatal("nothing was sent")
	}
	g.now += 10
	g.answer(g.next, 0, OK, 10)
	return s
}

// preferredServers sends requests for keys in pseudo-random order. It returns the server that each key was mostly sent to, and
// the fraction of all requests that went to these servers.
func preferredServers(g *harness, keys, rounds int) (mostUsed map[uint64]ServerID, fraction float64) {
	counts := map[uint64]map[ServerID]int{}
	for i := range keys * rounds {
		key := 1 + hash64(uint64(i))%uint64(keys)
		if counts[key] == nil {
			counts[key] = map[ServerID]int{}
		}
		counts[key][g.requestKey(key)]++
	}
	mostUsed, toMostUsed := map[uint64]ServerID{}, 0
	for key, by := range counts {
		for s, n := range by {
			if n > by[mostUsed[key]] || n == by[mostUsed[key]] && s < mostUsed[key] {
				mostUsed[key] = s
			}
		}
		toMostUsed += by[mostUsed[key]]
	}
	return mostUsed, float64(toMostUsed) / float64(keys*rounds)
}

func affinityConfig(seed uint64, number int) Config {
	cfg := baseConfig()
	cfg.KeyAffinity, cfg.Seed, cfg.SidecarNumber = true, seed, number
	return cfg
}

// All sidecars send a key mostly to the same server, which can then keep it cached. Large servers are preferred by more keys.
// Without key affinity the keys change nothing.
func TestAKeyHasOnePreferredServer(t *testing.T) {
	const keys = 60
	servers := fleet(8)
	for i := range 4 {
		servers[i].Capacity = 3
	}
	one, fraction := preferredServers(newHarness(t, affinityConfig(1, 0), servers...), keys, 30)
	two, _ := preferredServers(newHarness(t, affinityConfig(2, 2), servers...), keys, 30)
	same, large := 0, 0
	for key, s := range one {
		if two[key] == s {
			same++
		}
		if s <= 4 {
			large++
		}
	}
	if same < keys*9/10 || fraction < 0.6 || large < keys*6/10 || large > keys*9/10 {
		t.Errorf("%d of %d preferred servers are the same, %.2f of the requests go to them, %d are large", same, keys, fraction, large)
	}
	withoutAffinity := affinityConfig(1, 0)
	withoutAffinity.KeyAffinity = false
	if _, fraction := preferredServers(newHarness(t, withoutAffinity, servers...), keys, 30); fraction > 0.4 {
		t.Errorf("%.2f of the requests go to their keys' most used servers without key affinity", fraction)
	}
}

// Key affinity preserves the rotation: servers get their shares, and requests for a key whose preferred server is busy go
// elsewhere.
func TestKeysFollowTheWeights(t *testing.T) {
	g := newHarness(t, affinityConfig(1, 0), fleet(6)...)
	got := map[ServerID]int{}
	for i := range 3000 {
		got[g.requestKey(1+hash64(uint64(i))%500)]++
	}
	for s, n := range got {
		if math.Abs(float64(n)-500) > 150 {
			t.Errorf("server %d had %d of 3000 requests, its share is 500", s, n)
		}
	}
	busy := map[ServerID]int{}
	for range 12 { // all for one key, none answered
		g.next++
		s, ok := sentTo(g.handle(Request{ID: g.next, Class: allClass, Key: 7, Remaining: 2000}))
		if !ok {
			t.Fatal("nothing was sent")
		}
		busy[s]++
	}
	for s, n := range busy {
		if n > 2+affinityHeadroom {
			t.Errorf("server %d has %d of 12 requests for one key in flight", s, n)
		}
	}
}

// The rules take precedence over affinity: a preferred server that drains gets nothing, and all sidecars send its keys to the
// same next server.
func TestAKeyLeavesADrainingServer(t *testing.T) {
	one, two := newHarness(t, affinityConfig(1, 0), fleet(8)...), newHarness(t, affinityConfig(2, 2), fleet(8)...)
	before, _ := preferredServers(one, 40, 20)
	drained := fleet(8)[:1]
	drained[0].State = Draining
	for _, g := range []*harness{one, two} {
		g.handle(ServerList{Kind: ListDelta, Servers: drained})
	}
	a, _ := preferredServers(one, 40, 20)
	b, _ := preferredServers(two, 40, 20)
	stayed, agreed := 0, 0
	for key := range before {
		if a[key] == 1 || b[key] == 1 {
			t.Errorf("key %d still goes to the draining server", key)
		}
		if before[key] == a[key] || before[key] == 1 {
			stayed++
		}
		if a[key] == b[key] {
			agreed++
		}
	}
	if stayed < 34 || agreed < 34 {
		t.Errorf("of 40 keys %d stayed at their server, and the sidecars agree on %d", stayed, agreed)
	}
}

// A client's retry of a request that has just timed out is rejected at once if its expected waste outweighs the value of a late
// answer.
func TestARetryOfWhatTimedOut(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Config, *harness, *Request)
		sent   bool
	}{
		{"the same", func(*Config, *harness, *Request) {}, false},
		{"not marked", func(_ *Config, _ *harness, r *Request) { r.ClientRetry = false }, true},
		{"another key", func(_ *Config, _ *harness, r *Request) { r.Key = 8 }, true},
		{"without a key", func(_ *Config, _ *harness, r *Request) { r.Key = 0 }, true},
		{"another class", func(_ *Config, _ *harness, r *Request) { r.Class = safeClass }, true},
		{"with more time", func(_ *Config, _ *harness, r *Request) { r.Remaining = 1700 }, true},
		{"long after", func(_ *Config, g *harness, _ *Request) { g.now += 401 }, true},
		{"its server is silent", nil, true},
		{"waste is cheap", func(c *Config, _ *harness, _ *Request) { c.Penalties.Waste = 0.001 }, true},
		{"late answers are worth much", func(c *Config, _ *harness, _ *Request) { c.Classes[allClass].LateValue = 50 }, true},
	} {
		g := newHarness(t, baseConfig(), fleet(6)...)
		g.b.cfg.Penalties.Waste, g.b.cfg.Classes[allClass].LateValue = 0.3, 0.3
		for range 20 { // answers take 10 ms
			g.requestKey(1)
		}
		g.next++
		first := g.next
		g.handle(Request{ID: first, Class: allClass, Key: 7, Remaining: 800})
		g.now += 800
		if c.change != nil { // its server works: it has answered another meanwhile
			g.b.requests.byID[first].attempts[0].server.AnsweredAt = g.now - 1
		}
		if acts := g.answer(first, 0, TimedOut, 800); !has(acts, Reject) {
			t.Fatalf("%s: %+v", c.name, acts)
		}
		g.next++
		again := Request{ID: g.next, Class: allClass, Key: 7, Remaining: 800, ClientRetry: true}
		if c.change != nil {
			c.change(&g.b.cfg, g, &again)
		}
		acts := g.handle(again)
		if _, sent := sentTo(acts); sent != c.sent || !sent && !has(acts, Reject) {
			t.Errorf("%s: %+v", c.name, acts)
		}
	}
}

// The table of time-outs drops old entries: it does not grow with the number of time-outs.
func TestTimeoutsAreForgotten(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(3)...)
	r := &request{class: &g.b.cfg.Classes[allClass]}
	a := &attempt{server: &server{HealthState: HealthState{AnsweredAt: 1}}}
	for i := range 20000 {
		r.Key = uint64(i + 1)
		g.b.now += 4 // 100 within a latency target of 400 ms
		g.b.recordTimeout(r, a, 800)
		if len(g.b.timeouts.records) > 400 {
			t.Fatal(fmt.Sprint(len(g.b.timeouts.records), " time-outs are kept after ", i))
		}
	}
}

// A request without a key does not reset the negative weight that a server has from requests ahead of its turn.
func TestNegativeWeightsRemainAfterRequestsWithoutAKey(t *testing.T) {
	g := newHarness(t, affinityConfig(1, 0), fleet(4)...)
	for i, s := range g.b.servers.all {
		s.currentWeight = -1500 - 1000*float64(i)
	}
	if s, _ := sentTo(g.handle(Request{ID: 1, Class: safeClass, Remaining: 1500})); s != 1 {
		t.Fatalf("sent to %d", s)
	}
	if got := g.b.servers.all[0].currentWeight; got > -1500 {
		t.Errorf("current weight is %v after a send, was -1500", got)
	}
}
