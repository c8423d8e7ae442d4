package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/operatorapi"
	"petrelhook/internal/router/registry"
	"petrelhook/internal/router/replication"
	"petrelhook/internal/router/routetable"
)

// configured is a push of a home that has a configuration and a whole list of servers.
func configured(t *testing.T, touch bool) *dissemination.Push {
	config, err := routetable.ParseConfig([]byte(`{"Generation":4,"Routes":[],"Services":[{"Name":"s"}]}`))
	require.NoError(t, err)
	v := dissemination.NewVersions(operatorapi.ApplyOrder)
	require.True(t, v.Commit(3, config, nil))
	p := &dissemination.Push{Incarnation: 1, InTouch: touch, Complete: true, FleetSize: 5, Stamp: 1,
		Instances: []registry.Update{{Instance: registry.Instance{ID: "i1", Service: "s", Address: "a"}}}}
	v.FillPush(p, 0)
	return p
}

// A sidecar that starts beside a home that is cut off looks for another one, and is ready with what that one has.
func TestAStartBesideAHomeThatIsCutOff(t *testing.T) {
	n := newNode(t, "")
	n.view = view(1, member("10.0.1.1:7000", "z1"), member("10.0.2.1:7000", "z2"))
	n.reviewHome(0)
	cut := n.home.address
	n.onPush(cut, configured(t, false), time.Millisecond)
	n.apply()
	require.NotZero(t, n.Version())
	require.False(t, n.ready.Load(), "it may be old")
	n.reviewHome(homeSilent + time.Millisecond)
	require.NotEqual(t, cut, n.home.address)
	n.onPush(n.home.address, configured(t, true), homeSilent+2*time.Millisecond)
	n.apply()
	require.True(t, n.ready.Load())
}

// Where nobody in touch with the core can be reached it serves with what there is.
func TestAStartWithNobodyInTouch(t *testing.T) {
	n := newNode(t, "")
	n.view = view(1, member("10.0.1.1:7000", "z1"))
	n.onPush("10.0.1.1:7000", configured(t, false), time.Millisecond)
	n.apply()
	require.False(t, n.ready.Load())
	n.start = n.start.Add(-startAlone - time.Millisecond)
	n.apply()
	require.True(t, n.ready.Load())
}

// memberOutOfTouch is a node of the core that hears no primary and is none.
func memberOutOfTouch(t *testing.T) *Node {
	n := newNode(t, "")
	self := member("127.0.0.1:7000", "z1")
	n.self.Member = &self
	v := view(2, member("10.0.1.1:7000", "z1"), self, member("10.0.2.1:7000", "z2"))
	v.InSync = []string{self.ID}
	kept := &replication.PersistedState{ID: self.ID, Hard: replication.HardState{Promised: v.Epoch, Accepted: v}}
	var err error
	n.replica, err = replication.New(replication.Options{Self: self}, kept, n.register, 0)
	require.NoError(t, err)
	n.view = v
	require.True(t, n.core())
	return n
}

// What a control sidecar that is cut off says to each caller: nothing that could be old, and nothing that promises.
func TestAControlSidecarThatIsCutOff(t *testing.T) {
	beat := `{"Service":"s","Address":"10.1.1.1:80","Zone":"z1","Slots":4,"State":"%s","Sequence":3}`
	for _, one := range []struct {
		name, method, path, body string
	}{
		{"an order", http.MethodPost, "/-/config/replace", `{"Generation":7}`},
		{"an update", http.MethodPost, "/-/config/update", `{"Generation":7}`},
		{"a read", http.MethodGet, "/-/config/read", ""},
		{"a heartbeat", http.MethodPost, "/-/instances/i1/heartbeat", strings.Replace(beat, "%s", "ready", 1)},
		{"a drain", http.MethodPost, "/-/instances/i1/heartbeat", strings.Replace(beat, "%s", "draining", 1)},
		{"an end", http.MethodPost, "/-/instances/i1/deregister", ""},
	} {
		t.Run(one.name, func(t *testing.T) {
			n := memberOutOfTouch(t)
			r := httptest.NewRequest(one.method, one.path, strings.NewReader(one.body))
			r.Header.Set("X-Base-Version", "0")
			w := httptest.NewRecorder()
			n.controlHandler().ServeHTTP(w, r)
			require.Equal(t, http.StatusServiceUnavailable, w.Code)
			require.Zero(t, n.registry.Len(), "what it refused it does not know")
		})
	}
}

// A subscriber of a control sidecar that is cut off is told so with all that it is sent.
func TestSubscribersAreToldOfACut(t *testing.T) {
	n := memberOutOfTouch(t)
	require.False(t, n.replica.InTouch())
	subscriber := newNode(t, "")
	subscriber.view = n.view
	subscriber.reviewHome(0)
	subscriber.home.touch = true
	subscriber.onPush(subscriber.home.address, &dissemination.Push{Incarnation: 1, InTouch: n.replica.InTouch(), Stamp: 1}, time.Millisecond)
	require.False(t, subscriber.home.touch)
	r := httptest.NewRequest(http.MethodGet, "/-/config/read", nil)
	w := httptest.NewRecorder()
	subscriber.controlHandler().ServeHTTP(w, r)
	require.Equal(t, http.StatusServiceUnavailable, w.Code, "it sends nobody to a primary that may be none")
}
