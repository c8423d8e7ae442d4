package node

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/membership"
	"petrelhook/internal/router/registry"
)

// A sidecar that hears who the core is subscribes with that message, and not at some later tick.
func TestASubscriptionBeginsAsSoonAsTheCoreIsKnown(t *testing.T) {
	n := newNode(t, "")
	n.tick()
	require.Empty(t, n.home.address)
	v := view(1, member("10.0.1.1:7000", "z1"), member("10.0.2.1:7000", "z2"))
	n.receive("10.0.2.1:7000", dissemination.Push{Incarnation: 1, View: &v})
	require.Equal(t, "10.0.1.1:7000", n.home.address)
	require.Less(t, n.now()-n.every.session.last, sessionEvery)
}

// A subscriber that asks again before the first answer can have reached it is not sent everything anew; one that has started
// anew is.
func TestASubscriberIsSentEverythingOnce(t *testing.T) {
	n := newNode(t, "")
	n.self.Member = &v1
	n.view = view(1, v1)
	n.registry.ReceiveHeartbeat(registry.Instance{ID: "i1", Service: "s", Address: "10.1.1.1:80", Sequence: 1}, 0)
	ask := dissemination.SubscriptionHeartbeat{Router: membership.Router{Address: "10.0.1.2:7000", Zone: "z1", Incarnation: 7}, Subscribe: true}
	now := time.Second
	n.onSession(ask.Router.Address, &ask, now)
	s := n.subscribers[ask.Router.Address]
	require.Equal(t, now, s.sent)
	n.onSession(ask.Router.Address, &ask, now+startEvery)
	require.Equal(t, now, s.sent, "it is on its way")
	n.onSession(ask.Router.Address, &ask, now+resendAfter+time.Millisecond)
	require.Equal(t, now+resendAfter+time.Millisecond, s.sent, "it may have been lost")

	ask.Router.Incarnation = 8
	now += resendAfter + startEvery
	n.onSession(ask.Router.Address, &ask, now)
	require.Equal(t, now, s.sent, "another process knows nothing")
}

// A subscriber that does not get to what it was sent is sent it again more and more rarely, and a long list more rarely than a short
// one: at 630 sidecars slow ones were sent all 6,700 servers over and over, which made them slower.
func TestSlowSubscribersAreSentAllMoreRarely(t *testing.T) {
	sends := func(servers int) (count int) {
		n := newNode(t, "")
		n.self.Member = &v1
		n.view = view(1, v1)
		for i := range servers {
			beat(n.registry, fmt.Sprint("i", i), 1)
		}
		ask := dissemination.SubscriptionHeartbeat{Router: membership.Router{Address: "10.0.1.2:7000", Zone: "z1", Incarnation: 7}, Subscribe: true, HomeIncarnation: n.life}
		last := -time.Hour
		for now := time.Second; now < 11*time.Second; now += sessionEvery {
			n.onSession(ask.Router.Address, &ask, now)
			if sent := n.subscribers[ask.Router.Address].sent; sent != last {
				count, last = count+1, sent
			}
		}
		s := n.subscribers[ask.Router.Address]
		ask.RegistryStamp = n.registry.Stamp()
		n.onSession(ask.Router.Address, &ask, 20*time.Second)
		require.Zero(t, s.resent, "it has it all")
		return count
	}
	require.InDelta(t, 9, sends(10), 2)
	require.InDelta(t, 3, sends(6700), 1)
}

var v1 = member("127.0.0.1:7000", "z1")

// A machine of the core that lost its disk has the whole list of servers as soon as another one's whole list has come, in one
// push or several; the rest of a list that it did not follow from its beginning is not enough.
func TestAMemberWithoutItsDiskTakesTheListOfOthers(t *testing.T) {
	n := newNode(t, "")
	self := v1
	n.self.Member = &self
	before := v1
	before.ID = "the disk that was lost"
	n.view = view(1, before, member("10.0.1.1:7000", "z2"))
	update := func(id string) []registry.Update {
		return []registry.Update{{Instance: registry.Instance{ID: id, Service: "s", Address: id}}}
	}
	n.onPush("10.0.1.1:7000", &dissemination.Push{Incarnation: 1, FromStamp: 3, Stamp: 4, Instances: update("i4"), Complete: true}, 0)
	require.False(t, n.complete)
	n.onPush("10.0.1.1:7000", &dissemination.Push{Incarnation: 1, FromStamp: 0, Stamp: 4, Instances: update("i1")}, 0)
	require.False(t, n.complete, "the sender does not have all yet")
	n.onPush("10.0.1.1:7000", &dissemination.Push{Incarnation: 1, FromStamp: 4, Stamp: 5, Instances: update("i5"), Complete: true}, 0)
	require.True(t, n.complete)
}

// A sidecar that serves nobody yet does not wait long for a home that says nothing.
func TestASilentHomeIsLeftSoonAtTheStart(t *testing.T) {
	n := newNode(t, "")
	n.view = view(1, member("10.0.1.1:7000", "z1"), member("10.0.2.1:7000", "z2"))
	n.reviewHome(0)
	require.Equal(t, "10.0.1.1:7000", n.home.address)
	n.reviewHome(startSilent)
	require.Equal(t, "10.0.1.1:7000", n.home.address)
	n.reviewHome(startSilent + time.Millisecond)
	require.Equal(t, "10.0.2.1:7000", n.home.address)

	n = newNode(t, "")
	n.ready.Store(true)
	n.view = view(1, member("10.0.1.1:7000", "z1"), member("10.0.2.1:7000", "z2"))
	n.reviewHome(0)
	n.reviewHome(startSilent + time.Millisecond)
	require.Equal(t, "10.0.1.1:7000", n.home.address)
}

// A machine of the core that has just started tells the seeds at once who the core is: sidecars without a disk, which may have
// other seeds than before, ask them.
func TestSeedsAreToldAtOnceAfterAStart(t *testing.T) {
	n := newNode(t, "")
	self := v1
	n.self.Member = &self
	n.view = view(1, self, member("10.0.1.1:7000", "z2"))
	n.tickSessions(startEvery)
	require.Equal(t, startEvery, n.every.seeds.last)
	n.tickSessions(2 * startEvery)
	require.Equal(t, 2*startEvery, n.every.seeds.last)
	n.tickSessions(justStarted + startEvery)
	n.tickSessions(justStarted + 2*startEvery)
	require.Equal(t, justStarted+startEvery, n.every.seeds.last)
}

// The answer to a session of a new process goes over a new connection: the one to the process before may not have noticed its end.
func TestANewProcessIsAnsweredOverANewConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	n := newNode(t, "")
	self := v1
	n.self.Member = &self
	n.view = view(1, self)
	ask := dissemination.SubscriptionHeartbeat{Router: membership.Router{Address: listener.Addr().String(), Zone: "z1"}, Subscribe: true}
	for life := range uint64(2) {
		ask.Router.Incarnation = life + 1
		n.onSession(ask.Router.Address, &ask, time.Duration(life)*time.Second)
		require.NoError(t, listener.(*net.TCPListener).SetDeadline(time.Now().Add(10*time.Second)))
		peer, err := listener.Accept()
		require.NoError(t, err, "no connection of its own for life %d", life+1)
		defer peer.Close()
		_, err = peer.Read(make([]byte, 1))
		require.NoError(t, err)
	}
}
