package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A session ends when no heartbeat has renewed it for the session timeout.
func TestSessionsEnd(t *testing.T) {
	s := New(3 * time.Second)
	s.ReceiveHeartbeat(Router{Address: "a", Incarnation: 1}, 0)
	s.ReceiveHeartbeat(Router{Address: "b", Incarnation: 1}, time.Second)
	s.Expire(3500 * time.Millisecond)
	require.Len(t, s.Fleet(), 1)
	require.Contains(t, s.Fleet(), "b")
}

// The stamp changes when a session is opened, when it ends, and when its router has a new incarnation. A heartbeat that only
// renews a session does not change the stamp.
func TestStampChangesWithSessions(t *testing.T) {
	s := New(3 * time.Second)
	s.ReceiveHeartbeat(Router{Address: "a", Incarnation: 1}, 0)
	_, opened := s.Own()
	s.ReceiveHeartbeat(Router{Address: "a", Incarnation: 1}, time.Second)
	_, renewed := s.Own()
	require.Equal(t, opened, renewed)
	s.ReceiveHeartbeat(Router{Address: "a", Incarnation: 2}, time.Second)
	_, restarted := s.Own()
	require.Greater(t, restarted, opened)
	s.Expire(time.Minute)
	_, ended := s.Own()
	require.Greater(t, ended, restarted)
}

// The fleet consists of all sessions of all core members. The sessions of a core member that stopped are kept for some
// time, so that its routers do not leave the fleet before they have found another core member.
func TestTheFleetIsKnownThroughPeers(t *testing.T) {
	s := New(3 * time.Second)
	s.ReceiveHeartbeat(Router{Address: "a", Incarnation: 1}, 0)
	s.UpdatePeer("peer", 7, 4, []Router{{Address: "b"}, {Address: "c"}}, 0)
	require.Len(t, s.Fleet(), 3)
	require.Equal(t, uint64(4), s.PeerStamp("peer", 7))
	require.Zero(t, s.PeerStamp("peer", 8), "the stamp of another incarnation of the peer is unknown")
	s.UpdatePeer("peer", 7, 4, nil, 10*time.Second)
	require.Len(t, s.Fleet(), 3, "a report without routers means that they did not change")
	s.Expire(21 * time.Second)
	require.Contains(t, s.Fleet(), "b")
	s.Expire(23 * time.Second)
	require.NotContains(t, s.Fleet(), "b")
}
