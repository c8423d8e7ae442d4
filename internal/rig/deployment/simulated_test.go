package deployment

import (
	"testing"

	"petrelhook/internal/rig/bubble"
)

// simulate runs a test of a deployment in memory and in virtual time, beside others.
func simulate(t *testing.T, test func(t *testing.T)) {
	t.Parallel()
	bubble.TestInProcess(t, test)
}

// newLoadTest is a deployment under load in memory, inside the bubble of simulate.
func newLoadTest(t *testing.T, sidecars, rate int, faults string, configure func(*Deployment)) *LoadTest {
	t.Helper()
	return StartLoadTest(t, Simulate(t), Load{Sidecars: sidecars, Rate: rate, Faults: faults, Configure: configure})
}
