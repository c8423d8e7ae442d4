package storage

import (
	"bytes"
	"encoding/gob"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"

	"petrelhook/internal/router/replication"
)

func position(n uint64) replication.Position {
	return replication.Position{Epoch: replication.Epoch{Round: 1, Node: "a"}, Sequence: n}
}

func TestSavedStateIsFound(t *testing.T) {
	folder := t.TempDir()
	d, persisted, err := Open(folder, "10.0.0.1:7000", true)
	require.NoError(t, err)
	require.True(t, persisted.Hard.Genesis)
	id := persisted.ID
	hard := replication.HardState{Promised: replication.Epoch{Round: 4, Node: "b"}}
	require.NoError(t, d.Save(replication.Save{Hard: hard, Snapshot: &replication.SnapshotRecord{Position: position(3), Data: []byte("three")}}))
	require.NoError(t, d.Save(replication.Save{Hard: hard, Entry: &replication.Entry{Position: position(4), Data: []byte("four")}}))
	require.NoError(t, d.Close())

	d, persisted, err = Open(folder, "10.0.0.1:7000", false)
	require.NoError(t, err)
	defer d.Close()
	require.Equal(t, id, persisted.ID)
	require.Equal(t, hard, persisted.Hard)
	require.Equal(t, "three", string(persisted.Snapshot.Data))
	require.Len(t, persisted.Entries, 1)
	require.Equal(t, "four", string(persisted.Entries[0].Data))
}

// A disk that is created again after a loss is another member.
func TestALostDiskIsAnotherMember(t *testing.T) {
	folder := t.TempDir()
	d, first, err := Open(folder, "10.0.0.1:7000", true)
	require.NoError(t, err)
	require.NoError(t, d.Close())
	require.NoError(t, os.Remove(filepath.Join(folder, fileName)))
	d, second, err := Open(folder, "10.0.0.1:7000", false)
	require.NoError(t, err)
	defer d.Close()
	require.NotEqual(t, first.ID, second.ID)
	require.False(t, second.Hard.Genesis)
}

// An interrupted start leaves a temporary file, or none; the next start succeeds.
func TestAStartThatWasInterrupted(t *testing.T) {
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, fileName+".new"), []byte("torn"), 0o644))
	d, _, err := Open(folder, "10.0.0.1:7000", true)
	require.NoError(t, err)
	require.NoError(t, d.Close())
}

// A bbolt file that no replica created is not read as an empty state.
func TestAFileWithoutAState(t *testing.T) {
	folder := t.TempDir()
	database, err := openDatabase(filepath.Join(folder, fileName))
	require.NoError(t, err)
	require.NoError(t, database.Close())
	_, _, err = Open(folder, "10.0.0.1:7000", true)
	require.ErrorIs(t, err, ErrNoIdentity)
	_, err = Inspect(folder)
	require.ErrorIs(t, err, ErrNoIdentity)
}

// After a failed save nothing that depends on it is accepted until a snapshot is saved.
func TestAGapNeedsASnapshot(t *testing.T) {
	d, _, err := Open(t.TempDir(), "10.0.0.1:7000", true)
	require.NoError(t, err)
	defer d.Close()
	d.snapshotRequired = true
	entry := replication.Save{Entry: &replication.Entry{Position: position(4)}}
	require.ErrorIs(t, d.Save(entry), ErrSnapshotRequired)
	require.NoError(t, d.Save(replication.Save{Snapshot: &replication.SnapshotRecord{Position: position(5), Data: []byte("x")}}))
	require.NoError(t, d.Save(entry))
}

