// Package storage keeps a replica's state on its disk: what a voter must not forget, the last snapshot, and the
// entries since. It also keeps caches, files that may be lost (WriteCache). It does not know what the entries mean.
//
// The state is one bbolt file, in which a transaction is there completely or not at all. The design note says why it is
// not pebble: pebble ends the process where its log cannot be written, and a full disk must not end a router.
//
// Invariants: Open finds, after any loss of power, what Save returned nil for; after a failed Save nothing that depends
// on it is accepted until a save with a snapshot succeeds.
//
// A Disk is for one goroutine at a time: the router has one for all saves, as a disk may hang. The caches have no state
// in memory.
//
// The encoding is gob, by the field names of replication's types; testdata/cfdfdec has a disk that is read in the
// tests.
package storage

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"

	"petrelhook/internal/router/replication"
)

const fileName = "replica.db"

// lockTimeout is for how long another process that has the file open is waited for.
const lockTimeout = time.Second

// ErrSnapshotRequired is returned for a save without a snapshot that follows one that failed.
var ErrSnapshotRequired = errors.New("an earlier save failed: a snapshot is needed")

// ErrNoIdentity is returned for a file that has no replica's state in it.
var ErrNoIdentity = errors.New("the file has no identity")

// Buckets and keys of the file.
var (
	bucketMeta    = []byte("meta")
	bucketEntries = []byte("entries") // by sequence, big-endian
	keyID         = []byte("id")
	keyHard       = []byte("hard")
	keySnapshot   = []byte("snapshot")
)

// Disk is an open state. Its methods are for one goroutine at a time.
type Disk struct {
	database         *bbolt.DB
	snapshotRequired bool // the last save failed
}

// Open opens the state in a folder, or makes an empty one: address becomes part of its identity, and genesis says that
// this is the first start of the whole system. It waits a second for a process that has the file open, and fails then.
// Its error is ErrNoIdentity where the file has no state in it. The caller closes the Disk, and may keep the state.
func Open(folder, address string, genesis bool) (*Disk, *replication.PersistedState, error) {
	path := filepath.Join(folder, fileName)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, nil, errors.Wrap(err, "storage: make the folder")
	}
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		if err := create(folder, path, address, genesis); err != nil {
			return nil, nil, err
		}
	}
	database, err := openDatabase(path)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "storage: open %s", path)
	}
	d := &Disk{database: database}
	state, err := d.read()
	if err != nil {
		_ = database.Close() // nothing was written
		return nil, nil, errors.Wrapf(err, "storage: read %s", path)
	}
	return d, state, nil
}

// Inspect reads the state in a folder without changing anything. It waits a second for a process that has the file
// open, and fails then. Its error is os.ErrNotExist where there is no file, and ErrNoIdentity where that has no state
// in it.
func Inspect(folder string) (*replication.PersistedState, error) {
	path := filepath.Join(folder, fileName)
	if _, err := os.Stat(path); err != nil {
		return nil, errors.Wrap(err, "storage: find the state")
	}
	database, err := bbolt.Open(path, 0o644, &bbolt.Options{ReadOnly: true, Timeout: lockTimeout})
	if err != nil {
		return nil, errors.Wrapf(err, "storage: open %s", path)
	}
	d := &Disk{database: database}
	defer func() { _ = d.Close() }() // it was opened to read
	state, err := d.read()
	return state, errors.Wrapf(err, "storage: read %s", path)
}

func openDatabase(path string) (*bbolt.DB, error) {
	return bbolt.Open(path, 0o644, &bbolt.Options{
		Timeout: lockTimeout, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType,
	})
}

// read returns all that is in the file.
func (d *Disk) read() (*replication.PersistedState, error) {
	state := &replication.PersistedState{}
	err := d.database.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if meta == nil || meta.Get(keyID) == nil {
			return ErrNoIdentity
		}
		state.ID = string(meta.Get(keyID))
		if err := decodeGob(meta.Get(keyHard), &state.Hard); err != nil {
			return errors.Wrap(err, "hard state")
		}
		if encoded := meta.Get(keySnapshot); encoded != nil {
			if err := decodeGob(encoded, &state.Snapshot); err != nil {
				return errors.Wrap(err, "snapshot")
			}
		}
		return tx.Bucket(bucketEntries).ForEach(func(key, encoded []byte) error {
			var e replication.Entry
			if err := decodeGob(encoded, &e); err != nil {
				return errors.Wrapf(err, "entry %x", key)
			}
			state.Entries = append(state.Entries, e)
			return nil
		})
	})
	return state, err
}

// Save writes a save of the replica and syncs it. See SaveAll.
func (d *Disk) Save(s replication.Save) error { return d.SaveAll([]replication.Save{s})[0] }

// SaveAll writes saves of the replica in their order and syncs them together, in one transaction. It returns an error or nil
// for each. On an error it is unclear whether the disk has the save, and the next one needs a snapshot: those without one
// that come before it are not written, with ErrSnapshotRequired.
func (d *Disk) SaveAll(saves []replication.Save) []error {
	errs := make([]error, len(saves))
	first := 0
	for ; d.snapshotRequired && first < len(saves) && saves[first].Snapshot == nil; first++ {
		errs[first] = ErrSnapshotRequired
	}
	if first == len(saves) {
		return errs
	}
	err := d.database.Update(func(tx *bbolt.Tx) error {
		for i := range saves[first:] {
			if err := write(tx, &saves[first+i]); err != nil {
				return err
			}
		}
		return nil
	})
	d.snapshotRequired = err != nil
	for i := first; i < len(saves); i++ {
		errs[i] = errors.Wrap(err, "storage: save")
	}
	return errs
}

func write(tx *bbolt.Tx, s *replication.Save) error {
	meta := tx.Bucket(bucketMeta)
	if err := putGob(meta, keyHard, s.Hard); err != nil {
		return err
	}
	switch {
	case s.Snapshot != nil:
		if err := tx.DeleteBucket(bucketEntries); err != nil {
			return err
		}
		if _, err := tx.CreateBucket(bucketEntries); err != nil {
			return err
		}
		return putGob(meta, keySnapshot, s.Snapshot)
	case s.Entry != nil:
		return putGob(tx.Bucket(bucketEntries), entryKey(s.Entry), s.Entry)
	}
	return nil
}

// entryKey orders the entries by their sequence.
func entryKey(e *replication.Entry) []byte {
	return binary.BigEndian.AppendUint64(nil, e.Position.Sequence)
}

// Close closes the state. What Save returned nil for is on the disk already.
func (d *Disk) Close() error { return d.database.Close() }
