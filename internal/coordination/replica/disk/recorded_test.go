package disk

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"

	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/share"
)

// recordedFolder holds the file that revision cfdfdec wrote; the README in it describes how it was recorded.
const recordedFolder = "testdata/cfdfdec"

// recordedDisk returns a folder with a copy of the recorded file.
func recordedDisk(t *testing.T) string {
	t.Helper()
	database, err := os.ReadFile(filepath.Join(recordedFolder, fileName))
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, fileName), database, 0o600); err != nil {
		t.Fatal(err)
	}
	return folder
}

// A replica starts from the disk of an earlier version with its complete state: that of the snapshot and of the entries after it.
func TestRecordedDiskIsRead(t *testing.T) {
	d, persisted, err := Open(recordedDisk(t))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = d.Close() }()
	if d.ID != 1 || d.Incarnation == "" || persisted.Snapshot == nil || persisted.HardState == nil || len(persisted.Entries) == 0 {
		t.Fatalf("id %d, incarnation %q, %d entries", d.ID, d.Incarnation, len(persisted.Entries))
	}
	core, err := replica.New(replica.Options{ID: 1, Incarnation: d.Incarnation, Rand: func(int) int { return 0 }}, persisted)
	if err != nil {
		t.Fatal(err)
	}
	processReady := func() {
		t.Helper()
		for ready, ok := core.Ready(); ok; ready, ok = core.Ready() {
			if err := d.Save(ready); err != nil {
				t.Fatal(err)
			}
			if _, _, err := core.Advance(ready, 0); err != nil {
				t.Fatal(err)
			}
		}
	}
	for range 2 * replica.ElectionTicks {
		core.Tick(0)
		processReady()
	}
	var state []byte
	core.Submit(replica.Request{Read: true, Done: func(r replica.Response) {
		if r.Err != nil {
			t.Fatal(r.Err)
		}
		var limits []share.Limit
		for _, status := range r.LimitStatuses() {
			limits = append(limits, status.Limit)
		}
		state, err = json.MarshalIndent(map[string]any{"members": r.Members, "lease": json.RawMessage(r.State.Snapshot()),
			"rollouts": r.Rollouts.Snapshot(), "limits": limits, "versions": r.Versions.Snapshot()}, "", " ")
		if err != nil {
			t.Fatal(err)
		}
	}})
	processReady()
	recorded, err := os.ReadFile(filepath.Join(recordedFolder, "state.json"))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(state, bytes.TrimSpace(recorded)) {
		t.Errorf("read %s\nrecorded %s", state, recorded)
	}
}

// A new file has the recorded buckets, keys and records, so an earlier version can read it.
func TestRecordsAreTheRecordedOnes(t *testing.T) {
	folder := recordedDisk(t)
	d, persisted, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	newFolder := t.TempDir()
	if err := Create(newFolder, d.ID, replica.InitialState([]replica.Member{{ID: 1}}, lease.NewState())); err != nil {
		t.Fatal(err)
	}
	written, _, err := Open(newFolder)
	if err != nil {
		t.Fatal(err)
	}
	if err := written.Save(replica.Ready{PersistedState: *persisted}); err != nil {
		t.Fatal(err)
	}
	if err := written.Close(); err != nil {
		t.Fatal(err)
	}
	recordedRecords, writtenRecords := records(t, folder), records(t, newFolder)
	if len(writtenRecords) != len(recordedRecords) {
		t.Errorf("%d records, recorded %d", len(writtenRecords), len(recordedRecords))
	}
	for key, value := range recordedRecords {
		if key == "meta/life" { // the incarnation is drawn when the file is created
			if len(writtenRecords[key]) != len(value) {
				t.Errorf("%s: %q, recorded %q", key, writtenRecords[key], value)
			}
		} else if writtenRecords[key] != value {
			t.Errorf("%q: %q, recorded %q", key, writtenRecords[key], value)
		}
	}
}

// records returns all records of a file by "bucket/key".
func records(t *testing.T, folder string) map[string]string {
	t.Helper()
	db, err := bbolt.Open(filepath.Join(folder, fileName), 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = db.Close() }()
	all := map[string]string{}
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				all[string(bucket)+"/"+string(k)] = string(v)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}
