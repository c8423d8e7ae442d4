package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newTestPool(zone string, n int) *Pool {
	p := NewPool(zone, 0, DefaultPolicy(), nil)
	var endpoints []Endpoint
	for i := range n {
		endpoints = append(endpoints, Endpoint{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%3), Slots: 16})
	}
	for _, s := range endpoints {
		p.Put(s)
	}
	return p
}

func anyServer(*Server) bool { return true }

func TestRoutersAgreeOnAPrompt(t *testing.T) {
	a, b := newTestPool("z0", 9), newTestPool("z1", 9)
	r := Request{PrefixKey: "5c1e07a2", SharedTokens: 6000}
	s := a.Pick(r, anyServer, 0)
	require.Equal(t, s.ID, b.Pick(r, anyServer, 0).ID)
	for range 5 {
		require.Equal(t, s.ID, a.Pick(r, anyServer, 0).ID)
	}
}

// Removing a server moves only the prompts that went to it.
func TestRemovingAServerMovesOnlyItsPrompts(t *testing.T) {
	before, after := newTestPool("z0", 9), newTestPool("z0", 8)
	for i := range 200 {
		r := Request{PrefixKey: fmt.Sprint(i), SharedTokens: 6000}
		if server := before.Pick(r, anyServer, 0).ID; server != "s8" {
			require.Equal(t, server, after.Pick(r, anyServer, 0).ID)
		}
	}
}

// A prefix with many requests spreads to further servers, and no server gets more requests than it has slots.
func TestAHotPromptSpreads(t *testing.T) {
	p := newTestPool("z0", 9)
	seen := map[string]int{}
	for range 40 {
		s := p.Pick(Request{PrefixKey: "hot", SharedTokens: 6000}, anyServer, 0)
		s.Begin(Work{Requests: 1, PrefillTokens: 2000})
		seen[s.ID]++
	}
	require.Greater(t, len(seen), 3)
	for _, n := range seen {
		require.LessOrEqual(t, n, 16)
	}
}

func TestShortPromptsStayInTheZone(t *testing.T) {
	p := newTestPool("z1", 9)
	seen := map[string]bool{}
	for range 30 {
		s := p.Pick(Request{PrefixKey: "a", SharedTokens: 80}, anyServer, 0)
		require.Equal(t, "z1", s.Zone)
		seen[s.ID] = true
	}
	require.Len(t, seen, 3)
}

func TestRerouteGoesToTheHealthiestUntried(t *testing.T) {
	p := newTestPool("z0", 3)
	p.servers["s1"].Health.Failure(0, false)
	r := Request{Tried: map[string]bool{"s0": true}}
	require.Equal(t, "s2", p.Reroute(r, anyServer, 0).ID)
	r.Tried["s2"] = true
	require.Equal(t, "s1", p.Reroute(r, anyServer, 0).ID)
	r.Tried["s1"] = true
	require.Nil(t, p.Reroute(r, anyServer, 0))
}

func TestAServerInCooldownIsUsedOnlyWithoutAlternative(t *testing.T) {
	p := newTestPool("z0", 2)
	p.servers["s0"].Health.Failure(0, true)
	for range 4 {
		require.Equal(t, "s1", p.Pick(Request{}, anyServer, time.Millisecond).ID)
	}
	require.Equal(t, "s0", p.Pick(Request{Tried: map[string]bool{"s1": true}}, anyServer, time.Millisecond).ID)
}

func TestLoad(t *testing.T) {
	var s Server
	s.ReportLoad(10, 2, 16, time.Second)
	s.Begin(Work{Requests: 1, PrefillTokens: 2000})
	require.InDelta(t, 13, s.Load(time.Second), 0.01)
	require.InDelta(t, 1, s.Load(time.Second+2*serverReportTTL), 0.01)
}

func TestParsePrefix(t *testing.T) {
	for header, want := range map[string]Request{
		"5c1e07a2:800,91bd3f06:410,e4402b7d:250": {PrefixKey: "91bd3f06", SharedTokens: 1210, PrefixTokens: 410},
		"5c1e07a2:800":                           {},
		"":                                       {},
		"a:x,b:2":                                {},
	} {
		key, shared, part := ParsePrefix(header)
		require.Equal(t, want, Request{PrefixKey: key, SharedTokens: shared, PrefixTokens: part}, header)
	}
}

// A request goes to the server to which another router recently sent a request with the same prefix. If no server
// processed the prefix recently, the request stays in the router's zone.
func TestRecentlyUsedPrefix(t *testing.T) {
	p := newTestPool("z0", 9)
	p.prefixes.ttl = 7 * time.Second
	r := Request{PrefixKey: "part", SharedTokens: 6000}
	require.Equal(t, "z0", p.Pick(r, anyServer, 0).Zone)
	p.RecordUse(HashPrefix("part"), "s4", time.Second)
	require.Equal(t, "s4", p.Pick(r, anyServer, 2*time.Second).ID)
	require.Equal(t, "z0", p.Pick(r, anyServer, 8*time.Second).Zone)
	p.RecordUse(HashPrefix("part"), "s4", 9*time.Second)
	p.RecordUse(HashPrefix("part"), "s5", 10*time.Second)
	for range 3 {
		p.servers["s5"].Begin(Work{Requests: 1, PrefillTokens: 10000})
	}
	require.Equal(t, "s4", p.Pick(r, anyServer, 11*time.Second).ID, "the earlier server with this prefix, since the latest one is loaded")
}

func TestPrefixTableIsBounded(t *testing.T) {
	p := newTestPool("z0", 3)
	p.prefixes.ttl = time.Second
	for i := range 2*maxPrefixes + 5 {
		p.RecordUse(PrefixHash(i), "s1", time.Duration(i)*time.Microsecond)
	}
	require.LessOrEqual(t, len(p.prefixes.uses), maxPrefixes)
}

func FuzzPrefix(f *testing.F) {
	f.Add("5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	f.Fuzz(func(t *testing.T, header string) {
		key, shared, _ := ParsePrefix(header)
		require.True(t, key != "" || shared == 0)
	})
}
