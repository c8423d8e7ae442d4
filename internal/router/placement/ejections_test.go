package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An ejected server receives only trial requests until the ejection expires.
func TestAnEjectedServerGetsOnlyTrials(t *testing.T) {
	p := newTestPool("z0", 9)
	draw := 0.5
	p.ejections.random = func() float64 { return draw }
	p.SetEjections(map[string]float64{"s0": 0.1}, time.Second)
	for i := range 50 {
		require.NotEqual(t, "s0", p.Pick(Request{}, anyServer, 0).ID)
		require.NotEqual(t, "s0", p.Pick(Request{PrefixKey: string(rune('a' + i)), SharedTokens: 6000}, anyServer, 0).ID)
	}
	require.NotEqual(t, "s0", p.Reroute(Request{Tried: map[string]bool{"s3": true}}, anyServer, 0).ID)
	draw = 0.05
	require.Equal(t, "s0", p.Pick(Request{}, anyServer, 0).ID)
	require.Equal(t, "s0", p.Pick(Request{PrefixKey: "a", SharedTokens: 6000}, anyServer, 0).ID)
	require.NotEqual(t, "s0", p.Pick(Request{Tried: map[string]bool{"s0": true}}, anyServer, 0).ID)

	draw = 0.5
	seen := map[string]bool{}
	for range 50 {
		seen[p.Pick(Request{}, anyServer, time.Second).ID] = true
	}
	require.True(t, seen["s0"], "the ejection was not renewed and has expired")
}

// If more than half of the servers are to be ejected, none is. If only ejected servers are usable, they get requests.
func TestEjectionsDoNotEmptyAPool(t *testing.T) {
	p := newTestPool("z0", 3)
	p.ejections.random = func() float64 { return 1 }
	p.SetEjections(map[string]float64{"s0": 0, "s1": 0}, time.Second)
	seen := map[string]bool{}
	for range 30 {
		seen[p.Pick(Request{PrefixKey: "k", SharedTokens: 0}, anyServer, 0).ID] = true
		for id := range seen {
			p.servers[id].Begin(Work{Requests: 1})
		}
	}
	require.True(t, seen["s0"])
	p.SetEjections(map[string]float64{"s0": 0}, time.Second)
	onlyS0 := func(s *Server) bool { return s.ID == "s0" }
	require.Equal(t, "s0", p.Pick(Request{}, onlyS0, 0).ID)
	p.Remove("s0")
	require.Nil(t, p.trialServer(Request{}, anyServer, 0))
}
