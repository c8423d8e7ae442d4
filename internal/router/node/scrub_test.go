package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/registry"
)

func beat(g *registry.Registry, id string, sequence int64) {
	g.ReceiveHeartbeat(registry.Instance{ID: id, Service: "s", Address: id, Sequence: sequence}, 0)
}

// pushFrom is what a home tells one that has its list up to a stamp.
func pushFrom(home *registry.Registry, stamp uint64, now time.Duration) *dissemination.Push {
	return &dissemination.Push{Incarnation: 1, InTouch: true, Complete: true, FleetSize: 2, FromStamp: stamp, Stamp: home.Stamp(),
		Digest: home.Digest(), Instances: home.UpdatesSince(stamp, now)}
}

// A sidecar that missed the end of a server for so long that its home has forgotten it asks for the whole list, and follows it.
func TestAServerWhoseEndWasMissedIsScrubbed(t *testing.T) {
	n := newNode(t, "")
	n.view = view(1, member("10.0.1.1:7000", "z1"))
	n.reviewHome(0)
	from := n.home.address
	home := registry.New()
	beat(home, "stays", 1)
	n.onPush(from, pushFrom(home, 0, 0), 0)
	n.registry.Adopt(registry.Update{Instance: registry.Instance{ID: "ended", Service: "s", Address: "b"}}, 0)
	n.apply()
	require.Equal(t, map[string]int{"s": 2}, n.gateway.ServerCounts())

	now := 100 * time.Millisecond
	for ; now < scrubAfter; now += sessionEvery {
		n.onPush(from, pushFrom(home, home.Stamp(), now), now)
		require.False(t, n.home.wantsWhole, "a list may differ for a moment")
	}
	n.onPush(from, pushFrom(home, home.Stamp(), 2*scrubAfter), 2*scrubAfter)
	require.True(t, n.home.wantsWhole)
	n.sendSession(from)
	require.False(t, n.home.wantsWhole, "it is asked for once")

	whole := pushFrom(home, 0, 2*scrubAfter)
	whole.FullState = true
	n.onPush(from, whole, 2*scrubAfter)
	n.apply()
	require.Equal(t, map[string]int{"s": 1}, n.gateway.ServerCounts())
	require.Equal(t, home.Digest(), n.registry.Digest())
}

// What is on its way to a sidecar is no difference, and a home that lost touch with the core, or that does not have the whole list
// itself, takes nothing away.
func TestWhenListsAreNotCompared(t *testing.T) {
	for name, spoil := range map[string]func(*dissemination.Push){
		"a push was lost":   func(p *dissemination.Push) { p.FromStamp, p.Stamp = p.Stamp+1, p.Stamp+2 },
		"out of touch":      func(p *dissemination.Push) { p.InTouch = false },
		"not complete":      func(p *dissemination.Push) { p.Complete = false },
		"the digests agree": func(p *dissemination.Push) { p.Digest = 0 },
	} {
		n := newNode(t, "")
		n.view = view(1, member("10.0.1.1:7000", "z1"))
		n.reviewHome(0)
		home := registry.New()
		if name != "the digests agree" {
			beat(home, "i", 1)
		}
		for now := time.Duration(0); now < 3*scrubAfter; now += sessionEvery {
			p := pushFrom(home, home.Stamp(), now)
			spoil(p)
			n.onPush(n.home.address, p, now)
			require.False(t, n.home.wantsWhole, name)
		}
	}
	n := newNode(t, "")
	beat(n.registry, "i", 1)
	n.takeServers("x", &dissemination.Push{Incarnation: 1, FullState: true, Complete: true}, 0)
	require.NotZero(t, n.registry.Digest(), "a home that is out of touch takes nothing away")
}

// A subscriber that asks for the whole list is sent it whatever it was sent before; what comes next is the changes again.
func TestTheWholeListIsSentWhenAsked(t *testing.T) {
	n := newNode(t, "")
	n.self.Member = &v1
	n.view = view(1, v1)
	beat(n.registry, "i1", 1)
	ask := dissemination.SubscriptionHeartbeat{Subscribe: true, HomeIncarnation: n.life, RegistryStamp: n.registry.Stamp()}
	ask.Router.Address = "10.0.1.2:7000"
	n.onSession(ask.Router.Address, &ask, 0)
	s := n.subscribers[ask.Router.Address]
	s.stamp, s.sent = n.registry.Stamp(), 0
	ask.FullState = true
	n.onSession(ask.Router.Address, &ask, time.Millisecond)
	require.Equal(t, time.Millisecond, s.sent)
	require.False(t, s.whole, "it has been sent")
}
