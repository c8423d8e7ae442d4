package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A control sidecar that has just started knows hardly anybody; a fleet that has really shrunk is believed after a while.
func TestAFleetShrinksLate(t *testing.T) {
	f := fleetSize{size: 1}
	require.True(t, f.set(11, 0))
	require.False(t, f.set(1, time.Second))
	require.False(t, f.set(7, fleetHold))
	require.Equal(t, 11, f.size)
	require.True(t, f.set(5, fleetHold+time.Millisecond))
	require.Equal(t, 7, f.size, "the largest that it was told to be meanwhile")
	require.False(t, f.set(5, fleetHold+time.Second))
	require.True(t, f.set(12, fleetHold+2*time.Second))
}
