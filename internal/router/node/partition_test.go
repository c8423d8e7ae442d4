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

// configured is a push of a home that has a configuration and the complete list of servers.
func configured(t *testing.T, inTouch bool) *dissemination.Push {
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

// A router that starts beside a home that is partitioned from the core selects another one, and is ready with what that
// one has.
func TestAStartBesideAPartitionedHome(t *testing.T) {
	n := newNode(t, "")
	n.control.view = view(1, member("10.0.1.1:7000", "z1"), member("10.0.2.1:7000", "z2"))
	n.reviewHome(0)
	cut := n.subscription.home.Current()
	n.receivePush(cut, configured(t, false), time.Millisecond)
	n.apply()
	require.NotZero(t, n.Version())
	require.False(t, n.ready.Load(), "the configuration may be old")
	n.reviewHome(homeselection.Timeout + time.Millisecond)
	require.NotEqual(t, cut, n.subscription.home.Current())
	n.receivePush(n.subscription.home.Current(), configured(t, true), homeselection.Timeout+2*time.Millisecond)
	n.apply()
	require.True(t, n.ready.Load())
}

// Where no core member in contact with a majority can be reached, a router serves with what there is.
func TestAStartWithoutAMajorityInContact(t *testing.T) {
	n := newNode(t, "")
	n.control.view = view(1, member("10.0.1.1:7000", "z1"))
	n.receivePush("10.0.1.1:7000", configured(t, false), time.Millisecond)
	n.apply()
	require.False(t, n.ready.Load())
	n.start = n.start.Add(-coreSearchTimeout - time.Millisecond)
	n.apply()
	require.True(t, n.ready.Load())
}

// memberOutOfTouch is a core member that has no contact with a primary and is none.
func memberOutOfTouch(t *testing.T) *Node {
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
	return n
}

// A core member that is partitioned answers each caller 503: nothing that could be old, and nothing that promises.
func TestAPartitionedCoreMemberRejectsCalls(t *testing.T) {
	heartbeat := `{"Service":"s","Address":"10.1.1.1:80","Zone":"z1","Slots":4,"State":"%s","Sequence":3}`
	for _, one := range []struct {
		name, method, path, body string
	}{
		{"an order", http.MethodPost, "/-/config/replace", `{"Generation":7}`},
		{"an update", http.MethodPost, "/-/config/update", `{"Generation":7}`},
		{"a read", http.MethodGet, "/-/config/read", ""},
		{"a heartbeat", http.MethodPost, "/-/instances/i1/heartbeat", strings.Replace(heartbeat, "%s", "ready", 1)},
		{"a drain", http.MethodPost, "/-/instances/i1/heartbeat", strings.Replace(heartbeat, "%s", "draining", 1)},
		{"an end", http.MethodPost, "/-/instances/i1/deregister", ""},
	} {
		t.Run(one.name, func(t *testing.T) {
			n := memberOutOfTouch(t)
			r := httptest.NewRequest(one.method, one.path, strings.NewReader(one.body))
			r.Header.Set("X-Base-Version", "0")
			w := httptest.NewRecorder()
			n.controlHandler().ServeHTTP(w, r)
			require.Equal(t, http.StatusServiceUnavailable, w.Code)
			require.Zero(t, n.registry.Len(), "what it rejected is not applied")
		})
	}
}

// A subscriber of a core member that is partitioned learns so from every push.
func TestSubscribersLearnOfAPartition(t *testing.T) {
	n := memberOutOfTouch(t)
	require.False(t, n.control.replica.InTouch())
	subscriber := newNode(t, "")
	subscriber.control.view = n.control.view
	subscriber.reviewHome(0)
	subscriber.subscription.home.Observe(true, 0)
	subscriber.receivePush(subscriber.subscription.home.Current(), &dissemination.Push{Incarnation: 1, InTouch: n.control.replica.InTouch(), Stamp: 1}, time.Millisecond)
	require.False(t, subscriber.subscription.home.LastInTouch())
	r := httptest.NewRequest(http.MethodGet, "/-/config/read", nil)
	w := httptest.NewRecorder()
	subscriber.controlHandler().ServeHTTP(w, r)
	require.Equal(t, http.StatusServiceUnavailable, w.Code, "it redirects nobody to a primary that may be none")
}
