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

// A control sidecar ejects the server that its subscribers and its peers tell of, whoever of them saw more, and tells it until it ends.
func TestAControlSidecarJudges(t *testing.T) {
	n := newNode(t, "")
	n.self.Member = &v1
	peer := member("10.0.2.1:7000", "z2")
	n.view = view(1, v1, peer)
	for _, id := range []string{"i1", "i2", "i3"} {
		n.registry.ReceiveHeartbeat(registry.Instance{ID: id, Service: "s", Address: id, Sequence: 1}, 0)
	}
	n.apply()
	report := dissemination.OutcomeReport{Report: outlier.Report{Servers: []string{"i1", "i2"}, Sent: []uint16{4, 4}, Failed: []uint16{2, 0}}}
	now := time.Second
	n.onOutcomes("10.0.1.2:7000", report, now)
	n.judge(now)
	require.Empty(t, n.outliers.ejected, "one teller is not enough")
	stranger := dissemination.OutcomeSums{Sums: []outlier.Sum{{Server: "i1", All: outlier.Count{Sent: 5, Failed: 4}, Worst: outlier.Count{Sent: 2, Failed: 2}}}}
	n.onOutcomeSums("10.9.9.9:7000", stranger, now)
	n.judge(now)
	require.Empty(t, n.outliers.ejected, "one that is no member")
	n.onOutcomeSums(peer.Address, stranger, now)
	n.judge(now)
	require.Len(t, n.outliers.ejected, 1)
	require.Equal(t, "i1", n.outliers.ejected[0].Server)

	told := n.outliers.told
	n.judge(now + judgeEvery)
	require.Equal(t, told, n.outliers.told, "subscribers know")
	n.judge(now + ejectionsRenew)
	require.Equal(t, now+ejectionsRenew, n.outliers.told)

	n.registry.ReceiveHeartbeat(registry.Instance{ID: "i1", Service: "s", Address: "i1", State: registry.Deregistered, Sequence: 2}, now)
	n.judge(now + ejectionsRenew + judgeEvery)
	require.Empty(t, n.outliers.ejected)
	require.Equal(t, now+ejectionsRenew+judgeEvery, n.outliers.told, "that it has ended is told too")
}

// An operator's word that a server serves is taken at any machine of the core, and told to the others; what is wrong with a call is said.
func TestAnOperatorAdmitsAServer(t *testing.T) {
	n := newNode(t, "")
	post := func(path string) int {
		w := httptest.NewRecorder()
		n.controlHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, nil))
		return w.Code
	}
	require.Equal(t, http.StatusServiceUnavailable, post("/-/servers/i1/admit?for=1m"), "no machine of the core")
	n.self.Member = &v1
	peer := member("10.0.2.1:7000", "z2")
	n.view = view(1, v1, peer)
	require.Equal(t, http.StatusNotFound, post("/-/servers/i1/admit?for=1m"))
	n.registry.ReceiveHeartbeat(registry.Instance{ID: "i1", Service: "s", Address: "i1", Sequence: 1}, 0)
	for _, bad := range []string{"", "?for=x", "?for=-1s", "?for=25h"} {
		require.Equal(t, http.StatusBadRequest, post("/-/servers/i1/admit"+bad))
	}
	require.Equal(t, http.StatusOK, post("/-/servers/i1/admit?for=1m"))
	require.InDelta(t, time.Minute, n.Status().Doubted[0].Admitted, float64(5*time.Second))

	n.registry.ReceiveHeartbeat(registry.Instance{ID: "i2", Service: "s", Address: "i2", Sequence: 1}, 0)
	n.onAdmit("10.9.9.9:7000", dissemination.Readmit{Server: "i2", For: time.Minute}, n.now())
	require.Len(t, n.Status().Doubted, 1, "one that is no member")
	n.onAdmit(peer.Address, dissemination.Readmit{Server: "i2", For: time.Minute}, n.now())
	require.Len(t, n.Status().Doubted, 2)
}
