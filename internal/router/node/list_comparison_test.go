package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/registry"
)

// addReadyServer adds a server to a registry by its first heartbeat.
func addReadyServer(g *registry.Registry, id string) {
	g.ReceiveHeartbeat(registry.Instance{ID: id, Service: "s", Address: id, Sequence: 1}, 0)
}

// pushFrom returns the push of a home to a subscriber that has the home's registry up to a stamp.
func pushFrom(home *registry.Registry, stamp uint64, now time.Duration) *dissemination.Push {
	return &dissemination.Push{Incarnation: 1, InTouch: true, Complete: true, FleetSize: 2, FromStamp: stamp, Stamp: home.Stamp(),
		Digest: home.Digest(), Instances: home.UpdatesSince(stamp, now)}
}

// A router misses the deregistration of a server for so long that its home has forgotten the server. The router requests
// the complete list from its home and adopts it.
func TestAServerWhoseEndWasMissedIsRemoved(t *testing.T) {
	n := newNode(t, "")
	n.control.view = view(1, member("10.0.1.1:7000", "z1"))
	n.reviewHome(0)
	from := n.subscription.home.Current()
	home := registry.New()
	addReadyServer(home, "stays")
	n.receivePush(from, pushFrom(home, 0, 0), 0)
	n.registry.Adopt(registry.Update{Instance: registry.Instance{ID: "ended", Service: "s", Address: "b"}}, 0)
	n.apply()
	require.Equal(t, map[string]int{"s": 2}, n.gateway.ServerCounts())

	now := 100 * time.Millisecond
	for ; now < differenceTolerance; now += heartbeatInterval {
		n.receivePush(from, pushFrom(home, home.Stamp(), now), now)
		require.False(t, n.subscription.requestFullState, "a short difference is tolerated")
	}
	n.receivePush(from, pushFrom(home, home.Stamp(), 2*differenceTolerance), 2*differenceTolerance)
	require.True(t, n.subscription.requestFullState)
	n.sendSubscriptionHeartbeat(from)
	require.False(t, n.subscription.requestFullState, "the list is requested once")

	complete := pushFrom(home, 0, 2*differenceTolerance)
	complete.FullState = true
	n.receivePush(from, complete, 2*differenceTolerance)
	n.apply()
	require.Equal(t, map[string]int{"s": 1}, n.gateway.ServerCounts())
	require.Equal(t, home.Digest(), n.registry.Digest())
}

// The lists are not compared while changes are in flight to the router, nor with a home that lacks contact with the core
// or the complete list. Such a home does not make the router remove servers.
func TestWhenListsAreNotCompared(t *testing.T) {
	for name, alter := range map[string]func(*dissemination.Push){
		"a push was lost":   func(p *dissemination.Push) { p.FromStamp, p.Stamp = p.Stamp+1, p.Stamp+2 },
		"out of touch":      func(p *dissemination.Push) { p.InTouch = false },
		"not complete":      func(p *dissemination.Push) { p.Complete = false },
		"the digests agree": func(p *dissemination.Push) { p.Digest = 0 },
	} {
		n := newNode(t, "")
		n.control.view = view(1, member("10.0.1.1:7000", "z1"))
		n.reviewHome(0)
		home := registry.New()
		if name != "the digests agree" {
			addReadyServer(home, "i")
		}
		for now := time.Duration(0); now < 3*differenceTolerance; now += heartbeatInterval {
			p := pushFrom(home, home.Stamp(), now)
			alter(p)
			n.receivePush(n.subscription.home.Current(), p, now)
			require.False(t, n.subscription.requestFullState, name)
		}
	}
	n := newNode(t, "")
	addReadyServer(n.registry, "i")
	n.applyServers("x", &dissemination.Push{Incarnation: 1, FullState: true, Complete: true}, 0)
	require.NotZero(t, n.registry.Digest(), "a home without contact with the core removes nothing")
}

// A subscriber that requests the complete list is sent it, whatever it has received before. Later pushes contain changes
// only.
func TestTheCompleteListIsSentOnRequest(t *testing.T) {
	n := newNode(t, "")
	n.self.Member = &selfMember
	n.control.view = view(1, selfMember)
	addReadyServer(n.registry, "i1")
	heartbeat := dissemination.SubscriptionHeartbeat{Subscribe: true, HomeIncarnation: n.self.Incarnation, RegistryStamp: n.registry.Stamp()}
	heartbeat.Router.Address = "10.0.1.2:7000"
	n.receiveSubscriptionHeartbeat(heartbeat.Router.Address, &heartbeat, 0)
	s := n.distributor.subscribers[heartbeat.Router.Address]
	s.servers.restart(n.registry.Stamp())
	heartbeat.FullState = true
	n.receiveSubscriptionHeartbeat(heartbeat.Router.Address, &heartbeat, time.Millisecond)
	require.Equal(t, time.Millisecond, s.servers.inFlightFrom)
	require.False(t, s.sendFullState, "the request has been met")
}
