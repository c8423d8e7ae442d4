package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An ejected server gets trials alone, until the ejection ends by itself.
func TestAnEjectedServerGetsTrialsAlone(t *testing.T) {
	p := pool("z0", 9)
	draw := 0.5
	p.ejected.random = func() float64 { return draw }
	p.SetEjections(map[string]float64{"s0": 0.1}, time.Second)
	for i := range 50 {
		require.NotEqual(t, "s0", p.Pick(Request{}, all, 0).ID)
		require.NotEqual(t, "s0", p.Pick(Request{PrefixKey: string(rune('a' + i)), SharedTokens: 6000}, all, 0).ID)
	}
	require.NotEqual(t, "s0", p.Reroute(Request{Tried: map[string]bool{"s3": true}}, all, 0).ID)
	draw = 0.05
	require.Equal(t, "s0", p.Pick(Request{}, all, 0).ID)
	require.Equal(t, "s0", p.Pick(Request{PrefixKey: "a", SharedTokens: 6000}, all, 0).ID)
	require.NotEqual(t, "s0", p.Pick(Request{Tried: map[string]bool{"s0": true}}, all, 0).ID)

	draw = 0.5
	seen := map[string]bool{}
	for range 50 {
		seen[p.Pick(Request{}, all, time.Second).ID] = true
	}
	require.True(t, seen["s0"], "nobody renewed it")
}

// Where more than half of the servers are said to be bad nobody is believed, and where only ejected ones have room they serve.
func TestEjectionsEmptyNoPool(t *testing.T) {
	p := pool("z0", 3)
	p.ejected.random = func() float64 { return 1 }
	p.SetEjections(map[string]float64{"s0": 0, "s1": 0}, time.Second)
	seen := map[string]bool{}
	for range 30 {
		seen[p.Pick(Request{PrefixKey: "k", SharedTokens: 0}, all, 0).ID] = true
		for id := range seen {
			p.servers[id].Begin(Work{Requests: 1})
		}
	}
	require.True(t, seen["s0"])
	p.SetEjections(map[string]float64{"s0": 0}, time.Second)
	only := func(s *Server) bool { return s.ID == "s0" }
	require.Equal(t, "s0", p.Pick(Request{}, only, 0).ID)
	p.Remove("s0")
	require.Nil(t, p.trial(Request{}, all, 0))
}
