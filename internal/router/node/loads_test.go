package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/placement"
)

func loadReport(unread float64) dissemination.LoadReport {
	return dissemination.LoadReport{Loads: placement.LoadSums{placement.HashServer("i1"): {Requests: 1, PrefillTokens: unread}}.Message()}
}

// A core member adds up the loads of its subscribers and those that other core members report; it sends these only the
// first.
func TestLoadsAreAddedUp(t *testing.T) {
	n := poolNode(t)
	peer := member("10.0.3.9:7000", "z3")
	n.control.view = view(2, member("10.0.2.1:7000", "z1"), v1, peer)
	now := n.now()
	n.receiveLoadReport("10.0.1.2:7000", loadReport(1000), now)
	n.receiveLoadReport("10.0.1.3:7000", loadReport(300), now)
	n.receiveLoadReport(peer.Address, loadReport(20), now)
	i1 := placement.HashServer("i1")
	require.EqualValues(t, 1300, n.loads.board.ForPeers()[i1].PrefillTokens)
	all := n.loads.board.All()
	require.EqualValues(t, 1320, all[i1].PrefillTokens)
	require.EqualValues(t, 320, n.loads.board.Others(all, "10.0.1.2:7000")[i1].PrefillTokens)
	n.tickLoads(now + 2*time.Second)
	require.Empty(t, n.loads.board.All(), "nobody has renewed it")
}

// A router that is no core member adopts the loads of its home alone, and reports to it once that no work is left.
func TestLoadsComeFromTheHome(t *testing.T) {
	n := poolNode(t)
	n.self.Member = nil
	n.control.view = view(2, member("10.0.2.1:7000", "z1"))
	n.reviewHome(n.now())
	require.Equal(t, "10.0.2.1:7000", n.subscription.home.Current())
	n.loads.reported = true
	n.tickLoads(n.now())
	require.False(t, n.loads.reported)
	n.receiveLoadReport("10.0.9.9:7000", loadReport(1000), n.now())
	require.Empty(t, n.loads.board.All(), "it has no board of others' loads")
}

// With many subscribers a home sends them loads less often.
func TestLoadsAreSentLessOftenToManySubscribers(t *testing.T) {
	n := poolNode(t)
	for i := range 100 {
		n.distributor.subscribers[fmt.Sprint("10.1.0.", i, ":7000")] = &subscriber{}
	}
	now := n.now()
	n.tickLoads(now)
	last := n.timers.loads.last
	n.tickLoads(now + 100*loadsIntervalPerSubscriber - time.Millisecond)
	require.Equal(t, last, n.timers.loads.last)
	n.tickLoads(now + 100*loadsIntervalPerSubscriber)
	require.Greater(t, n.timers.loads.last, last)
}
