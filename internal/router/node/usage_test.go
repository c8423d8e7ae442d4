package node

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestUsageCountsMemoryAndDescriptors(t *testing.T) {
	before, err := residentBytes()
	require.NoError(t, err)
	require.Positive(t, before)
	block := make([]byte, 64<<20)
	for i := range block {
		block[i] = 1
	}
	after, err := residentBytes()
	require.NoError(t, err)
	require.Greater(t, after, before+48<<20)
	require.Equal(t, byte(1), block[len(block)-1])
}
