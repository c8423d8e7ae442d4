package disk

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
)

// entries returns entries of a term, numbered from one index to another.
func entries(term uint64, from, to uint64) (all []*pb.Entry) {
	for i := from; i <= to; i++ {
		all = append(all, &pb.Entry{Term: proto.Uint64(term), Index: proto.Uint64(i), Data: []byte(strings.Repeat("entry", 50))})
	}
	return all
}

// filledDisk returns a folder with a replica that has entries 2 to 200, and the incarnation of its disk.
func filledDisk(t *testing.T) (dir, incarnation string) {
	t.Helper()
	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, fileName+".new"), []byte("half written"), 0o600); err != nil { // by a process that died
		t.Fatal(err)
	}
	if err := Create(dir, 3, replica.InitialState([]replica.Member{{ID: 3}}, lease.NewState())); err != nil {
		t.Fatal(err)
	}
	d, persisted, err := Open(dir)
	if err != nil || persisted.Snapshot.Metadata.GetIndex() != 1 || d.ID != 3 {
		t.Fatalf("%v, %v", err, persisted)
	}
	defer d.Close()
	if err := d.Save(replica.Ready{PersistedState: replica.PersistedState{Entries: entries(1, 2, 250)}}); err != nil {
		t.Fatal(err)
	}
	if err := d.Save(replica.Ready{PersistedState: replica.PersistedState{HardState: &pb.HardState{Term: proto.Uint64(2)}, Entries: entries(2, 151, 200)}}); err != nil {
		t.Fatal(err)
	}
	return dir, d.Incarnation
}

// What was saved is read again, entries of a leader that was succeeded are not, and a compacted log begins later.
func TestSavedStateIsRead(t *testing.T) {
	dir, incarnation := filledDisk(t)
	d, persisted, err := Open(dir)
	if err != nil || d.Incarnation != incarnation || len(persisted.Entries) != 199 || persisted.Entries[198].GetTerm() != 2 || persisted.HardState.GetTerm() != 2 {
		t.Fatalf("%v, %d entries", err, len(persisted.Entries))
	}
	if _, _, err := Open(dir); !errors.Is(err, ErrLocked) || !strings.Contains(err.Error(), "another process has it") {
		t.Errorf("%v", err)
	}
	if err := d.SaveSnapshot(&pb.Snapshot{Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(180)}}, 170); err != nil {
		t.Fatal(err)
	}
	d.Close()
	if d, persisted, err = Open(dir); err != nil || len(persisted.Entries) != 30 || persisted.Snapshot.Metadata.GetIndex() != 180 {
		t.Fatalf("%v, %v", err, persisted)
	}
	d.Close()
	if err := Create(dir, 3, &replica.PersistedState{}); !errors.Is(err, ErrExists) {
		t.Errorf("a second replica in the folder: %v", err)
	}
	if _, _, err := Open(t.TempDir()); !errors.Is(err, ErrNoReplica) {
		t.Errorf("%v", err)
	}
}

// Flipped bits in a part of the file that is in use, and a truncated file, are errors that name the file and the offset; nothing is changed.
func TestDamage(t *testing.T) {
	dir, _ := filledDisk(t)
	path := filepath.Join(dir, fileName)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	flip := func(at int) []byte { b := append([]byte(nil), intact...); b[at] ^= 4; return b }
	inLog := strings.LastIndex(string(intact), "entryentry")
	for name, c := range map[string]struct {
		text  []byte
		want  string
		cause error // nil: one of bbolt's
	}{
		"an entry":     {flip(inLog), "offset", ErrDamaged},
		"cut off":      {intact[:inLog], "offset", ErrTruncated},
		"nothing":      {intact[:0], "offset 0: cut off", ErrTruncated},
		"both headers": {append(make([]byte, 8192), intact[8192:]...), "offset 0", nil},
	} {
		dir := t.TempDir()
		path := filepath.Join(dir, fileName)
		if err := os.WriteFile(path, c.text, 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err := Open(dir)
		if err == nil || !strings.Contains(err.Error(), path) || !strings.Contains(err.Error(), c.want) || c.cause != nil && !errors.Is(err, c.cause) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A file without one of the records that every replica has is refused.
func TestMissingRecords(t *testing.T) {
	for _, key := range [][]byte{keyFormat, keyID, keyIncarnation} {
		dir, _ := filledDisk(t)
		db, err := bbolt.Open(filepath.Join(dir, fileName), 0o600, options())
		if err != nil {
			t.Fatal(err)
		}
		err = db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketMeta).Delete(key) })
		if db.Close(); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Open(dir); err == nil || !strings.Contains(err.Error(), string(key)+": missing") {
			t.Errorf("%s: %v", key, err)
		}
	}
}

// A torn last write, of which the header is half written, is undone: the state before it is there, and the replica starts.
func TestTornTail(t *testing.T) {
	dir, _ := filledDisk(t)
	intact, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	before := 0
	for page := range 2 { // the two headers are written alternately
		dir := t.TempDir()
		text := append([]byte(nil), intact...)
		for i := range 40 {
			text[page*os.Getpagesize()+16+i] = 0
		}
		if err := os.WriteFile(filepath.Join(dir, fileName), text, 0o600); err != nil {
			t.Fatal(err)
		}
		d, persisted, err := Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		d.Close()
		if persisted.Entries[len(persisted.Entries)-1].GetIndex() == 250 { // as it was before the last write
			before++
		}
	}
	if before != 1 {
		t.Errorf("%d headers are of before the last write", before)
	}
}
