package distribute

import (
	"testing"

	"petrelhook/internal/common/jsonform"
)

// Commands and snapshots that were recorded by revision cfdfdec are still decoded, and encoded as the same bytes. The README in
// testdata/cfdfdec says how they were recorded.
func TestRecordedFormsAreRead(t *testing.T) {
	jsonform.CheckRecorded(t, "testdata/cfdfdec/command.json", &Command{})
	jsonform.CheckRecorded(t, "testdata/cfdfdec/snapshot.json", &snapshot{})
}
