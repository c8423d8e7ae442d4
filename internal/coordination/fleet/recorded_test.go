package fleet

import (
	"path/filepath"
	"testing"

	"petrelhook/internal/common/jsonform"
	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/replica"
)

// Each recorded message of revision cfdfdec is read, and written again as the same bytes. The README in testdata/cfdfdec says how
// the messages were made.
func TestRecordedMessagesAreRead(t *testing.T) {
	for name, message := range map[string]any{
		"request": &Request{}, "response": &Response{},
		"status_request": &Empty{}, "status": &Status{},
		"step": &StepRequest{}, "step_response": &Empty{},
		"watch": &distribute.Watch{}, "watch_response": &distribute.WatchResponse{},
		"summary_request": &distribute.SummaryRequest{}, "summary_response": &distribute.SummaryResponse{},
	} {
		t.Run(name, func(t *testing.T) {
			jsonform.CheckRecorded(t, filepath.Join("testdata/cfdfdec", name+".json"), message)
		})
	}
}

// The paths of the calls are those that released versions use.
func TestPathsAreTheRecordedOnes(t *testing.T) {
	for path, want := range map[string]string{
		PathRequest:            "/petrelfleet.v1.Fleet/Ask",
		PathStatus:             "/petrelfleet.v1.Fleet/Status",
		PathStep:               "/petrelfleet.v1.Replica/Step",
		distribute.PathWatch:   "/petrelfleet.v1.Distribute/Watch",
		distribute.PathSummary: "/petrelfleet.v1.Distribute/Summary",
	} {
		if path != want {
			t.Errorf("%s, recorded %s", path, want)
		}
	}
}

// Clients of earlier versions recognize this error by its text.
func TestTextOfThePendingMembershipChange(t *testing.T) {
	if text := replica.ErrMembershipChangePending.Error(); text != "a change of the replicas is on its way" {
		t.Error(text)
	}
}
