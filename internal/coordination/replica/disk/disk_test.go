package disk

import (
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

func entries(term uint64, from, to uint64) (all []*pb.Entry) {
	for i := from; i <= to; i++ {
		all = append(all, &pb.Entry{Term: proto.Uint64(term), Index: proto.Uint64(i), Data: []byte(strings.Repeat("entry", 50))})
	}
	return all
}

// filled is a folder with a replica that has entries 2 to 200, and its life.
func filled(t *testing.T) (dir, life string) {
	t.Helper()
	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, fileName+".new"), []byte("half written"), 0o600); err != nil { // by one that died
		t.Fatal(err)
	}
	if err := Create(dir, 3, replica.InitialState([]replica.Member{{ID: 3}}, lease.NewState())); err != nil {
		t.Fatal(err)
	}
	d, kept, err := Open(dir)
	if err != nil || kept.Snapshot.Metadata.GetIndex() != 1 || d.ID != 3 {
		t.Fatalf("%v, %v", err, kept)
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

// What is kept is there again, entries of a leader that was succeeded are not, and a log that is cut begins later.
func TestKept(t *testing.T) {
	dir, life := filled(t)
	d, kept, err := Open(dir)
	if err != nil || d.Incarnation != life || len(kept.Entries) != 199 || kept.Entries[198].GetTerm() != 2 || kept.HardState.GetTerm() != 2 {
		t.Fatalf("%v, %d entries", err, len(kept.Entries))
	}
	if _, _, err := Open(dir); err == nil || !strings.Contains(err.Error(), "another process has it") {
		t.Errorf("%v", err)
	}
	if err := d.SaveSnapshot(&pb.Snapshot{Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(180)}}, 170); err != nil {
		t.Fatal(err)
	}
	d.Close()
	if d, kept, err = Open(dir); err != nil || len(kept.Entries) != 30 || kept.Snapshot.Metadata.GetIndex() != 180 {
		t.Fatalf("%v, %v", err, kept)
	}
	d.Close()
	if err := Create(dir, 3, &replica.PersistedState{}); err == nil {
		t.Error("made twice")
	}
}

// Flipped bits anywhere in what is in use, and a file that is cut off, are refused with the file and where; nothing is changed.
func TestDamage(t *testing.T) {
	dir, _ := filled(t)
	path := filepath.Join(dir, fileName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	flip := func(at int) []byte { b := append([]byte(nil), whole...); b[at] ^= 4; return b }
	inLog := strings.LastIndex(string(whole), "entryentry")
	for name, c := range map[string]struct {
		text []byte
		want string
	}{
		"an entry":     {flip(inLog), "offset"},
		"cut off":      {whole[:inLog], "offset"},
		"nothing":      {whole[:0], "offset 0: cut off"},
		"both headers": {append(make([]byte, 8192), whole[8192:]...), "offset 0"},
	} {
		dir := t.TempDir()
		path := filepath.Join(dir, fileName)
		if err := os.WriteFile(path, c.text, 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err := Open(dir)
		if err == nil || !strings.Contains(err.Error(), path) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A file without one of the records that every replica has is refused.
func TestMissingRecords(t *testing.T) {
	for _, key := range [][]byte{keyFormat, keyID, keyLife} {
		dir, _ := filled(t)
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

// A last write that was torn, its header half written, is cut: what was there before it is there, and the replica starts.
func TestTornTail(t *testing.T) {
	dir, _ := filled(t)
	whole, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	before := 0
	for page := range 2 { // headers are written in turn
		dir := t.TempDir()
		text := append([]byte(nil), whole...)
		for i := range 40 {
			text[page*os.Getpagesize()+16+i] = 0
		}
		if err := os.WriteFile(filepath.Join(dir, fileName), text, 0o600); err != nil {
			t.Fatal(err)
		}
		d, kept, err := Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		d.Close()
		if kept.Entries[len(kept.Entries)-1].GetIndex() == 250 { // as it was before the last write
			before++
		}
	}
	if before != 1 {
		t.Errorf("%d headers are of before the last write", before)
	}
}
