package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPeriodicTimer(t *testing.T) {
	var p periodicTimer
	require.True(t, p.elapsed(time.Second, 0), "the zero value is due at once")
	require.False(t, p.elapsed(time.Second, time.Second-1))
	require.True(t, p.elapsed(time.Second, time.Second))
	p.expire()
	require.True(t, p.elapsed(time.Second, time.Second+1))
	require.False(t, p.elapsed(time.Second, time.Second+2))
}
