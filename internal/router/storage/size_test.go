package storage

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/replication"
)

// After 5,000 entries, with a snapshot every 32 of them that is as large as that of 500 routes and 4,096 digests, the
// file occupies a small fraction of a 64 MB disk and can be opened and read.
func TestTheFileAfterManyOrders(t *testing.T) {
	const (
		entries       = 5_000
		snapshotEvery = 32
		snapshotBytes = 400_000
		entryBytes    = 300
		maxFileBytes  = 8 << 20
	)
	folder := t.TempDir()
	d, _, err := Open(folder, "10.0.0.1:7000", true)
	require.NoError(t, err)
	d.database.NoSync = true // the content of the file in the end is the same, and no power failure occurs here
	for n := uint64(1); n <= entries; n++ {
		save := replication.Save{Entry: &replication.Entry{Position: position(n), Data: bytes.Repeat([]byte("e"), entryBytes)}}
		if n%snapshotEvery == 0 {
			save = replication.Save{Snapshot: &replication.SnapshotRecord{Position: position(n), Data: bytes.Repeat([]byte("s"), snapshotBytes)}}
		}
		require.NoError(t, d.Save(save))
	}
	require.NoError(t, d.Close())
	info, err := os.Stat(filepath.Join(folder, fileName))
	require.NoError(t, err)
	require.Less(t, info.Size(), int64(maxFileBytes))
	began := time.Now()
	d, persisted, err := Open(folder, "10.0.0.1:7000", false)
	require.NoError(t, err)
	t.Logf("%d bytes; opened and read in %v", info.Size(), time.Since(began))
	require.NoError(t, d.Close())
	require.Len(t, persisted.Snapshot.Data, snapshotBytes)
	require.Len(t, persisted.Entries, entries%snapshotEvery)
}
