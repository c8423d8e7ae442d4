package storage

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/common/gobschema"
	"petrelhook/internal/router/replication"
)

// recordedFolder holds the disk state that revision cfdfdec wrote; internal/router/wireformat/testdata says how it was
// created.
const recordedFolder = "testdata/cfdfdec"

// checksumsFolder holds the same state as the first revision with checksums wrote it.
const checksumsFolder = "testdata/50f73710"

// lostCommitFolder holds the same state as the first revision that numbers transactions wrote it, without the meta page of the last one.
const lostCommitFolder = "testdata/lost-commit"

// A disk that an earlier version wrote is read, and further entries are added to it, without losing anything.
func TestRecordedDiskIsRead(t *testing.T) {
	for _, recorded := range []string{recordedFolder, checksumsFolder, lostCommitFolder} {
		t.Run(recorded, func(t *testing.T) { checkRecordedDisk(t, recorded) })
	}
}

func checkRecordedDisk(t *testing.T, recorded string) {
	t.Helper()
	database, err := os.ReadFile(filepath.Join(recorded, fileName))
	require.NoError(t, err)
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, fileName), database, 0o600))

	check := func(state *replication.PersistedState) {
		t.Helper()
		require.True(t, strings.HasPrefix(state.ID, "127.0.0.2:7400/"), state.ID)
		recordedHard, err := os.ReadFile(filepath.Join(recordedFolder, "hard.json"))
		require.NoError(t, err)
		hard, err := json.Marshal(state.Hard)
		require.NoError(t, err)
		require.JSONEq(t, string(recordedHard), string(hard))
		epoch := replication.Epoch{Round: 7, Node: "127.0.0.2:7400/a1"}
		require.Equal(t, replication.Position{Epoch: epoch, Sequence: 1}, state.Snapshot.Position)
		require.NotEmpty(t, state.Snapshot.Data)
		require.Equal(t, replication.Entry{Position: replication.Position{Epoch: epoch, Sequence: 2}, Data: []byte("entry 0")}, state.Entries[0])
		require.Equal(t, replication.Entry{Position: replication.Position{Epoch: epoch, Sequence: 3}, Data: []byte("entry 1")}, state.Entries[1])
	}

	inspected, err := Inspect(folder)
	require.NoError(t, err)
	check(inspected)
	require.Len(t, inspected.Entries, 2)

	d, state, err := Open(folder, "127.0.0.2:7400", false)
	require.NoError(t, err)
	check(state)
	entry := &replication.Entry{Position: replication.Position{Epoch: replication.Epoch{Round: 8, Node: "b"}, Sequence: 4}, Data: []byte("new")}
	require.NoError(t, d.Save(replication.Save{Hard: state.Hard, Entry: entry}))
	require.NoError(t, d.Close())

	reread, err := Inspect(folder)
	require.NoError(t, err)
	check(reread)
	require.Equal(t, *entry, reread.Entries[2])
}

// The stored types have exactly the recorded fields, so an earlier version can read what this version writes.
func TestSchemaIsTheRecordedOne(t *testing.T) {
	recorded, err := os.ReadFile(filepath.Join(recordedFolder, "schema.txt"))
	require.NoError(t, err)
	require.Equal(t, string(recorded), "hard "+gobschema.Describe(reflect.TypeFor[replication.HardState]())+
		"\nentry "+gobschema.Describe(reflect.TypeFor[replication.Entry]())+
		"\nsnapshot "+gobschema.Describe(reflect.TypeFor[replication.SnapshotRecord]())+"\n")
}
