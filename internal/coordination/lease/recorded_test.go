package lease

import (
	"testing"

	"petrelhook/internal/common/jsonform"
)

// Commands, answers and snapshots as the coordinators of revision cfdfdec stored them in logs, snapshots and back-ups are decoded, and
// encoded to the same bytes. The README in testdata/cfdfdec describes how they were recorded.
func TestRecordedFormsAreRead(t *testing.T) {
	jsonform.CheckRecorded(t, "testdata/cfdfdec/command.json", &Command{})
	jsonform.CheckRecorded(t, "testdata/cfdfdec/answer.json", &Answer{})
	jsonform.CheckRecorded(t, "testdata/cfdfdec/snapshot.json", &stateSnapshot{})
}

// Kinds and statuses keep their numbers, which are sent and stored.
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
