package clientlimit

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// The bounds of all listeners together stay within the memory and the descriptors, with the limits of the deployments and with those of the
// tests with crowds, and every listener has some room.
func TestTheBoundsOfAllListenersFitTogether(t *testing.T) {
	const longestBody = 4 << 20
	for _, memoryMb := range []int{88, 102, 128, 160, 184, 244, 284, 1024} {
		for _, descriptors := range []int{800, 3900, 4100, 20_000} {
			t.Run(fmt.Sprint(memoryMb, " MB, ", descriptors, " descriptors"), func(t *testing.T) {
				l := Limits{MemoryBytes: int64(memoryMb) << 20, Descriptors: descriptors}
				clients, callers, probes := l.ClientConnections(), l.CallerConnections(), l.ProbeConnections()
				peers, servers := l.PeerConnections(), l.ServerConnections()
				for _, connections := range []int{clients, callers, probes, peers, servers} {
					require.GreaterOrEqual(t, connections, 25)
				}
				require.LessOrEqual(t, clients+callers+probes+peers+servers, descriptors-reservedDescriptors)
				m := l.MemoryBytes
				require.LessOrEqual(t, int64(clients+callers+probes)*connectionBytes, m/6)
				require.LessOrEqual(t, int64(peers)*connectionBytes, m/12)
				buffers := int64(2*(clients+callers+probes) + servers)
				require.LessOrEqual(t, buffers*int64(l.SocketBufferBytes()), max(m/8, buffers*(4<<10)))
				require.LessOrEqual(t, buffers*(4<<10), m/4, "the smallest buffers fit too")
				require.GreaterOrEqual(t, int64(largeMessagesFraction*float64(l.MessageBytes())), int64(longestBody+longestBody/2+1))
			})
		}
	}
}

func TestNoLimitsBoundNothing(t *testing.T) {
	var l Limits
	require.Zero(t, l.MessageBytes())
	require.Zero(t, l.SocketBufferBytes())
	require.Nil(t, l.SendBuffers())
	require.Greater(t, l.ClientConnections(), 100_000)
}
