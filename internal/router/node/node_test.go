package node

import (
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"petrelhook/internal/rig/process"
	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/homeselection"
	"petrelhook/internal/router/operatorapi"
	"petrelhook/internal/router/registry"
	"petrelhook/internal/router/replication"
	"petrelhook/internal/router/routetable"
	"petrelhook/internal/router/settings"
)

const settingsText = `NodeName = "edge-1"
Ip = "127.0.0.1"
Zone = "z1"
Region = "r1"
InternalPortRange = [7000, 7001]
Seeds = ["127.0.0.2:80"]
HeartbeatMs = 1000
[Zones]
z1 = "r1"
z2 = "r1"
z3 = "r2"
[Listen]
Control = "127.0.0.1:80"
`

// newNode returns a router with settings for the test and a diskless replica. Nothing is started.
func newNode(t testing.TB, extraSettings string) *Node {
	t.Helper()
	s, err := settings.Parse([]byte(extraSettings + settingsText))
	require.NoError(t, err)
	n := New(s, &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}})
	t.Cleanup(n.transport.Close)
	n.control.replica, err = replication.New(replication.Options{Self: replication.Member{ID: "self", Address: n.self.Address}, Diskless: true}, nil, n.control.register, 0)
	require.NoError(t, err)
	return n
}

// giveDisk gives a router an empty disk for tombstones.
func giveDisk(t testing.TB, n *Node) {
	t.Helper()
	n.settings.DataDir = process.DataDir(t)
	require.NoError(t, n.openTombstones())
	t.Cleanup(n.tombstones.writers.Wait)
}

// startDurableDrain starts a drain at a core member and waits until the member's own disk has it.
func startDurableDrain(n *Node, instance registry.Instance, now time.Duration) *pendingDrain {
	n.mutex.Lock()
	d := n.startDrain("", 0, instance, now)
	n.mutex.Unlock()
	n.tombstones.writers.Wait()
	return d
}

// member returns a core member whose ID is made of its address.
func member(address, zone string) replication.Member {
	return replication.Member{ID: address + "/id", Address: address, Zone: zone}
}

// view returns a view whose primary is the first of its members.
func view(round uint64, members ...replication.Member) replication.View {
	return replication.View{Epoch: replication.Epoch{Round: round, Node: "x"}, Primary: members[0].ID, Members: members, Old: members}
}

// A router replaces a home that has had no contact with a majority for longer than homeselection.Timeout.
func TestAHomeThatLostTheCoreIsReplaced(t *testing.T) {
	n := newNode(t, "")
	n.control.view = view(1, member("10.0.1.1:7000", "z1"), member("10.0.2.1:7000", "z2"))
	n.reviewHome(0)
	first := n.subscription.home.Current()
	require.Equal(t, "10.0.1.1:7000", first)
	now := homeselection.Timeout / 2
	n.receivePush(first, &dissemination.Push{Incarnation: 1, InTouch: false, Stamp: 1}, now)
	n.reviewHome(now)
	require.Equal(t, first, n.subscription.home.Current(), "the timeout has not passed")
	now = homeselection.Timeout + time.Millisecond
	n.receivePush(first, &dissemination.Push{Incarnation: 1, InTouch: false, Stamp: 1}, now)
	n.reviewHome(now)
	require.NotEqual(t, first, n.subscription.home.Current())
}

// A home that has restarted knows less than this router. The router keeps its servers, and its configuration does not go
// back to an older version.
func TestAnEmptyHomeRemovesNothing(t *testing.T) {
	n := newNode(t, "")
	n.control.view = view(1, member("10.0.1.1:7000", "z1"))
	n.reviewHome(0)
	config, err := routetable.ParseConfig([]byte(`{"Generation":4,"Routes":[],"Services":[{"Name":"s"}]}`))
	require.NoError(t, err)
	v := dissemination.NewVersions(operatorapi.ApplyOrder)
	require.True(t, v.Commit(3, config, nil))
	p := dissemination.Push{Incarnation: 1, InTouch: true, Complete: true, FleetSize: 5, Stamp: 1,
		Instances: []registry.Update{{Instance: registry.Instance{ID: "i1", Service: "s", Address: "a"}}}}
	v.FillPush(&p, 0)
	n.receivePush("10.0.1.1:7000", &p, time.Millisecond)
	n.apply()
	require.True(t, n.ready.Load())
	n.receivePush("10.0.1.1:7000", &dissemination.Push{Incarnation: 2, InTouch: true, Stamp: 0, Version: 2, SessionsStamp: 1}, time.Second)
	n.apply()
	require.Equal(t, uint64(3), n.Version())
	require.Equal(t, map[string]int{"s": 1}, n.gateway.ServerCounts())
}

