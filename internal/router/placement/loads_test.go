package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLoadsOverTheWire(t *testing.T) {
	sums := LoadSums{HashServer("a"): {Requests: 3, PrefillTokens: 9000, Streams: 1}, HashServer("b"): {}}
	message := sums.Message()
	require.Len(t, message.Servers, 1, "a server without work is not reported")
	require.Equal(t, LoadSums{HashServer("a"): sums[HashServer("a")]}, message.Sums())
	message.Unread = nil
	require.Empty(t, message.Sums(), "entries with a missing value are left out")
}

// If there are more than maxReportedServers servers, those with the most work are reported.
func TestLoadsAreBounded(t *testing.T) {
	sums := LoadSums{}
	for i := range 5 * maxReportedServers {
		sums[ServerHash(i)] = Work{Requests: 1, PrefillTokens: float64(i)}
	}
	message := sums.Message()
	require.Len(t, message.Servers, maxReportedServers)
	require.Contains(t, message.Sums(), ServerHash(5*maxReportedServers-1))
	require.NotContains(t, message.Sums(), ServerHash(0))
}

// A router receives the work of all other routers; another home receives only the work of the routers that
// subscribe to the home of the aggregator. A report that is not renewed expires.
func TestLoadAggregator(t *testing.T) {
	withRequests := func(requests float64) LoadSums { return LoadSums{1: {Requests: requests}} }
	b := NewLoadAggregator()
	b.Put("a", false, withRequests(1), 0)
	b.Put("b", false, withRequests(2), 0)
	b.Put("peer", true, withRequests(4), 0)
	require.EqualValues(t, 3, b.ForPeers()[1].Requests)
	all := b.All()
	require.EqualValues(t, 7, all[1].Requests)
	require.EqualValues(t, 6, b.Others(all, "a")[1].Requests)
	require.EqualValues(t, 7, b.Others(all, "nobody")[1].Requests)
	require.EqualValues(t, 7, all[1].Requests, "Others does not change its argument")
	b.Put("a", false, LoadSums{}, loadReportTTL/2)
	require.EqualValues(t, 6, b.All()[1].Requests)
	b.Expire(loadReportTTL)
	require.Empty(t, b.All())
}

// The other routers' work is added to the local work, loses weight over time unless it is renewed, and is 0 at servers
// that are not in the message.
func TestPeerLoads(t *testing.T) {
	p := newTestPool("z0", 3)
	s := p.servers["s1"]
	s.Begin(Work{Requests: 1, PrefillTokens: 100})
	p.SetPeerLoads(LoadSums{s.hash: {Requests: 5, PrefillTokens: 9000}}, time.Second)
	require.EqualValues(t, 6, s.Load(time.Second))
	require.EqualValues(t, 9100, s.Work(time.Second).PrefillTokens)
	require.InDelta(t, 4600, s.Work(time.Second+peerLoadTTL/2).PrefillTokens, 1)
	require.EqualValues(t, 100, s.Work(time.Second+peerLoadTTL).PrefillTokens)
	p.SetPeerLoads(LoadSums{}, 2*time.Second)
	require.EqualValues(t, 100, s.Work(2*time.Second).PrefillTokens)
}

// A prompt does not go to the server that has its prefix if that server has so much pending prefill that recomputing the
// prefix elsewhere costs less.
func TestAPromptAvoidsALoadedServer(t *testing.T) {
	p := newTestPool("z0", 9)
	p.prefixes.ttl = 10 * time.Second
	r := Request{PrefixKey: "part", SharedTokens: 6000, PrefixTokens: 4000, PromptTokens: 9000, MaxOutputTokens: 100}
	p.RecordUse(HashPrefix("part"), "s4", time.Second)
	setPendingPrefill := func(tokens float64) {
		p.SetPeerLoads(LoadSums{p.servers["s4"].hash: {Requests: 1, PrefillTokens: tokens}}, time.Second)
	}
	recomputeCost := (1 + p.policy.RecomputeFactor) * 4000
	setPendingPrefill(recomputeCost - 2000)
	require.Equal(t, "s4", p.Pick(r, anyServer, time.Second).ID)
	setPendingPrefill(recomputeCost + 2000)
	require.NotEqual(t, "s4", p.Pick(r, anyServer, time.Second).ID)
}

