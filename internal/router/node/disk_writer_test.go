package node

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/rig/process"
	"petrelhook/internal/router/replication"
	"petrelhook/internal/router/storage"
)

// blockingDisk is a disk whose syncs block until the test lets them end.
type blockingDisk struct {
	begun chan []replication.Save
	end   chan error // receives the result for all saves of a sync
}

func (d *blockingDisk) SaveAll(saves []replication.Save) []error {
	d.begun <- saves
	err := <-d.end
	errs := make([]error, len(saves))
	for i := range errs {
		errs[i] = err
	}
	return errs
}

func (d *blockingDisk) Close() error { return nil }

// A successor must not wait for the lock of a router that has ended gracefully.
func TestAGracefulEndReleasesTheLockOfTheDisk(t *testing.T) {
	folder := process.DataDir(t)
	const address = "127.0.0.1:7000"
	disk, _, err := storage.Open(folder, address, true)
	require.NoError(t, err)
	saved := make(chan error, 1)
	w := newDiskWriter(disk, func(_ uint64, err error) { saved <- err })
	w.save(replication.Save{Number: 1})
	w.close()
	require.NoError(t, <-saved)
	successor, _, err := storage.Open(folder, address, true)
	require.NoError(t, err)
	require.NoError(t, successor.Close())
}

// A disk that hangs must not keep a router from ending.
func TestADiskThatHangsDelaysNoEnd(t *testing.T) {
	disk := &blockingDisk{begun: make(chan []replication.Save), end: make(chan error)}
	w := newDiskWriter(disk, func(uint64, error) {})
	w.save(replication.Save{Number: 1})
	<-disk.begun
	w.close()
	require.Empty(t, w.ended)
	disk.end <- nil
	<-w.ended
}

// saveResult holds the arguments of a call of diskWriter.saved.
type saveResult struct {
	number uint64
	err    error
}

// Saves queued during a sync are written together by the next one, in order and up to the bound. Each save is reported,
// also after an error.
func TestSavesDuringASyncShareTheNextOne(t *testing.T) {
	disk := &blockingDisk{begun: make(chan []replication.Save), end: make(chan error)}
	results := make(chan saveResult, 200)
	w := newDiskWriter(disk, func(number uint64, err error) { results <- saveResult{number, err} })
	defer w.close()
	w.save(replication.Save{Number: 1})
	require.Len(t, <-disk.begun, 1)
	const last = 1 + maxSavesPerSync + 10
	for number := uint64(2); number <= last; number++ {
		w.save(replication.Save{Number: number})
	}
	disk.end <- nil
	require.Len(t, <-disk.begun, maxSavesPerSync)
	full := errors.New("full")
	disk.end <- full
	require.Len(t, <-disk.begun, 10)
	disk.end <- nil
	for number := uint64(1); number <= last; number++ {
		want := saveResult{number: number}
		if number > 1 && number <= 1+maxSavesPerSync {
			want.err = full
		}
		require.Equal(t, want, <-results)
	}
}
