package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/registry"
)

// receiveFirstHeartbeat adds a ready server to a registry.
func receiveFirstHeartbeat(g *registry.Registry, id string) {
	g.ReceiveHeartbeat(registry.Instance{ID: id, Service: "s", Address: id, Sequence: 1}, 0)
}

// pushFrom is what a home pushes to a subscriber that has its registry up to a stamp.
func pushFrom(home *registry.Registry, stamp uint64, now time.Duration) *dissemination.Push {
	return &dissemination.Push{Incarnation: 1, InTouch: true, Complete: true, FleetSize: 2, FromStamp: stamp, Stamp: home.Stamp(),
		Digest: home.Digest(), Instances: home.UpdatesSince(stamp, now)}
}

// A router that missed the end of a server for so long that its home has forgotten it requests the complete list, and
// adopts it.
func TestAServerWhoseEndWasMissedIsRemoved(t *testing.T) {
	n := newNode(t, "")
	n.control.view = view(1, member("10.0.1.1:7000", "z1"))
	n.reviewHome(0)
	from := n.subscription.home.Current()
	home := registry.New()
	receiveFirstHeartbeat(home, "stays")
	n.receivePush(from, pushFrom(home, 0, 0), 0)
	n.registry.Adopt(registry.Update{Instance: registry.Instance{ID: "ended", Service: "s", Address: "b"}}, 0)
	n.apply()
	require.Equal(t, map[string]int{"s": 2}, n.gateway.ServerCounts())

	now := 100 * time.Millisecond
	for ; now < differenceTolerance; now += heartbeatInterval {
		n.receivePush(from, pushFrom(home, home.Stamp(), now), now)
		require.False(t, n.subscription.requestFullState, "lists may differ for a moment")
	}
	n.receivePush(from, pushFrom(home, home.Stamp(), 2*differenceTolerance), 2*differenceTolerance)
	require.True(t, n.subscription.requestFullState)
	n.sendSubscriptionHeartbeat(from)
	require.False(t, n.subscription.requestFullState, "it is requested once")

	complete := pushFrom(home, 0, 2*differenceTolerance)
	complete.FullState = true
	n.receivePush(from, complete, 2*differenceTolerance)
	n.apply()
	require.Equal(t, map[string]int{"s": 1}, n.gateway.ServerCounts())
	require.Equal(t, home.Digest(), n.registry.Digest())
}

// What is in flight to a router is no difference, and a home that lost contact with the core, or that does not have the
// complete list itself, removes nothing.
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
			receiveFirstHeartbeat(home, "i")
		}
		for now := time.Duration(0); now < 3*differenceTolerance; now += heartbeatInterval {
			p := pushFrom(home, home.Stamp(), now)
			alter(p)
			n.receivePush(n.subscription.home.Current(), p, now)
			require.False(t, n.subscription.requestFullState, name)
		}
	}
	n := newNode(t, "")
	receiveFirstHeartbeat(n.registry, "i")
	n.applyServers("x", &dissemination.Push{Incarnation: 1, FullState: true, Complete: true}, 0)
	require.NotZero(t, n.registry.Digest(), "a home without contact with the core removes nothing")
}

// A subscriber that requests the complete list is sent it whatever it was sent before; the next pushes have changes
// alone again.
func TestTheCompleteListIsSentOnRequest(t *testing.T) {
	n := newNode(t, "")
	n.self.Member = &v1
	n.control.view = view(1, v1)
	receiveFirstHeartbeat(n.registry, "i1")
	heartbeat := dissemination.SubscriptionHeartbeat{Subscribe: true, HomeIncarnation: n.self.Incarnation, RegistryStamp: n.registry.Stamp()}
	heartbeat.Router.Address = "10.0.1.2:7000"
	n.receiveSubscriptionHeartbeat(heartbeat.Router.Address, &heartbeat, 0)
	s := n.distributor.subscribers[heartbeat.Router.Address]
	s.registryStamp, s.lastSent = n.registry.Stamp(), 0
	heartbeat.FullState = true
	n.receiveSubscriptionHeartbeat(heartbeat.Router.Address, &heartbeat, time.Millisecond)
	require.Equal(t, time.Millisecond, s.lastSent)
	require.False(t, s.sendFullState, "it has been sent")
}
