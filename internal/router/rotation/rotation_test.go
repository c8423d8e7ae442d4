package rotation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMultiplier(t *testing.T) {
	var h Health
	require.Equal(t, 1.0, h.Multiplier(0))
	for range 3 {
		h.Failure(time.Second, false)
	}
	require.InDelta(t, 0.7, h.Multiplier(time.Second), 1e-9)
	require.InDelta(t, 0.85, h.Multiplier(time.Second+errorHalfLife), 1e-9)
	for range 20 {
		h.Failure(time.Second, false)
	}
	require.Equal(t, 0.5, h.Multiplier(time.Second))
	h.Success()
	require.Equal(t, 1.0, h.Multiplier(time.Second))
}

func TestCooldown(t *testing.T) {
	var h Health
	h.Failure(0, true)
	require.True(t, h.CoolingDown(initialCooldown-1))
	require.False(t, h.CoolingDown(initialCooldown))
	h.Failure(initialCooldown, true)
	require.True(t, h.CoolingDown(initialCooldown+2*initialCooldown-1))
	h.Success()
	require.False(t, h.CoolingDown(initialCooldown+1))
}

func TestSmoothWeightedRoundRobin(t *testing.T) {
	currentWeights := make([]CurrentWeight, 3)
	weights := []float64{100, 100, 50}
	picks := make([]int, 3)
	for range 250 {
		var candidates []Candidate
		for i := range currentWeights {
			candidates = append(candidates, Candidate{Current: &currentWeights[i], Weight: weights[i]})
		}
		picks[Pick(candidates)]++
	}
	require.Equal(t, []int{100, 100, 50}, picks)
	require.Equal(t, -1, Pick(nil))
}
