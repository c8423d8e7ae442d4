package node

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/registry"
)

// Operators' programs parse the status, so its field names must not change: each field of a recorded status is decoded and
// encoded again under the same name.
func TestStatusFieldsKeepTheirNames(t *testing.T) {
	for _, path := range []string{"testdata/cfdfdec/status.json", "testdata/50f73710/status.json", "testdata/ff265b38/status.json"} {
		recorded, err := os.ReadFile(path)
		require.NoError(t, err)
		decoder := json.NewDecoder(bytes.NewReader(recorded))
		decoder.DisallowUnknownFields()
		var status Status
		require.NoError(t, decoder.Decode(&status))
		written, err := json.Marshal(status)
		require.NoError(t, err)
		require.Equal(t, strings.TrimSpace(string(recorded)), string(written), path)
	}
}

// Servers send heartbeats as JSON, so the field names of the body must not change.
func TestHeartbeatFieldsKeepTheirNames(t *testing.T) {
	body := `{"Service":"s","Address":"10.1.1.1:80","Zone":"z1","Generation":"g","Slots":4,"State":"draining","ColdRemainingMs":1500,"Sequence":3}`
	r := httptest.NewRequest(http.MethodPost, "/-/instances/i1/heartbeat", strings.NewReader(body))
	r.SetPathValue("id", "i1")
	instance, err := readInstance(httptest.NewRecorder(), r, false)
	require.NoError(t, err)
	require.Equal(t, registry.Instance{ID: "i1", Service: "s", Address: "10.1.1.1:80", Zone: "z1", Generation: "g", Slots: 4,
		State: registry.Draining, WarmupRemaining: 1500 * time.Millisecond, Sequence: 3}, instance)
}
