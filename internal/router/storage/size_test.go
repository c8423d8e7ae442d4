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

// After 5,000 orders, with a state as large as 500 routes and 4,096 digests make it every 32 of them, the file is a small part of a disk of
// 64 MB, and is read at a start as fast as at first.
func TestTheFileAfterManyOrders(t *testing.T) {
	const (
		orders    = 5_000
		compacted = 32
		state     = 400_000
		entry     = 300
		diskShare = 8 << 20
	)
	folder := t.TempDir()
	d, _, err := Open(folder, "10.0.0.1:7000", true)
	require.NoError(t, err)
	d.database.NoSync = true // what is on the disk in the end is the same, and nothing is lost here
	for n := uint64(1); n <= orders; n++ {
		save := replication.Save{Entry: &replication.Entry{Position: position(n), Data: bytes.Repeat([]byte("e"), entry)}}
		if n%compacted == 0 {
			save = replication.Save{Snapshot: &replication.SnapshotRecord{Position: position(n), Data: bytes.Repeat([]byte("s"), state)}}
		}
		require.NoError(t, d.Save(save))
	}
	require.NoError(t, d.Close())
	info, err := os.Stat(filepath.Join(folder, fileName))
	require.NoError(t, err)
	require.Less(t, info.Size(), int64(diskShare))
	began := time.Now()
	d, kept, err := Open(folder, "10.0.0.1:7000", false)
	require.NoError(t, err)
	t.Logf("%d bytes; opened and read in %v", info.Size(), time.Since(began))
	require.NoError(t, d.Close())
	require.Len(t, kept.Snapshot.Data, state)
	require.Len(t, kept.Entries, orders%compacted)
}
