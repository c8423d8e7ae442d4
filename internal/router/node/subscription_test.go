package node

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/homeselection"
	"petrelhook/internal/router/membership"
	"petrelhook/internal/router/registry"
)

// A router subscribes as soon as a message names the core, not at a later tick.
func TestASubscriptionBeginsAsSoonAsTheCoreIsKnown(t *testing.T) {
	n := newNode(t, "")
	n.tick()
	require.Empty(t, n.subscription.home.Current())
	v := view(1, member("10.0.1.1:7000", "z1"), member("10.0.2.1:7000", "z2"))
	n.receive("10.0.2.1:7000", dissemination.Push{Incarnation: 1, View: &v})
	require.Equal(t, "10.0.1.1:7000", n.subscription.home.Current())
	require.Less(t, n.now()-n.timers.sessions.last, heartbeatInterval)
}

// A subscriber is not sent everything again if its next heartbeat comes while the first push may be in flight. A new
// incarnation of the subscriber is.
func TestASubscriberIsSentEverythingOnce(t *testing.T) {
	n := newNode(t, "")
	n.self.Member = &selfMember
	n.control.view = view(1, selfMember)
	n.registry.ReceiveHeartbeat(registry.Instance{ID: "i1", Service: "s", Address: "10.1.1.1:80", Sequence: 1}, 0)
	heartbeat := dissemination.SubscriptionHeartbeat{Router: membership.Router{Address: "10.0.1.2:7000", Zone: "z1", Incarnation: 7}, Subscribe: true}
	now := time.Second
	n.receiveSubscriptionHeartbeat(heartbeat.Router.Address, &heartbeat, now)
	s := n.distributor.subscribers[heartbeat.Router.Address]
	require.Equal(t, now, s.servers.inFlightFrom)
	n.receiveSubscriptionHeartbeat(heartbeat.Router.Address, &heartbeat, now+startupInterval)
	require.Equal(t, now, s.servers.inFlightFrom, "the push may be in flight")
	n.receiveSubscriptionHeartbeat(heartbeat.Router.Address, &heartbeat, now+resendDelay+time.Millisecond)
	require.Equal(t, now+resendDelay+time.Millisecond, s.servers.inFlightFrom, "the push may have been lost")

	heartbeat.Router.Incarnation = 8
	now += resendDelay + startupInterval
	n.receiveSubscriptionHeartbeat(heartbeat.Router.Address, &heartbeat, now)
	require.Equal(t, now, s.servers.inFlightFrom, "a new incarnation has nothing")
}

// A subscriber that does not acknowledge pushes is sent them again at growing intervals, which are longer for a long list.
// In a fleet of 630 routers, slow ones were sent all 6,700 servers over and over, which made them slower.
func TestSlowSubscribersAreSentAllMoreRarely(t *testing.T) {
	countSends := func(servers int) (count int) {
		n := newNode(t, "")
		n.self.Member = &selfMember
		n.control.view = view(1, selfMember)
		for i := range servers {
			addReadyServer(n.registry, fmt.Sprint("i", i))
		}
		heartbeat := dissemination.SubscriptionHeartbeat{Router: membership.Router{Address: "10.0.1.2:7000", Zone: "z1", Incarnation: 7}, Subscribe: true, HomeIncarnation: n.self.Incarnation}
		last := -time.Hour
		for now := time.Second; now < 11*time.Second; now += heartbeatInterval {
			n.receiveSubscriptionHeartbeat(heartbeat.Router.Address, &heartbeat, now)
			if sent := n.distributor.subscribers[heartbeat.Router.Address].servers.inFlightFrom; sent != last {
				count, last = count+1, sent
			}
		}
		s := n.distributor.subscribers[heartbeat.Router.Address]
		heartbeat.RegistryStamp = n.registry.Stamp()
		n.receiveSubscriptionHeartbeat(heartbeat.Router.Address, &heartbeat, 20*time.Second)
		require.Zero(t, s.servers.resends, "it has acknowledged everything")
		return count
	}
	require.InDelta(t, 9, countSends(10), 2)
	require.InDelta(t, 3, countSends(6700), 1)
}

// selfMember is the core member with the address of the router of newNode.
var selfMember = member("127.0.0.1:7000", "z1")

