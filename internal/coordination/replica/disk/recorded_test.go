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

// recordedFolder has what revision cfdfdec left on a disk; the README in it says how it was made.
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

// A replica starts from a disk of an earlier version, and has all of its state: that of the snapshot and that of the entries after it.
func TestRecordedDiskIsRead(t *testing.T) {
	d, kept, err := Open(recordedDisk(t))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = d.Close() }()
	if d.ID != 1 || d.Incarnation == "" || kept.Snapshot == nil || kept.HardState == nil || len(kept.Entries) == 0 {
		t.Fatalf("id %d, incarnation %q, %d entries", d.ID, d.Incarnation, len(kept.Entries))
	}
	core, err := replica.New(replica.Options{ID: 1, Incarnation: d.Incarnation, Rand: func(int) int { return 0 }}, kept)
	if err != nil {
		t.Fatal(err)
	}
	pump := func() {
		t.Helper()
		for w, ok := core.Ready(); ok; w, ok = core.Ready() {
			if err := d.Save(w); err != nil {
				t.Fatal(err)
			}
			if _, _, err := core.Advance(w, 0); err != nil {
				t.Fatal(err)
			}
		}
	}
	for range 2 * replica.ElectionTicks {
		core.Tick(0)
		pump()
	}
	var state []byte
	core.Submit(replica.Request{Read: true, Done: func(r replica.Response) {
		if r.Err != nil {
			t.Fatal(r.Err)
		}
		var limits []share.Limit
		for _, standing := range r.LimitStatuses() {
			limits = append(limits, standing.Limit)
		}
		state, err = json.MarshalIndent(map[string]any{"members": r.Members, "lease": json.RawMessage(r.State.Snapshot()),
			"rollouts": json.RawMessage(r.Rollouts.Snapshot()), "limits": limits, "versions": json.RawMessage(r.Versions.Snapshot())}, "", " ")
		if err != nil {
			t.Fatal(err)
		}
	}})
	pump()
	recorded, err := os.ReadFile(filepath.Join(recordedFolder, "state.json"))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(state, bytes.TrimSpace(recorded)) {
		t.Errorf("read %s\nrecorded %s", state, recorded)
	}
}

// What is written has the recorded buckets, keys and records, so that an earlier version reads it.
func TestRecordsAreTheRecordedOnes(t *testing.T) {
	folder := recordedDisk(t)
	d, kept, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	again := t.TempDir()
	if err := Create(again, d.ID, replica.InitialState([]replica.Member{{ID: 1}}, lease.NewState())); err != nil {
		t.Fatal(err)
	}
	written, _, err := Open(again)
	if err != nil {
		t.Fatal(err)
	}
	if err := written.Save(replica.Ready{PersistedState: *kept}); err != nil {
		t.Fatal(err)
	}
	if err := written.Close(); err != nil {
		t.Fatal(err)
	}
	recorded, own := records(t, folder), records(t, again)
	if len(own) != len(recorded) {
		t.Errorf("%d records, recorded %d", len(own), len(recorded))
	}
	for key, value := range recorded {
		if key == "meta/life" { // it is drawn when the file is made
			if len(own[key]) != len(value) {
				t.Errorf("%s: %q, recorded %q", key, own[key], value)
			}
		} else if own[key] != value {
			t.Errorf("%q: %q, recorded %q", key, own[key], value)
		}
	}
}

// records returns all records of a file, by bucket and key.
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
