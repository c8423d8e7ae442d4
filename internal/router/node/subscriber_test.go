package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/membership"
	"petrelhook/internal/router/proximity"
	"petrelhook/internal/router/registry"
	"petrelhook/internal/router/routetable"
)

// sessionPair is a core member and one subscriber, with the messages between them under the control of a test.
type sessionPair struct {
	t          *testing.T
	servers    *registry.Registry      // of the core member
	versions   *dissemination.Versions // of the core member
	subscriber *subscriber             // the core member's view of the other end
	received   subscription            // at the other end
}

// Of the members of a sessionPair.
const (
	homeAddress     = "10.0.1.1:7000"
	homeIncarnation = 1
)

func newSessionPair(t *testing.T) *sessionPair {
	t.Helper()
	keep := func(base *routetable.Config, _ []byte) (*routetable.Config, error) { return base, nil }
	p := &sessionPair{t: t, servers: registry.New(), versions: dissemination.NewVersions(keep), subscriber: newSubscriber("10.0.1.2:7000"),
		received: newSubscription("10.0.1.2:7000", proximity.Locality{})}
	p.received.versions = dissemination.NewVersions(keep)
	p.changeServers()
	p.changeConfiguration()
	return p
}

// changeServers makes a change that the subscriber has to know of.
func (p *sessionPair) changeServers() {
	sequence := int64(p.servers.Stamp())
	p.servers.ReceiveHeartbeat(registry.Instance{ID: "i1", Service: "s", Address: "a", Slots: int(sequence), Sequence: sequence + 1}, 0)
}

// changeConfiguration commits an order.
func (p *sessionPair) changeConfiguration() {
	p.t.Helper()
	config, err := routetable.ParseConfig([]byte(`{"Generation":1,"Routes":[],"Services":[{"Name":"s"}]}`))
	require.NoError(p.t, err)
	require.True(p.t, p.versions.Commit(p.versions.Version()+1, config, [][]byte{[]byte("order")}))
}

// push returns what the core member sends at a time.
func (p *sessionPair) push(now time.Duration) dissemination.Push {
	m := dissemination.Push{Incarnation: homeIncarnation, Stamp: p.servers.Stamp()}
	p.subscriber.fillServers(&m, p.servers, now)
	p.subscriber.fillVersion(&m, p.versions, now)
	return m
}

// receive delivers a push.
func (p *sessionPair) receive(m dissemination.Push) {
	p.received.advance(homeAddress, &m)
	_, _ = p.received.versions.ApplyPush(&m) // fails as long as an earlier version is missing
}

// heartbeat delivers the subscriber's next heartbeat.
func (p *sessionPair) heartbeat(now time.Duration) {
	position := p.received.positions[homeAddress]
	p.subscriber.receiveHeartbeat(&dissemination.SubscriptionHeartbeat{Router: membership.Router{Incarnation: 7}, Version: p.received.versions.Version(),
		HomeIncarnation: position.incarnation, RegistryStamp: position.stamp}, homeIncarnation, now)
}

// Guards against a router that does not hear of an ended server, or of a configuration, for as long as other changes go on: each
// later push counted as a reason to wait for an acknowledgement of the lost one.
func TestALostPushIsSentAgainBesideOtherChanges(t *testing.T) {
	const changeInterval = 50 * time.Millisecond
	for name, change := range map[string]func(*sessionPair){"servers": (*sessionPair).changeServers, "configuration": (*sessionPair).changeConfiguration} {
		t.Run(name, func(t *testing.T) {
			p := newSessionPair(t)
			p.heartbeat(0)
			p.push(0) // is lost
			now := time.Duration(0)
			for ; now <= resendDelay+heartbeatInterval; now += changeInterval {
				if now%heartbeatInterval == 0 {
					p.heartbeat(now)
				}
				change(p)
				p.receive(p.push(now))
			}
			p.heartbeat(now)
			require.NotZero(t, p.received.stamp(homeAddress, homeIncarnation), "servers")
			require.NotZero(t, p.received.versions.Version(), "configuration")
		})
	}
}

// Guards against sending a long list again to a subscriber that is still applying it, because a short push followed it.
func TestAShortPushDoesNotHurryALongList(t *testing.T) {
	const servers = 6700
	p := newSessionPair(t)
	for i := range servers {
		addReadyServer(p.servers, fmt.Sprint("many-", i))
	}
	countSent := func(now time.Duration) int { return len(p.push(now).Instances) }
	p.heartbeat(0)
	long := p.push(0)
	require.Greater(t, len(long.Instances), servers)
	p.changeServers()
	short := p.push(resendDelay / 2)
	require.Len(t, short.Instances, 1)
	now := resendDelay
	for ; now < servers*resendDelayPerServer; now += heartbeatInterval {
		p.heartbeat(now)
		require.Zero(t, countSent(now), "at %v", now)
	}
	p.heartbeat(now)
	require.Greater(t, countSent(now), servers, "it may have been lost")

	p.receive(long)
	p.receive(short)
	p.heartbeat(now)
	p.changeServers()
	p.push(now) // is lost
	now += resendDelay + time.Millisecond
	p.heartbeat(now)
	require.Equal(t, 1, countSent(now), "a lost short push is not waited for as long as a list")
}

// Guards against sending everything over and over to a subscriber that acknowledges each push only after the next change.
func TestChangesInFlightAreSentOnce(t *testing.T) {
	p := newSessionPair(t)
	p.heartbeat(0)
	p.receive(p.push(0))
	sent := 0
	for now := heartbeatInterval; now < 20*heartbeatInterval; now += heartbeatInterval {
		p.changeServers()
		p.changeConfiguration()
		m := p.push(now)
		p.heartbeat(now + time.Millisecond) // it crosses the push
		again := p.push(now + 2*time.Millisecond)
		sent += len(m.Instances) + len(again.Instances)
		require.Empty(t, again.Orders)
		p.receive(m)
		p.receive(again)
	}
	require.Equal(t, 19, sent)
}