// Prompts avoid servers with long answers, and long answers are packed onto few servers as long as these have room.
func TestLongAnswersAndPrompts(t *testing.T) {
	p := newTestPool("z0", 9)
	p.prefixes.ttl = 10 * time.Second
	longAnswer := Request{PromptTokens: 200, MaxOutputTokens: 4000, MaxGap: 200 * time.Millisecond}
	p.SetPeerLoads(LoadSums{}, time.Second)
	got := map[string]int{}
	for range 9 { // the zone has 3 servers with 16 slots each
		s := p.Pick(longAnswer, anyServer, time.Second)
		s.Begin(longAnswer.Work(true))
		got[s.ID]++
	}
	require.Len(t, got, 1, "9 long answers fit into the fraction of one server's slots that streams may use: 0.6 of 16")
	for range 9 {
		s := p.Pick(longAnswer, anyServer, time.Second)
		s.Begin(longAnswer.Work(true))
		got[s.ID]++
	}
	require.Len(t, got, 2)
	for i := range 50 {
		r := Request{PrefixKey: fmt.Sprint(i), SharedTokens: 6000, PrefixTokens: 4000, PromptTokens: 20_000, MaxOutputTokens: 100}
		require.Zero(t, got[p.Pick(r, anyServer, time.Second).ID])
	}
}

// A router that has received no peer loads recently does not pack long answers: without peer loads, all routers
// would choose the same few servers, unaware of each other.
func TestLongAnswersWithoutPeerLoads(t *testing.T) {
	longAnswer := Request{PromptTokens: 200, MaxOutputTokens: 4000}
	for name, receivedAt := range map[string]time.Duration{"never received": 0, "not recently": time.Second} {
		p := newTestPool("z0", 9)
		if receivedAt > 0 {
			p.SetPeerLoads(LoadSums{}, receivedAt)
		}
		got := map[string]bool{}
		for range 6 {
			s := p.Pick(longAnswer, anyServer, receivedAt+peerLoadTTL)
			s.Begin(longAnswer.Work(true))
			got[s.ID] = true
		}
		require.Len(t, got, 3, name)
	}
}

func TestParseUsage(t *testing.T) {
	for header, want := range map[string][2]int{"1460,80": {1460, 80}, " 7 , 8 ": {7, 8}, "": {}, "1": {}, "-1,2": {}, "1,x": {}} {
		prompt, output, ok := ParseUsage(header)
		require.Equal(t, want, [2]int{prompt, output}, header)
		require.Equal(t, want != [2]int{}, ok)
	}
}

// The time per token is the slope of time over tokens; a constant delay common to all prompts does not affect it.
func TestPrefillEstimate(t *testing.T) {
	var estimate prefillEstimate
	require.Equal(t, defaultPrefillTime, estimate.perToken())
	for i := range 100 {
		tokens := float64(1000 * (1 + i%9))
		estimate.add(tokens, 40*time.Millisecond+time.Duration(tokens)*5*time.Microsecond, time.Duration(i)*time.Millisecond)
	}
	require.InDelta(t, 5*time.Microsecond, estimate.perToken(), 100)
	p := newTestPool("z0", 3)
	p.prefillTime = estimate
	require.True(t, math.IsInf(p.tokensPerGap(), 1), "no long answer has a gap target")
	p.Pick(Request{PromptTokens: 10, MaxOutputTokens: 1000, MaxGap: 200 * time.Millisecond}, anyServer, 0)
	require.InDelta(t, 40_000, p.tokensPerGap(), 1000)
}