// After a restart the servers are loaded from the disk, without those that were lost, and in the order of their last
// contacts.
func TestServersOnTheDisk(t *testing.T) {
	folder := t.TempDir()
	core := "CountsForQuorum = true\nDataDir = \"" + folder + "\"\n"
	n := newNode(t, core)
	n.registry.ReceiveHeartbeat(registry.Instance{ID: "dead", Service: "s", Address: "a"}, 0)
	n.registry.ReceiveHeartbeat(registry.Instance{ID: "new", Service: "s", Address: "a"}, time.Second)
	n.registry.ReceiveHeartbeat(registry.Instance{ID: "other", Service: "s", Address: "b"}, time.Second)
	n.storeServers(2 * time.Second)
	n.serversCache.writers.Wait()
	restarted := newNode(t, core)
	restarted.loadServers()
	var ids []string
	for _, e := range restarted.registry.ChangedSince(0) {
		if e.Usable() {
			ids = append(ids, e.ID)
		}
	}
	require.ElementsMatch(t, []string{"new", "other"}, ids)
	require.True(t, restarted.serversCache.loaded)
}

// Guards against review/7: after a restart a delayed heartbeat revived a server whose drain or end had been acknowledged,
// because the servers that had ended were not loaded from the disk.
func TestADelayedHeartbeatRevivesNoServerAfterARestart(t *testing.T) {
	core := "CountsForQuorum = true\nDataDir = \"" + t.TempDir() + "\"\n"
	n := newNode(t, core)
	server := func(id string, state registry.State, sequence int64) registry.Instance {
		return registry.Instance{ID: id, Service: "s", Address: "address of " + id, State: state, Sequence: sequence}
	}
	ids := []string{"deregistered", "draining", "draining-and-lost"}
	for _, id := range ids {
		n.registry.ReceiveHeartbeat(server(id, registry.Ready, 3), 0)
	}
	n.registry.ReceiveHeartbeat(server("draining-and-lost", registry.Draining, 5), 0)
	n.registry.ReceiveHeartbeat(server("draining", registry.Draining, 5), 10*time.Second)
	n.registry.ReceiveHeartbeat(server("deregistered", registry.Deregistered, 5), 10*time.Second)
	n.registry.Expire(5*time.Second, 10*time.Second)
	n.storeServers(10 * time.Second)
	n.serversCache.writers.Wait()

	restarted := newNode(t, core)
	restarted.loadServers()
	for _, id := range ids {
		restarted.registry.ReceiveHeartbeat(server(id, registry.Ready, 4), time.Second)
	}
	restarted.registry.Expire(5*time.Second, time.Second)
	for _, id := range ids {
		require.False(t, restarted.registry.Entry(id).Usable(), id)
	}
	require.False(t, restarted.serversCache.loaded, "no server is running")
	successor := server("successor", registry.Ready, 1)
	successor.Address = "address of deregistered"
	restarted.registry.ReceiveHeartbeat(successor, time.Second)
	restarted.registry.Expire(5*time.Second, time.Second)
	require.True(t, restarted.registry.Entry("successor").Usable(), "its address is free")
}

// A drain is acknowledged only once a majority of the core has it on disk.
func TestADrainNeedsAMajority(t *testing.T) {
	n := newNode(t, "")
	giveDisk(t, n)
	self := replication.Member{ID: "self", Address: n.self.Address, Zone: "z1"}
	n.self.Member = &self
	n.control.view = view(1, self, member("10.0.1.1:7000", "z1"), member("10.0.2.1:7000", "z2"))
	d := startDurableDrain(n, registry.Instance{ID: "i1", Service: "s", State: registry.Draining, Sequence: 2}, 0)
	select {
	case <-d.done:
		require.Fail(t, "acknowledged with one member of three")
	default:
	}
	n.receiveDrainAck("10.9.9.9:7000", dissemination.DrainAck{Request: n.lastRequest})
	select {
	case <-d.done:
		require.Fail(t, "counted a router that is not a member")
	default:
	}
	n.receiveDrainAck("10.0.2.1:7000", dissemination.DrainAck{Request: n.lastRequest})
	<-d.done
}
