package replica

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"petrelhook/internal/common/jsonform"
	"petrelhook/internal/coordination/lease"
)

// Entries and snapshots that revision cfdfdec wrote are read, and written as the same bytes. The README in testdata/cfdfdec
// describes how they were recorded.
func TestRecordedFormsAreRead(t *testing.T) {
	jsonform.CheckRecorded(t, "testdata/cfdfdec/entry.json", &entry{})
	jsonform.CheckRecorded(t, "testdata/cfdfdec/snapshot-record.json", &snapshotRecord{})
}

// Every entry of a recorded log is read, and written as the same bytes.
func TestRecordedLogIsRead(t *testing.T) {
	recorded, err := os.ReadFile("testdata/cfdfdec/entries.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.Split(bytes.TrimSpace(recorded), []byte("\n"))
	if len(lines) < 100 {
		t.Fatalf("%d entries", len(lines))
	}
	for i, line := range lines {
		var e entry
		if err := json.Unmarshal(line, &e); err != nil {
			t.Fatalf("entry %d: %v", i, err)
		}
		if written, err := json.Marshal(e); err != nil || !bytes.Equal(written, line) {
			t.Errorf("entry %d, %v\nwritten  %s\nrecorded %s", i, err, written, line)
		}
	}
}

// The complete state of a recorded snapshot is restored: a snapshot of the restored state has the same bytes.
func TestRecordedSnapshotIsRestored(t *testing.T) {
	recorded, err := os.ReadFile("testdata/cfdfdec/snapshot.json")
	if err != nil {
		t.Fatal(err)
	}
	first := InitialState([]Member{{ID: 1}}, lease.NewState())
	snapshot := proto.Clone(first.Snapshot).(*pb.Snapshot)
	snapshot.Data = recorded
	c, err := New(Options{ID: 1, Rand: func(int) int { return 0 }}, &PersistedState{HardState: first.HardState, Snapshot: snapshot})
	if err != nil {
		t.Fatal(err)
	}
	if written := c.state.encode(c.Members()); !bytes.Equal(written, recorded) {
		t.Errorf("written  %s\nrecorded %s", written, recorded)
	}
}
