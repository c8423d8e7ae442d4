package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPeriodic(t *testing.T) {
	var p periodic
	require.True(t, p.due(time.Second, 0), "it was never done")
	require.False(t, p.due(time.Second, time.Second-1))
	require.True(t, p.due(time.Second, time.Second))
	p.soon()
	require.True(t, p.due(time.Second, time.Second+1))
	require.False(t, p.due(time.Second, time.Second+2))
}
