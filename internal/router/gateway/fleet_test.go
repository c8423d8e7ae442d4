package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A home, which is a core member that serves other routers, knows only few routers when it has just started. A smaller fleet
// size therefore takes effect only after fleetShrinkDelay.
func TestAFleetShrinksLate(t *testing.T) {
	f := fleetSize{size: 1}
	require.True(t, f.set(11, 0))
	require.False(t, f.set(1, time.Second))
	require.False(t, f.set(7, fleetShrinkDelay))
	require.Equal(t, 11, f.size)
	require.True(t, f.set(5, fleetShrinkDelay+time.Millisecond))
	require.Equal(t, 7, f.size, "size must be the largest one reported since 11 was confirmed")
	require.False(t, f.set(5, fleetShrinkDelay+time.Second))
	require.True(t, f.set(12, fleetShrinkDelay+2*time.Second))
}
