package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// renamed is a fleet whose servers and zones have other names, and whose hash is that of the names before: a name decides nothing but by the hash.
type renamed struct {
	server, zone func(int) string
	hash         func(key, id string) uint64
}

// decisions plays some thousand requests, failures, words of load and ejections, and lists which server each request got, by number.
func decisions(t *testing.T, names renamed) []int {
	const servers, zones = 12, 3
	r := rand.New(rand.NewPCG(7, 7))
	p := NewPool(names.zone(1), 5*time.Second, DefaultPolicy(), r.Float64)
	p.hash = names.hash
	number := map[string]int{}
	for i := range servers {
		number[names.server(i)] = i
		p.Put(Server{ID: names.server(i), Zone: names.zone(i % zones), Slots: 8})
	}
	type sent struct {
		server *Server
		work   Work
	}
	var under []sent
	var got []int
	for step := range 4000 {
		now := time.Duration(step) * 5 * time.Millisecond
		request := Request{PromptTokens: 100 + r.IntN(9000), MaxOutputTokens: 100, Tried: map[string]bool{}}
		if r.IntN(5) == 0 {
			request.PromptTokens, request.MaxOutputTokens, request.MaxGap = 200, 4000, 200*time.Millisecond
		} else {
			request.PrefixKey, request.PrefixTokens, request.SharedTokens = fmt.Sprint("part-", r.IntN(300)), request.PromptTokens/3, request.PromptTokens/2
		}
		s := p.Pick(request, all, now)
		require.NotNil(t, s)
		got = append(got, number[s.ID])
		work := request.Work(p.PrefixCached(request, s, now))
		s.Begin(work)
		under = append(under, sent{s, work})
		if request.HasAffinity() {
			p.RecordUse(HashPrefix(request.PrefixKey), s.ID, now)
		}
		if len(under) > 30 {
			i := r.IntN(len(under))
			one := under[i]
			under[i] = under[len(under)-1]
			under = under[:len(under)-1]
			one.server.End(one.work)
			if r.IntN(10) == 0 {
				one.server.Health.Failure(now, r.IntN(2) == 0)
			} else {
				one.server.Health.Success()
			}
		}
		if step%40 == 0 {
			loads := LoadSums{}
			for i := range servers {
				loads[HashServer(names.server(i))] = Work{Requests: float64(r.IntN(6)), PrefillTokens: float64(r.IntN(30000)), Streams: float64(r.IntN(4))}
			}
			p.SetPeerLoads(loads, now)
		}
		if step%200 == 0 {
			p.SetEjections(map[string]float64{names.server(r.IntN(servers)): 0.2, names.server(r.IntN(servers)): 0.2}, now+500*time.Millisecond)
		}
		if step%300 == 299 {
			request.Tried[s.ID] = true
			got = append(got, number[p.Reroute(request, all, now).ID])
		}
	}
	return got
}

// Servers and zones under other names get the same requests: nothing is decided by what something is called.
func TestNamesDecideNothing(t *testing.T) {
	plain := renamed{server: func(i int) string { return fmt.Sprint("i-", i) }, zone: func(i int) string { return fmt.Sprint("zone-", i) }, hash: rendezvous}
	want := decisions(t, plain)
	for seed := range uint64(5) {
		order := rand.New(rand.NewPCG(seed, 1)).Perm(12)
		before := map[string]string{}
		other := renamed{server: func(i int) string { return fmt.Sprint("server-", order[i]) }, zone: func(i int) string { return fmt.Sprint("region/", (i+int(seed))%3) }}
		for i := range 12 {
			before[other.server(i)] = plain.server(i)
		}
		other.hash = func(key, id string) uint64 { return rendezvous(key, before[id]) }
		require.Equal(t, want, decisions(t, other))
	}
}

// The test notices a decision that goes by the order of names.
func TestNamesThatDecideAreNoticed(t *testing.T) {
	plain := renamed{server: func(i int) string { return fmt.Sprint("i-", i) }, zone: func(i int) string { return fmt.Sprint("zone-", i) }, hash: rendezvous}
	turned := renamed{server: func(i int) string { return fmt.Sprint("i-", 11-i) }, zone: plain.zone, hash: rendezvous}
	require.NotEqual(t, decisions(t, plain), decisions(t, turned))
}
