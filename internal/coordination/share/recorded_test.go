package share

import (
	"testing"

	"petrelhook/internal/common/jsonform"
)

// What the coordinators' logs and snapshots of revision cfdfdec hold is read, and written as the same bytes. The README in
// testdata/cfdfdec says how it was made.
func TestRecordedFormsAreRead(t *testing.T) {
	jsonform.CheckRecorded(t, "testdata/cfdfdec/command.json", &Command{})
	jsonform.CheckRecorded(t, "testdata/cfdfdec/snapshot.json", &[]Limit{})
}
