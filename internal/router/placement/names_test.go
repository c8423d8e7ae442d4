package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// namedFleet names the servers and zones of a fleet by their indexes. The hash of a renamed fleet is computed from the
// original names, since a name may affect decisions through the hash.
type namedFleet struct {
	server, zone func(int) string
	hash         func(key, id string) uint64
}

// decisions simulates 4000 requests with failures, load reports and ejections, and returns the index of the server that
// was chosen for each request and re-route.
func decisions(t *testing.T, names namedFleet) []int {
	t.Helper()
	const servers, zones = 12, 3
	random := rand.New(rand.NewPCG(7, 7))
	pool := NewPool(names.zone(1), 5*time.Second, DefaultPolicy(), random.Float64)
	pool.hash = names.hash
	indexOf := map[string]int{}
	for i := range servers {
		indexOf[names.server(i)] = i
		pool.Put(Endpoint{ID: names.server(i), Zone: names.zone(i % zones), Slots: 8})
	}
	type sentRequest struct {
		server *Server
		work   Work
	}
	var inFlight []sentRequest
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
		got = append(got, indexOf[s.ID])
		work := request.Work(pool.PrefixCached(request, s, now))
		s.Begin(work)
		inFlight = append(inFlight, sentRequest{s, work})
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
			got = append(got, indexOf[pool.Reroute(request, anyServer, now).ID])
		}
	}
	return got
}

// randomLoads returns random work of the other routers at each server.
func (f namedFleet) randomLoads(servers int, random *rand.Rand) LoadSums {
	loads := LoadSums{}
	for i := range servers {
		loads[HashServer(f.server(i))] = Work{Requests: float64(random.IntN(6)), PrefillTokens: float64(random.IntN(30000)), Streams: float64(random.IntN(4))}
	}
	return loads
}

// Renaming servers and zones changes no decision if the hashes of the servers' names stay the same.
func TestNamesDecideNothing(t *testing.T) {
	original := namedFleet{server: func(i int) string { return fmt.Sprint("i-", i) }, zone: func(i int) string { return fmt.Sprint("zone-", i) }, hash: rendezvous}
	want := decisions(t, original)
	for seed := range uint64(5) {
		order := rand.New(rand.NewPCG(seed, 1)).Perm(12)
		originalName := map[string]string{}
		renamed := namedFleet{server: func(i int) string { return fmt.Sprint("server-", order[i]) }, zone: func(i int) string { return fmt.Sprint("region/", (i+int(seed))%3) }}
		for i := range 12 {
			originalName[renamed.server(i)] = original.server(i)
		}
		renamed.hash = func(key, id string) uint64 { return rendezvous(key, originalName[id]) }
		require.Equal(t, want, decisions(t, renamed))
	}
}

// TestNamesDecideNothing can fail: if names do affect the decisions, through the hash, the decisions differ.
func TestADecisionThatDependsOnNamesIsDetected(t *testing.T) {
	original := namedFleet{server: func(i int) string { return fmt.Sprint("i-", i) }, zone: func(i int) string { return fmt.Sprint("zone-", i) }, hash: rendezvous}
	reversed := namedFleet{server: func(i int) string { return fmt.Sprint("i-", 11-i) }, zone: original.zone, hash: rendezvous}
	require.NotEqual(t, decisions(t, original), decisions(t, reversed))
}
