package lease

import (
	"testing"

	"petrelhook/internal/common/jsonform"
)

// What the coordinators' logs, snapshots and back-ups of revision cfdfdec hold is read, and written as the same bytes. The README in
// testdata/cfdfdec says how it was made.
func TestRecordedFormsAreRead(t *testing.T) {
	jsonform.CheckRecorded(t, "testdata/cfdfdec/command.json", &Command{})
	jsonform.CheckRecorded(t, "testdata/cfdfdec/answer.json", &Answer{})
	jsonform.CheckRecorded(t, "testdata/cfdfdec/snapshot.json", &image{})
}

// Kinds and statuses are sent and stored as these numbers.
func TestNumbersAreTheRecordedOnes(t *testing.T) {
	for i, kind := range []Kind{Open, Acquire, Cancel, Release, Transfer, Close, Break, Expire, Free, EndEmbargo} {
		if int(kind) != i+1 {
			t.Errorf("%v is %d, recorded %d", kind, kind, i+1)
		}
	}
	for i, status := range []Status{OK, Waiting, HeldByOther, NoSession, NotHeld, Stale, Full, Embargoed} {
		if int(status) != i+1 {
			t.Errorf("%v is %d, recorded %d", status, status, i+1)
		}
	}
}
