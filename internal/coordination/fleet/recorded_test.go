package fleet

import (
	"path/filepath"
	"testing"

	"petrelhook/internal/common/jsonform"
	"petrelhook/internal/coordination/distribute"
)

// Each message of revision cfdfdec is read, and written as the same bytes. The README in testdata/cfdfdec says how they were made.
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

// The paths of the calls are those that every released process uses.
func TestPathsAreTheRecordedOnes(t *testing.T) {
	for path, recorded := range map[string]string{
		PathRequest:            "/petrelfleet.v1.Fleet/Ask",
		PathStatus:             "/petrelfleet.v1.Fleet/Status",
		PathStep:               "/petrelfleet.v1.Replica/Step",
		distribute.PathWatch:   "/petrelfleet.v1.Distribute/Watch",
		distribute.PathSummary: "/petrelfleet.v1.Distribute/Summary",
	} {
		if path != recorded {
			t.Errorf("%s, recorded %s", path, recorded)
		}
	}
}
