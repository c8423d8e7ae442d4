package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/outlier"
	"petrelhook/internal/router/registry"
)

// A core member ejects a server on the combined evidence of its subscribers' reports and the sums of other core members.
// It renews the ejection at its subscribers until the server is deregistered.
func TestACoreMemberEjectsServers(t *testing.T) {
	n := newNode(t, "")
	n.self.Member = &selfMember
	peer := member("10.0.2.1:7000", "z2")
	n.control.view = view(1, selfMember, peer)
	for _, id := range []string{"i1", "i2", "i3"} {
		n.registry.ReceiveHeartbeat(registry.Instance{ID: id, Service: "s", Address: id, Sequence: 1}, 0)
	}
	n.apply()
	report := dissemination.OutcomeReport{Report: outlier.Report{Servers: []string{"i1", "i2"}, Sent: []uint16{4, 4}, Failed: []uint16{2, 0}}}
	now := time.Second
	n.receiveOutcomeReport("10.0.1.2:7000", report, now)
	n.judgeServers(now)
	require.Empty(t, n.outliers.ejected, "one reporter is not enough")
	sums := dissemination.OutcomeSums{Sums: []outlier.Sum{{Server: "i1", All: outlier.Count{Sent: 5, Failed: 4}, Worst: outlier.Count{Sent: 2, Failed: 2}}}}
	n.receiveOutcomeSums("10.9.9.9:7000", sums, now)
	n.judgeServers(now)
	require.Empty(t, n.outliers.ejected, "the sender is not a core member")
	n.receiveOutcomeSums(peer.Address, sums, now)
	n.judgeServers(now)
	require.Len(t, n.outliers.ejected, 1)
	require.Equal(t, "i1", n.outliers.ejected[0].Server)

	notified := n.outliers.lastNotified
	n.judgeServers(now + judgementInterval)
	require.Equal(t, notified, n.outliers.lastNotified, "the ejection was sent recently")
	n.judgeServers(now + ejectionsRenewal)
	require.Equal(t, now+ejectionsRenewal, n.outliers.lastNotified)

	n.registry.ReceiveHeartbeat(registry.Instance{ID: "i1", Service: "s", Address: "i1", State: registry.Deregistered, Sequence: 2}, now)
	n.judgeServers(now + ejectionsRenewal + judgementInterval)
	require.Empty(t, n.outliers.ejected)
	require.Equal(t, now+ejectionsRenewal+judgementInterval, n.outliers.lastNotified, "the end of an ejection is sent too")
}

// An operator can readmit a server at any core member. Invalid calls are rejected with a fitting status, and a core member
// accepts readmissions from other core members only.
func TestAnOperatorReadmitsAServer(t *testing.T) {
	n := newNode(t, "")
	post := func(path string) int {
		w := httptest.NewRecorder()
		n.controlHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, nil))
		return w.Code
	}
	require.Equal(t, http.StatusServiceUnavailable, post("/-/servers/i1/admit?for=1m"), "not a core member")
	n.self.Member = &selfMember
	peer := member("10.0.2.1:7000", "z2")
	n.control.view = view(1, selfMember, peer)
	require.Equal(t, http.StatusNotFound, post("/-/servers/i1/admit?for=1m"))
	n.registry.ReceiveHeartbeat(registry.Instance{ID: "i1", Service: "s", Address: "i1", Sequence: 1}, 0)
	for _, bad := range []string{"", "?for=x", "?for=-1s", "?for=25h"} {
		require.Equal(t, http.StatusBadRequest, post("/-/servers/i1/admit"+bad))
	}
	require.Equal(t, http.StatusOK, post("/-/servers/i1/admit?for=1m"))
	require.InDelta(t, time.Minute, n.Status().Findings[0].AdmissionRemaining, float64(5*time.Second))

	n.registry.ReceiveHeartbeat(registry.Instance{ID: "i2", Service: "s", Address: "i2", Sequence: 1}, 0)
	n.receiveReadmit("10.9.9.9:7000", dissemination.Readmit{Server: "i2", For: time.Minute}, n.now())
	require.Len(t, n.Status().Findings, 1, "the sender is not a core member")
	n.receiveReadmit(peer.Address, dissemination.Readmit{Server: "i2", For: time.Minute}, n.now())
	require.Len(t, n.Status().Findings, 2)
}
