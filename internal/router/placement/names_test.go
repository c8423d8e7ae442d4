package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// namedFleet is a fleet whose servers and zones have other names, and the hashes of the original names: only through
// the hash may a name affect decisions.
type namedFleet struct {
	server, zone func(int) string
	hash         func(key, id string) uint64
}

// decisions simulates some thousand requests, failures, load reports and ejections, and returns the index of each
// request's server.
func decisions(t *testing.T, names namedFleet) []int {
	t.Helper()
	const servers, zones = 12, 3
	random := rand.New(rand.NewPCG(7, 7))
	pool := NewPool(names.zone(1), 5*time.Second, DefaultPolicy(), random.Float64)
	pool.hash = names.hash
	number := map[string]int{}
	for i := range servers {
		number[names.server(i)] = i
		pool.Put(Endpoint{ID: names.server(i), Zone: names.zone(i % zones), Slots: 8})
	}
	type sent struct {
		server *Server
		work   Work
	}
	var inFlight []sent
	var got []int
	for step := range 4000 {
		now := time.Duration(step) * 5 * time.Millisecond
		request := Request{PromptTokens: 100 + random.IntN(9000), MaxOutputTokens: 100, Tried: map[string]bool{}}
		if random.IntN(5) == 0 {
			request.PromptTokens, request.MaxOutputTokens, request.MaxGap = 200, 4000, 200*time.Millisecond
		} else {
			request.PrefixKey, request.PrefixTokens, request.SharedTokens = fmt.Sprint("part-", random.IntN(300)), request.PromptTokens/3, request.PromptTokens/2
		}
		s := pool.Pick(request, anyServer, now)
		require.NotNil(t, s)
		got = append(got, number[s.ID])
		work := request.Work(pool.PrefixCached(request, s, now))
		s.Begin(work)
		inFlight = append(inFlight, sent{s, work})
		if request.HasAffinity() {
			pool.RecordUse(HashPrefix(request.PrefixKey), s.ID, now)
		}
		if len(inFlight) > 30 {
			i := random.IntN(len(inFlight))
			ended := inFlight[i]
			inFlight[i] = inFlight[len(inFlight)-1]
			inFlight = inFlight[:len(inFlight)-1]
			ended.server.End(ended.work)
			if random.IntN(10) == 0 {
				ended.server.Health.Failure(now, random.IntN(2) == 0)
			} else {
				ended.server.Health.Success()
			}
		}
		if step%40 == 0 {
			pool.SetPeerLoads(names.randomLoads(servers, random), now)
		}
		if step%200 == 0 {
			pool.SetEjections(map[string]float64{names.server(random.IntN(servers)): 0.2, names.server(random.IntN(servers)): 0.2}, now+500*time.Millisecond)
		}
		if step%300 == 299 {
			request.Tried[s.ID] = true
			got = append(got, number[pool.Reroute(request, anyServer, now).ID])
		}
	}
	return got
}

// randomLoads draws the other routers' work at each server.
func (f namedFleet) randomLoads(servers int, random *rand.Rand) LoadSums {
	loads := LoadSums{}
	for i := range servers {
		loads[HashServer(f.server(i))] = Work{Requests: float64(random.IntN(6)), PrefillTokens: float64(random.IntN(30000)), Streams: float64(random.IntN(4))}
	}
	return loads
}

// Servers and zones under other names get the same requests: names affect no decision.
func TestNamesDecideNothing(t *testing.T) {
	plain := namedFleet{server: func(i int) string { return fmt.Sprint("i-", i) }, zone: func(i int) string { return fmt.Sprint("zone-", i) }, hash: rendezvous}
	want := decisions(t, plain)
	for seed := range uint64(5) {
		order := rand.New(rand.NewPCG(seed, 1)).Perm(12)
		before := map[string]string{}
		other := namedFleet{server: func(i int) string { return fmt.Sprint("server-", order[i]) }, zone: func(i int) string { return fmt.Sprint("region/", (i+int(seed))%3) }}
		for i := range 12 {
			before[other.server(i)] = plain.server(i)
		}
		other.hash = func(key, id string) uint64 { return rendezvous(key, before[id]) }
		require.Equal(t, want, decisions(t, other))
	}
}

// The comparison detects a decision that depends on the order of names.
func TestNamesThatDecideAreNoticed(t *testing.T) {
	plain := namedFleet{server: func(i int) string { return fmt.Sprint("i-", i) }, zone: func(i int) string { return fmt.Sprint("zone-", i) }, hash: rendezvous}
	reversed := namedFleet{server: func(i int) string { return fmt.Sprint("i-", 11-i) }, zone: plain.zone, hash: rendezvous}
	require.NotEqual(t, decisions(t, plain), decisions(t, reversed))
}
