package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/homeselection"
	"petrelhook/internal/router/operatorapi"
	"petrelhook/internal/router/registry"
	"petrelhook/internal/router/replication"
	"petrelhook/internal/router/routetable"
)

// configuredPush returns the push of a home that has a configuration and the complete list of servers.
func configuredPush(t *testing.T, inTouch bool) *dissemination.Push {
	t.Helper()
	config, err := routetable.ParseConfig([]byte(`{"Generation":4,"Routes":[],"Services":[{"Name":"s"}]}`))
	require.NoError(t, err)
	v := dissemination.NewVersions(operatorapi.ApplyOrder)
	require.True(t, v.Commit(3, config, nil))
	p := &dissemination.Push{Incarnation: 1, InTouch: inTouch, Complete: true, FleetSize: 5, Stamp: 1,
		Instances: []registry.Update{{Instance: registry.Instance{ID: "i1", Service: "s", Address: "a"}}}}
	v.FillPush(p, 0)
	return p
}

// A router starts with a home that is partitioned from the core. It selects another home, and becomes ready with the
// configuration and the servers of that one.
func TestAStartBesideAPartitionedHome(t *testing.T) {
	n := newNode(t, "")
	n.control.view = view(1, member("10.0.1.1:7000", "z1"), member("10.0.2.1:7000", "z2"))
	n.reviewHome(0)
	partitioned := n.subscription.home.Current()
	n.receivePush(partitioned, configuredPush(t, false), time.Millisecond)
	n.apply()
	require.NotZero(t, n.Version())
	require.False(t, n.ready.Load(), "the configuration may be outdated")
	n.reviewHome(homeselection.Timeout + time.Millisecond)
	require.NotEqual(t, partitioned, n.subscription.home.Current())
	n.receivePush(n.subscription.home.Current(), configuredPush(t, true), homeselection.Timeout+2*time.Millisecond)
	n.apply()
	require.True(t, n.ready.Load())
}

// If no core member in contact with a majority can be reached for coreSearchTimeout, a router serves with the
// configuration and the servers that it has received.
func TestAStartWithoutAMajorityInContact(t *testing.T) {
	n := newNode(t, "")
	n.control.view = view(1, member("10.0.1.1:7000", "z1"))
	n.receivePush("10.0.1.1:7000", configuredPush(t, false), time.Millisecond)
	n.apply()
	require.False(t, n.ready.Load())
	n.start = n.start.Add(-coreSearchTimeout - time.Millisecond)
	n.apply()
	require.True(t, n.ready.Load())
}

// newIsolatedMember returns a core member that is not the primary and has no contact with the other members.
func newIsolatedMember(t testing.TB) *Node {
	t.Helper()
	n := newNode(t, "")
	self := member("127.0.0.1:7000", "z1")
	n.self.Member = &self
	v := view(2, member("10.0.1.1:7000", "z1"), self, member("10.0.2.1:7000", "z2"))
	v.InSync = []string{self.ID}
	persisted := &replication.PersistedState{ID: self.ID, Hard: replication.HardState{Promised: v.Epoch, Accepted: v}}
	var err error
	n.control.replica, err = replication.New(replication.Options{Self: self}, persisted, n.control.register, 0)
	require.NoError(t, err)
	n.control.view = v
	require.True(t, n.isCoreMember())
	giveDisk(t, n)
	return n
}

// A partitioned core member answers every call with 503: it returns no configuration that could be outdated, and accepts no
// order or server call that it could not pass to a majority.
func TestAPartitionedCoreMemberRejectsCalls(t *testing.T) {
	heartbeat := `{"Service":"s","Address":"10.1.1.1:80","Zone":"z1","Slots":4,"State":"%s","Sequence":3}`
	for _, call := range []struct {
		name, method, path, body string
	}{
		{"replace", http.MethodPost, "/-/config/replace", `{"Generation":7}`},
		{"update", http.MethodPost, "/-/config/update", `{"Generation":7}`},
		{"read", http.MethodGet, "/-/config/read", ""},
		{"heartbeat", http.MethodPost, "/-/instances/i1/heartbeat", strings.Replace(heartbeat, "%s", "ready", 1)},
		{"drain", http.MethodPost, "/-/instances/i1/heartbeat", strings.Replace(heartbeat, "%s", "draining", 1)},
		{"deregister", http.MethodPost, "/-/instances/i1/deregister", ""},
	} {
		t.Run(call.name, func(t *testing.T) {
			n := newIsolatedMember(t)
			r := httptest.NewRequest(call.method, call.path, strings.NewReader(call.body))
			r.Header.Set("X-Base-Version", "0")
			w := httptest.NewRecorder()
			n.controlHandler().ServeHTTP(w, r)
			require.Equal(t, http.StatusServiceUnavailable, w.Code)
			require.Zero(t, n.registry.Len(), "a rejected call is not applied")
		})
	}
}

// Each push of a partitioned core member tells the subscriber that its home has lost contact with the core. The subscriber
// then names no primary to callers.
func TestSubscribersLearnOfAPartition(t *testing.T) {
	n := newIsolatedMember(t)
	require.False(t, n.control.replica.HasContact())
	subscriber := newNode(t, "")
	subscriber.control.view = n.control.view
	subscriber.reviewHome(0)
	subscriber.subscription.home.Observe(true, 0)
	subscriber.receivePush(subscriber.subscription.home.Current(), &dissemination.Push{Incarnation: 1, InTouch: n.control.replica.HasContact(), Stamp: 1}, time.Millisecond)
	require.False(t, subscriber.subscription.home.LastQuorumContact())
	r := httptest.NewRequest(http.MethodGet, "/-/config/read", nil)
	w := httptest.NewRecorder()
	subscriber.controlHandler().ServeHTTP(w, r)
	require.Equal(t, http.StatusServiceUnavailable, w.Code, "it does not redirect to a primary that may have been replaced")
}
