package disk

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
)

// entries returns log entries of a term with the indexes from to to, inclusive.
func entries(term uint64, from, to uint64) (all []*pb.Entry) {
	for i := from; i <= to; i++ {
		all = append(all, &pb.Entry{Term: proto.Uint64(term), Index: proto.Uint64(i), Data: []byte(strings.Repeat("entry", 50))})
	}
	return all
}

// filledDisk returns a folder with a replica that has the entries 2 to 200, and the incarnation of its disk. The entries are
// saved in two steps: the second save replaces the entries 151 to 250 of term 1 by the entries 151 to 200 of term 2.
func filledDisk(t *testing.T) (dir, incarnation string) {
	t.Helper()
	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, fileName+".new"), []byte("half written"), 0o600); err != nil { // left behind by a process that died in Create
		t.Fatal(err)
	}
	if err := Create(dir, 3, replica.InitialState([]replica.Member{{ID: 3}}, lease.NewState())); err != nil {
		t.Fatal(err)
	}
	d, persisted, err := Open(dir)
	if err != nil || persisted.Snapshot.Metadata.GetIndex() != 1 || d.ID != 3 {
		t.Fatalf("Open of a new replica: error %v, state %v", err, persisted)
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

// Open returns the saved state without the entries that a later leader replaced, and without the entries that a snapshot has
// compacted.
func TestSavedStateIsRead(t *testing.T) {
	dir, incarnation := filledDisk(t)
	d, persisted, err := Open(dir)
	if err != nil || d.Incarnation != incarnation || len(persisted.Entries) != 199 || persisted.Entries[198].GetTerm() != 2 || persisted.HardState.GetTerm() != 2 {
		t.Fatalf("Open after two saves: error %v, %d entries", err, len(persisted.Entries))
	}
	if _, _, err := Open(dir); !errors.Is(err, ErrLocked) || !strings.Contains(err.Error(), "locked by another process") {
		t.Errorf("Open of a folder that is already open: error %v, want ErrLocked", err)
	}
	if err := d.SaveSnapshot(&pb.Snapshot{Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(180)}}, 170); err != nil {
		t.Fatal(err)
	}
	d.Close()
	if d, persisted, err = Open(dir); err != nil || len(persisted.Entries) != 30 || persisted.Snapshot.Metadata.GetIndex() != 180 {
		t.Fatalf("Open after SaveSnapshot: error %v, state %v", err, persisted)
	}
	d.Close()
	if err := Create(dir, 3, &replica.PersistedState{}); !errors.Is(err, ErrExists) {
		t.Errorf("Create in the folder of a replica: error %v, want ErrExists", err)
	}
	if _, _, err := Open(t.TempDir()); !errors.Is(err, ErrNoReplica) {
		t.Errorf("Open of an empty folder: error %v, want ErrNoReplica", err)
	}
}

// Opening a file with flipped bits in a page that is in use, or a truncated file, fails with an error that names the file and the
// offset.
func TestCorruptedFileIsRejected(t *testing.T) {
	dir, _ := filledDisk(t)
	path := filepath.Join(dir, fileName)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	flip := func(offset int) []byte { b := append([]byte(nil), intact...); b[offset] ^= 4; return b }
	entryOffset := strings.LastIndex(string(intact), "entryentry")
	for name, c := range map[string]struct {
		content []byte
		want    string
		cause   error // nil: the error comes from bbolt
	}{
		"a flipped bit in an entry": {flip(entryOffset), "offset", ErrCorrupted},
		"a truncated file":          {intact[:entryOffset], "offset", ErrTruncated},
		"an empty file":             {intact[:0], "offset 0: truncated", ErrTruncated},
		"both meta pages zeroed":    {append(make([]byte, 8192), intact[8192:]...), "offset 0", nil},
	} {
		dir := t.TempDir()
		path := filepath.Join(dir, fileName)
		if err := os.WriteFile(path, c.content, 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err := Open(dir)
		if err == nil || !strings.Contains(err.Error(), path) || !strings.Contains(err.Error(), c.want) || c.cause != nil && !errors.Is(err, c.cause) {
			t.Errorf("Open of %s: unexpected error %v", name, err)
		}
	}
}

// Opening a file that lacks one of the records that every replica has fails.
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
			t.Errorf("Open without the record %s: error %v", key, err)
		}
	}
}

// A meta page that is damaged, or torn by a power failure, must not undo the last write, which may have been acknowledged.
func TestADamagedMetaPageForgetsNoWrite(t *testing.T) {
	const headerBytes, metaBytes = 16, 64
	dir, _ := filledDisk(t)
	intact, want := readFile(t, dir), openState(t, dir)
	for page := range 2 { // bbolt writes the two meta pages alternately
		for start := range metaBytes {
			content := bytes.Clone(intact)
			metaPage := content[page*os.Getpagesize()+headerBytes:]
			clear(metaPage[start:metaBytes])
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, fileName), content, 0o600); err != nil {
				t.Fatal(err)
			}
			for range 2 { // what the first Open has restored stays
				if got := openState(t, dir); !reflect.DeepEqual(got, want) {
					t.Fatalf("meta page %d, cleared from byte %d: the last entry is %d of %d", page, start,
						got.Entries[len(got.Entries)-1].GetIndex(), want.Entries[len(want.Entries)-1].GetIndex())
				}
			}
			if _, err := os.Stat(filepath.Join(dir, fileName+restoredSuffix)); !errors.Is(err, os.ErrNotExist) {
				t.Errorf("the copy is left: %v", err)
			}
		}
	}
}

// A write that is torn before its meta page is written is undone: Open returns the state before it.
func TestTornWriteIsUndone(t *testing.T) {
	const sectorBytes = 512
	metaPages := 2 * os.Getpagesize()
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 0))
		dir, _ := filledDisk(t)
		before, want := readFile(t, dir), openState(t, dir)
		d, _, err := Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(d.Save(replica.Ready{PersistedState: replica.PersistedState{Entries: entries(2, 201, 260)}}), d.Close()); err != nil {
			t.Fatal(err)
		}
		torn, after := bytes.Clone(before), readFile(t, dir)
		torn = append(torn, make([]byte, max(0, len(after)-len(before)))...)
		for start := metaPages; start < len(after); start += sectorBytes {
			if random.IntN(2) == 0 {
				copy(torn[start:start+sectorBytes], after[start:])
			}
		}
		if err := os.WriteFile(filepath.Join(dir, fileName), torn, 0o600); err != nil {
			t.Fatal(err)
		}
		if got := openState(t, dir); !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d: the last entry is %d", seed, got.Entries[len(got.Entries)-1].GetIndex())
		}
	}
}

// readFile returns the content of the file of a replica.
func readFile(t *testing.T, dir string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// openState returns the state that Open reads, and closes the file.
func openState(t *testing.T, dir string) *replica.PersistedState {
	t.Helper()
	d, persisted, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	return persisted
}
