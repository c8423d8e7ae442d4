package share

import (
	"testing"

	"petrelhook/internal/common/jsonform"
)

// Commands and limits as the coordinators of revision cfdfdec stored them in logs and snapshots are decoded, and encoded to the same bytes.
// The README in testdata/cfdfdec describes how they were recorded.
func TestRecordedFormsAreRead(t *testing.T) {
	jsonform.CheckRecorded(t, "testdata/cfdfdec/command.json", &Command{})
	jsonform.CheckRecorded(t, "testdata/cfdfdec/snapshot.json", &[]Limit{})
}
