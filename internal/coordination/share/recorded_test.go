package share

import (
	"testing"

	"petrelhook/internal/common/jsonform"
)

// This revision decodes the commands and limits that coordinators of revision cfdfdec stored in logs and snapshots, and encodes them to the
// same bytes. The README in testdata/cfdfdec describes how they were recorded.
func TestRecordedFormsAreRead(t *testing.T) {
	jsonform.CheckRecorded(t, "testdata/cfdfdec/command.json", &Command{})
	jsonform.CheckRecorded(t, "testdata/cfdfdec/snapshot.json", &[]Limit{})
}