// A core member that lost its disk has the complete list of servers once it has received the complete list of another core
// member, in one push or several. Later pushes without the beginning of the list are not enough.
func TestAMemberWithoutItsDiskAdoptsTheListOfOthers(t *testing.T) {
	n := newNode(t, "")
	self := selfMember
	n.self.Member = &self
	formerSelf := selfMember
	formerSelf.ID = "the disk that was lost"
	n.control.view = view(1, formerSelf, member("10.0.1.1:7000", "z2"))
	updates := func(id string) []registry.Update {
		return []registry.Update{{Instance: registry.Instance{ID: id, Service: "s", Address: id}}}
	}
	n.receivePush("10.0.1.1:7000", &dissemination.Push{Incarnation: 1, FromStamp: 3, Stamp: 4, Instances: updates("i4"), Complete: true}, 0)
	require.False(t, n.subscription.serversComplete)
	n.receivePush("10.0.1.1:7000", &dissemination.Push{Incarnation: 1, FromStamp: 0, Stamp: 4, Instances: updates("i1")}, 0)
	require.False(t, n.subscription.serversComplete, "the sender does not have the complete list yet")
	n.receivePush("10.0.1.1:7000", &dissemination.Push{Incarnation: 1, FromStamp: 4, Stamp: 5, Instances: updates("i5"), Complete: true}, 0)
	require.True(t, n.subscription.serversComplete)
}

// A router that is not ready yet replaces a silent home after homeselection.StartupTimeout; a ready one waits longer.
func TestAHomeThatTimesOutIsLeftSoonAtTheStart(t *testing.T) {
	n := newNode(t, "")
	n.control.view = view(1, member("10.0.1.1:7000", "z1"), member("10.0.2.1:7000", "z2"))
	n.reviewHome(0)
	require.Equal(t, "10.0.1.1:7000", n.subscription.home.Current())
	n.reviewHome(homeselection.StartupTimeout)
	require.Equal(t, "10.0.1.1:7000", n.subscription.home.Current())
	n.reviewHome(homeselection.StartupTimeout + time.Millisecond)
	require.Equal(t, "10.0.2.1:7000", n.subscription.home.Current())

	n = newNode(t, "")
	n.ready.Store(true)
	n.control.view = view(1, member("10.0.1.1:7000", "z1"), member("10.0.2.1:7000", "z2"))
	n.reviewHome(0)
	n.reviewHome(homeselection.StartupTimeout + time.Millisecond)
	require.Equal(t, "10.0.1.1:7000", n.subscription.home.Current())
}

// A core member that has just started announces its view to the seeds at once and at each heartbeat. Routers without a
// disk, whose seeds may have changed, ask the seeds for it.
func TestSeedsAreContactedAtOnceAfterAStart(t *testing.T) {
	n := newNode(t, "")
	self := selfMember
	n.self.Member = &self
	n.control.view = view(1, self, member("10.0.1.1:7000", "z2"))
	n.tickSessions(startupInterval)
	require.Equal(t, startupInterval, n.timers.seeds.last)
	n.tickSessions(2 * startupInterval)
	require.Equal(t, 2*startupInterval, n.timers.seeds.last)
	n.tickSessions(startupPeriod + startupInterval)
	n.tickSessions(startupPeriod + 2*startupInterval)
	require.Equal(t, startupPeriod+startupInterval, n.timers.seeds.last)
}

// The answer to a heartbeat of a new incarnation is sent over a new connection, because the failure of the previous
// connection may not have been detected yet.
func TestANewProcessIsAnsweredOverANewConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	n := newNode(t, "")
	self := selfMember
	n.self.Member = &self
	n.control.view = view(1, self)
	heartbeat := dissemination.SubscriptionHeartbeat{Router: membership.Router{Address: listener.Addr().String(), Zone: "z1"}, Subscribe: true}
	for previous := range uint64(2) {
		heartbeat.Router.Incarnation = previous + 1
		n.receiveSubscriptionHeartbeat(heartbeat.Router.Address, &heartbeat, time.Duration(previous)*time.Second)
		require.NoError(t, listener.(*net.TCPListener).SetDeadline(time.Now().Add(10*time.Second)))
		peer, err := listener.Accept()
		require.NoError(t, err, "no connection of its own for incarnation %d", previous+1)
		defer peer.Close()
		_, err = peer.Read(make([]byte, 1))
		require.NoError(t, err)
	}
}
