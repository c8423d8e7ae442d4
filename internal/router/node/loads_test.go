package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/placement"
)

// loadReport returns a report of one request at server i1 with prompt tokens that are not yet prefilled.
func loadReport(unread float64) dissemination.LoadReport {
	return dissemination.LoadReport{Loads: placement.LoadSums{placement.HashServer("i1"): {Requests: 1, PrefillTokens: unread}}.Message()}
}

// A core member adds up the loads of its subscribers and those reported by other core members. To other core members it
// sends only the sum of its subscribers.
func TestLoadsAreAddedUp(t *testing.T) {
	n := newNodeWithoutPrimary(t)
	peer := member("10.0.3.9:7000", "z3")
	n.control.view = view(2, member("10.0.2.1:7000", "z1"), selfMember, peer)
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
	require.Empty(t, n.loads.board.All(), "no router has renewed its report")
}

// A router that is not a core member adopts loads from its home only. When its work has ended it sends the home one empty
// report.
func TestLoadsComeFromTheHome(t *testing.T) {
	n := newNodeWithoutPrimary(t)
	n.self.Member = nil
	n.control.view = view(2, member("10.0.2.1:7000", "z1"))
	n.reviewHome(n.now())
	require.Equal(t, "10.0.2.1:7000", n.subscription.home.Current())
	n.loads.reported = true
	n.tickLoads(n.now())
	require.False(t, n.loads.reported)
	n.receiveLoadReport("10.0.9.9:7000", loadReport(1000), n.now())
	require.Empty(t, n.loads.board.All(), "only a core member records the loads of others")
}

// A home sends loads less often if it has many subscribers.
func TestLoadsAreSentLessOftenToManySubscribers(t *testing.T) {
	n := newNodeWithoutPrimary(t)
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