// Saves that are synced together leave the same state as saves that are synced one by one. After a failed save, those
// before the next snapshot are rejected.
func TestSavesThatAreSyncedTogether(t *testing.T) {
	folder := t.TempDir()
	d, _, err := Open(folder, "10.0.0.1:7000", true)
	require.NoError(t, err)
	entry := func(n uint64) replication.Save {
		return replication.Save{Entry: &replication.Entry{Position: position(n), Data: []byte{byte(n)}}}
	}
	snapshot := replication.Save{Snapshot: &replication.SnapshotRecord{Position: position(3), Data: []byte("three")}}
	newest := replication.Save{Hard: replication.HardState{Promised: replication.Epoch{Round: 4, Node: "b"}}}
	for _, err := range d.SaveAll([]replication.Save{entry(1), entry(2), entry(3), snapshot, entry(4), entry(5), newest}) {
		require.NoError(t, err)
	}
	d.snapshotRequired = true
	errs := d.SaveAll([]replication.Save{entry(6), entry(7)})
	require.ErrorIs(t, errs[0], ErrSnapshotRequired)
	require.ErrorIs(t, errs[1], ErrSnapshotRequired)
	require.NoError(t, d.Close())

	d, persisted, err := Open(folder, "10.0.0.1:7000", false)
	require.NoError(t, err)
	require.Equal(t, newest.Hard, persisted.Hard)
	require.Equal(t, "three", string(persisted.Snapshot.Data))
	require.Len(t, persisted.Entries, 2)
	require.Equal(t, []byte{5}, persisted.Entries[1].Data)
	d.snapshotRequired = true
	errs = d.SaveAll([]replication.Save{entry(6), snapshot, entry(4)})
	require.ErrorIs(t, errs[0], ErrSnapshotRequired)
	require.NoError(t, errs[1])
	require.NoError(t, errs[2])
	require.NoError(t, d.Close())
	persisted, err = Inspect(folder)
	require.NoError(t, err)
	require.Len(t, persisted.Entries, 1)
}

func TestCache(t *testing.T) {
	folder := t.TempDir()
	_, err := ReadCache(folder, "servers")
	require.ErrorIs(t, err, os.ErrNotExist)
	require.NoError(t, WriteCache(folder, "servers", []byte("list")))
	got, err := ReadCache(folder, "servers")
	require.NoError(t, err)
	require.Equal(t, "list", string(got))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "servers"), []byte("torn something"), 0o644))
	_, err = ReadCache(folder, "servers")
	require.ErrorIs(t, err, ErrCacheDamaged)
}

// writeAsEarlierVersion stores a value as versions before checksums did.
func writeAsEarlierVersion(t *testing.T, d *Disk, bucket, key []byte, value any) {
	t.Helper()
	require.NoError(t, d.database.Update(func(tx *bbolt.Tx) error {
		var encoded bytes.Buffer
		if err := gob.NewEncoder(&encoded).Encode(value); err != nil {
			return err
		}
		return tx.Bucket(bucket).Put(key, encoded.Bytes())
	}))
}

// An earlier version may write to a disk between two saves of this one, in an upgrade that is taken back and repeated.
func TestADiskThatAnEarlierVersionWroteToIsRead(t *testing.T) {
	folder := t.TempDir()
	d, _, err := Open(folder, "10.0.0.1:7000", true)
	require.NoError(t, err)
	entry := func(n uint64) *replication.Entry {
		return &replication.Entry{Position: position(n), Data: []byte{byte(n)}}
	}
	require.NoError(t, d.Save(replication.Save{Entry: entry(1)}))
	writeAsEarlierVersion(t, d, bucketEntries, entryKey(entry(2)), entry(2))
	writeAsEarlierVersion(t, d, bucketMeta, keyHard, replication.HardState{Promised: replication.Epoch{Round: 4, Node: "b"}})
	require.NoError(t, d.Close())
	d, state, err := Open(folder, "10.0.0.1:7000", true)
	require.NoError(t, err)
	require.Len(t, state.Entries, 2)
	require.Equal(t, uint64(4), state.Hard.Promised.Round)
	require.NoError(t, d.Save(replication.Save{Hard: state.Hard, Entry: entry(3)}))
	require.NoError(t, d.Close())
	state, err = Inspect(folder)
	require.NoError(t, err)
	require.Len(t, state.Entries, 3)
}

func TestAnEarlierVersionReadsAValueWithAChecksum(t *testing.T) {
	d, _, err := Open(t.TempDir(), "10.0.0.1:7000", true)
	require.NoError(t, err)
	defer d.Close()
	hard := replication.HardState{Promised: replication.Epoch{Round: 4, Node: "b"}}
	require.NoError(t, d.Save(replication.Save{Hard: hard}))
	require.NoError(t, d.database.View(func(tx *bbolt.Tx) error {
		var read replication.HardState
		require.NoError(t, gob.NewDecoder(bytes.NewReader(tx.Bucket(bucketMeta).Get(keyHard))).Decode(&read))
		require.Equal(t, hard, read)
		return nil
	}))
}
