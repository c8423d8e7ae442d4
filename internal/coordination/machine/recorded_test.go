package machine

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"petrelhook/internal/common/jsonform"
	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/rollout"
)

// recordedFolder has messages and state that revision cfdfdec wrote; the README in it says how they were made.
const recordedFolder = "testdata/cfdfdec"

// The recorded messages of an agent's calls and the recorded state of a sidecar are read, and written again in the same form.
func TestRecordedMessagesAreRead(t *testing.T) {
	for name, v := range map[string]any{
		"status-request.json": &StatusRequest{},
		"status.json":         &Status{},
		"order.json":          &Order{},
		"order-response.json": &OrderResponse{},
		"check-request.json":  &CheckRequest{},
		"check-response.json": &CheckResponse{},
		"sidecar-state.json":  &agent.PersistedState{},
	} {
		jsonform.CheckRecorded(t, filepath.Join(recordedFolder, name), v)
	}
	for path, want := range map[string]string{
		PathStatus: "/petrelagent.v1.Agent/Look", PathOrder: "/petrelagent.v1.Agent/Order", PathCheck: "/petrelagent.v1.Agent/Check",
	} {
		if path != want {
			t.Errorf("%s, recorded %s", path, want)
		}
	}
}

// An agent restores its state from the data folder of an earlier version.
func TestRecordedDataIsRead(t *testing.T) {
	g := newTestAgent(t)
	g.stop()
	serving := g.persisted().Serving
	recorded := filepath.Join(recordedFolder, "data")
	c := *g.config
	c.Data = filepath.Join(t.TempDir(), "data")
	if err := os.CopyFS(c.Data, os.DirFS(recorded)); err != nil {
		t.Fatal(err)
	}
	m, err := Open(&c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer m.lockFile.Close()
	if m.driver.fence.Token != 9 || m.driver.fence.LastOrders["n0"] != 4 {
		t.Errorf("%+v", m.driver.fence)
	}
	if known, err := m.driver.fence.Admit(9, rollout.Order{Number: 4, Sidecar: "n0"}); !known || err != nil {
		t.Errorf("%v, %v", known, err)
	}
	if m.versions.newest != 6 || string(m.versions.content(5)) != `{"discovery":"b","settings":{"y":2}}` {
		t.Errorf("%d, %+v", m.versions.newest, m.versions.byRevision)
	}
	state := m.sidecars[0].PersistedState
	if state.Confirmed != "dd2d610c130bf85e584e3bbb283828c2" || state.CompletedOrder != 4 || state.StartCount != 3 || state.InForce != 5 || state.Rejected != 6 {
		t.Errorf("%+v", state)
	}
	if state.Serving != nil { // the recorded process has exited
		t.Errorf("%+v", state.Serving)
	}
	if serving == nil || !IsRunning(*serving) {
		t.Errorf("the process of another agent was stopped: %+v", serving)
	}

	found, err := resolveStart(filepath.Join(c.Data, "start-n0-3"))
	if err != nil || found == nil || *found != (agent.Process{PID: 18162, StartTicks: 79747}) {
		t.Errorf("%+v, %v", found, err)
	}
	version := distribute.Version{}
	if ok, err := m.data.readJSON("version-6", &version); !ok || err != nil || version.Revision != 6 {
		t.Errorf("%v, %v, %+v", ok, err, version)
	}
}
