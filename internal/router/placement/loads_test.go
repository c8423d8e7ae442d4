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
	require.Len(t, message.Servers, 1, "nothing is not told of")
	require.Equal(t, LoadSums{HashServer("a"): sums[HashServer("a")]}, message.Sums())
	message.Unread = nil
	require.Empty(t, message.Sums(), "what is not whole is left out")
}

// Of very many servers those with the most work are told of.
func TestLoadsAreBounded(t *testing.T) {
	sums := LoadSums{}
	for i := range 5 * maxLoads {
		sums[ServerHash(i)] = Work{Requests: 1, PrefillTokens: float64(i)}
	}
	message := sums.Message()
	require.Len(t, message.Servers, maxLoads)
	require.Contains(t, message.Sums(), ServerHash(5*maxLoads-1))
	require.NotContains(t, message.Sums(), ServerHash(0))
}

// A subscriber hears of all but its own, another control sidecar of the subscribers' alone; a word that is not renewed ends.
func TestBoard(t *testing.T) {
	one := func(requests float64) LoadSums { return LoadSums{1: {Requests: requests}} }
	b := NewLoadBoard()
	b.Put("a", false, one(1), 0)
	b.Put("b", false, one(2), 0)
	b.Put("peer", true, one(4), 0)
	require.EqualValues(t, 3, b.ForPeers()[1].Requests)
	all := b.All()
	require.EqualValues(t, 7, all[1].Requests)
	require.EqualValues(t, 6, b.Others(all, "a")[1].Requests)
	require.EqualValues(t, 7, b.Others(all, "nobody")[1].Requests)
	require.EqualValues(t, 7, all[1].Requests, "the sum itself stays")
	b.Put("a", false, LoadSums{}, boardGood/2)
	require.EqualValues(t, 6, b.All()[1].Requests)
	b.Expire(boardGood)
	require.Empty(t, b.All())
}

// What others have under way counts beside the own, fades where it is not renewed, and is nothing where it is not named.
func TestWorkOfOthers(t *testing.T) {
	p := pool("z0", 3)
	s := p.servers["s1"]
	s.Begin(Work{Requests: 1, PrefillTokens: 100})
	p.SetPeerLoads(LoadSums{s.hash: {Requests: 5, PrefillTokens: 9000}}, time.Second)
	require.EqualValues(t, 6, s.Load(time.Second))
	require.EqualValues(t, 9100, s.Work(time.Second).PrefillTokens)
	require.InDelta(t, 4600, s.Work(time.Second+toldGood/2).PrefillTokens, 1)
	require.EqualValues(t, 100, s.Work(time.Second+toldGood).PrefillTokens)
	p.SetPeerLoads(LoadSums{}, 2*time.Second)
	require.EqualValues(t, 100, s.Work(2*time.Second).PrefillTokens)
}

// A prompt leaves the server that keeps its part where so much is left to read there that it costs more than to read the part again.
func TestAPromptLeavesALoadedServer(t *testing.T) {
	p := pool("z0", 9)
	p.recent.again = 10 * time.Second
	r := Request{PrefixKey: "part", SharedTokens: 6000, PrefixTokens: 4000, PromptTokens: 9000, MaxOutputTokens: 100}
	p.RecordUse(HashPrefix("part"), "s4", time.Second)
	load := func(unread float64) {
		p.SetPeerLoads(LoadSums{p.servers["s4"].hash: {Requests: 1, PrefillTokens: unread}}, time.Second)
	}
	again := (1 + p.policy.RecomputeFactor) * 4000
	load(again - 2000)
	require.Equal(t, "s4", p.Pick(r, all, time.Second).ID)
	load(again + 2000)
	require.NotEqual(t, "s4", p.Pick(r, all, time.Second).ID)
}

// Prompts go round servers that hold long answers, long answers stay together as long as there is room.
func TestLongAnswersAndPrompts(t *testing.T) {
	p := pool("z0", 9)
	p.recent.again = 10 * time.Second
	long := Request{PromptTokens: 200, MaxOutputTokens: 4000, MaxGap: 200 * time.Millisecond}
	p.SetPeerLoads(LoadSums{}, time.Second)
	got := map[string]int{}
	for range 9 { // 3 servers in the zone, 16 places each
		s := p.Pick(long, all, time.Second)
		s.Begin(long.Work(true))
		got[s.ID]++
	}
	require.Len(t, got, 1, "in 0.6 of the places of one server")
	for range 9 {
		s := p.Pick(long, all, time.Second)
		s.Begin(long.Work(true))
		got[s.ID]++
	}
	require.Len(t, got, 2)
	for i := range 50 {
		r := Request{PrefixKey: fmt.Sprint(i), SharedTokens: 6000, PrefixTokens: 4000, PromptTokens: 20_000, MaxOutputTokens: 100}
		require.Zero(t, got[p.Pick(r, all, time.Second).ID])
	}
}

// Who has not heard of the others' work for a while does not keep long answers together: all routers would take the same few servers.
func TestLongAnswersWithoutWordOfOthers(t *testing.T) {
	long := Request{PromptTokens: 200, MaxOutputTokens: 4000}
	for name, heard := range map[string]time.Duration{"never heard": 0, "not lately": time.Second} {
		p := pool("z0", 9)
		if heard > 0 {
			p.SetPeerLoads(LoadSums{}, heard)
		}
		got := map[string]bool{}
		for range 6 {
			s := p.Pick(long, all, heard+toldGood)
			s.Begin(long.Work(true))
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

// How long a token takes is seen from how the time grows with the tokens, whatever all prompts wait for.
func TestReading(t *testing.T) {
	var r reading
	require.Equal(t, readingUnknown, r.perToken())
	for i := range 100 {
		tokens := float64(1000 * (1 + i%9))
		r.note(tokens, 40*time.Millisecond+time.Duration(tokens)*5*time.Microsecond, time.Duration(i)*time.Millisecond)
	}
	require.InDelta(t, 5*time.Microsecond, r.perToken(), 100)
	p := pool("z0", 3)
	p.reading = r
	require.True(t, math.IsInf(p.pauseTokens(), 1), "no long answer has an objective")
	p.Pick(Request{PromptTokens: 10, MaxOutputTokens: 1000, MaxGap: 200 * time.Millisecond}, all, 0)
	require.InDelta(t, 40_000, p.pauseTokens(), 1000)
}
