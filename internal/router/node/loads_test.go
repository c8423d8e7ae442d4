package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/placement"
)

func underWay(unread float64) dissemination.LoadReport {
	return dissemination.LoadReport{Loads: placement.LoadSums{placement.HashServer("i1"): {Requests: 1, PrefillTokens: unread}}.Message()}
}

// A control sidecar adds up what its subscribers tell, and what other control sidecars do; only the first goes on to those.
func TestWorkUnderWayIsAddedUp(t *testing.T) {
	n := poolNode(t)
	peer := member("10.0.3.9:7000", "z3")
	n.view = view(2, member("10.0.2.1:7000", "z1"), v1, peer)
	now := n.now()
	n.onUnderWay("10.0.1.2:7000", underWay(1000), now)
	n.onUnderWay("10.0.1.3:7000", underWay(300), now)
	n.onUnderWay(peer.Address, underWay(20), now)
	i1 := placement.HashServer("i1")
	require.EqualValues(t, 1300, n.loads.board.ForPeers()[i1].PrefillTokens)
	all := n.loads.board.All()
	require.EqualValues(t, 1320, all[i1].PrefillTokens)
	require.EqualValues(t, 320, n.loads.board.Others(all, "10.0.1.2:7000")[i1].PrefillTokens)
	n.tickLoads(now + 2*time.Second)
	require.Empty(t, n.loads.board.All(), "nobody has renewed it")
}

// A sidecar that is no member of the core hears its home alone, and tells it once that nothing is under way any more.
func TestWorkUnderWayComesFromTheHome(t *testing.T) {
	n := poolNode(t)
	n.self.Member = nil
	n.home.address = "10.0.2.1:7000"
	n.loads.told = true
	n.tickLoads(n.now())
	require.False(t, n.loads.told)
	n.onUnderWay("10.0.9.9:7000", underWay(1000), n.now())
	require.Empty(t, n.loads.board.All(), "it keeps no board")
}

// With many subscribers a home tells them less often.
func TestWorkUnderWayIsToldLessOftenToMany(t *testing.T) {
	n := poolNode(t)
	for i := range 100 {
		n.subscribers[fmt.Sprint("10.1.0.", i, ":7000")] = &subscriber{}
	}
	now := n.now()
	n.tickLoads(now)
	last := n.every.loads.last
	n.tickLoads(now + 100*loadsEach - time.Millisecond)
	require.Equal(t, last, n.every.loads.last)
	n.tickLoads(now + 100*loadsEach)
	require.Greater(t, n.every.loads.last, last)
}
