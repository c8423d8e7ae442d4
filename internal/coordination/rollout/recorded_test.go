package rollout

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"petrelhook/internal/common/jsonform"
)

// recordedFolder has data that revision cfdfdec wrote; the README in it describes how it was recorded.
const recordedFolder = "testdata/cfdfdec"

// Recorded commands, responses, fences and applications are decoded, and encoded to the same bytes.
func TestRecordedCommandsAreRead(t *testing.T) {
	jsonform.CheckRecorded(t, filepath.Join(recordedFolder, "command.json"), &Command{})
	jsonform.CheckRecorded(t, filepath.Join(recordedFolder, "answer.json"), &Response{})
	jsonform.CheckRecorded(t, filepath.Join(recordedFolder, "fence.json"), &Fence{})
	jsonform.CheckRecorded(t, filepath.Join(recordedFolder, "application.json"), &Application{})
}

// A register that is restored from a recorded snapshot is encoded to the same bytes and continues the recorded change.
func TestRecordedRegisterContinues(t *testing.T) {
	recorded, err := os.ReadFile(filepath.Join(recordedFolder, "register.json"))
	if err != nil {
		t.Fatal(err)
	}
	r, err := RestoreRegister(recorded)
	if err != nil {
		t.Fatal(err)
	}
	if written := r.Snapshot(); !bytes.Equal(written, recorded) {
		t.Errorf("written  %s\nrecorded %s", written, recorded)
	}
	s := r.applications["app"].Current.State
	orders := s.OpenOrders()
	if s.Phase != Running || s.Stage != 2 || len(orders) != 2 || orders[0] != (Order{Number: 6, Sidecar: "n03", Release: "newer"}) {
		t.Errorf("%+v, %+v", s, orders)
	}
	answer := r.Apply(Command{Application: "app", Change: "two", Token: 6, KnownEvents: 4, Events: []Event{
		{Report: &Report{Sidecar: "n03", Release: "newer", Ready: true, CompletedOrder: 6}}}})
	if answer.Error != "" || answer.EventCount != 5 || len(s.OpenOrders()) != 2 { // the next sidecar is ordered in its place
		t.Errorf("%+v, %+v", answer, s.OpenOrders())
	}
}

// The reasons that agents report and the log stores keep the recorded texts.
func TestReasonsHaveTheirTexts(t *testing.T) {
	if ProcessEnded != "it ended" || MachineIsolated != "its machine was cut off" {
		t.Errorf("%q, %q", ProcessEnded, MachineIsolated)
	}
}
