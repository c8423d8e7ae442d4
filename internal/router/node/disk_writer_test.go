package node

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/replication"
)

// slowDisk is a disk whose syncs end when the test says so.
type slowDisk struct {
	begun chan []replication.Save
	end   chan error // the result of all saves of a sync
}

func (d *slowDisk) SaveAll(saves []replication.Save) []error {
	d.begun <- saves
	err := <-d.end
	errs := make([]error, len(saves))
	for i := range errs {
		errs[i] = err
	}
	return errs
}

// savedReport is a call of diskWriter.saved.
type savedReport struct {
	number uint64
	err    error
}

// Saves that come while a sync is under way are synced together by the next one, in their order, and each is reported, also
// after an error. A sync has a bounded number of them.
func TestSavesDuringASyncShareTheNextOne(t *testing.T) {
	disk := &slowDisk{begun: make(chan []replication.Save), end: make(chan error)}
	reports := make(chan savedReport, 200)
	w := newDiskWriter(disk, func(number uint64, err error) { reports <- savedReport{number, err} })
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
		want := savedReport{number: number}
		if number > 1 && number <= 1+maxSavesPerSync {
			want.err = full
		}
		require.Equal(t, want, <-reports)
	}
}
