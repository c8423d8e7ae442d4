// Package storage keeps a replica's state on its disk: the state that a voter must not lose, the last snapshot, and the
// entries since then. It also keeps caches, which are files that may be lost (WriteCache). It does not interpret the
// entries.
//
// The state is one bbolt file, in which a transaction is either complete or absent. The design note says why it is not
// pebble: pebble terminates the process if its log cannot be written, and a full disk must not terminate a router.
//
// Invariants: after any power failure, and after damage to a meta page, Open returns the state of all saves for which Save returned
// nil, or an error; after a failed Save, saves without a snapshot are refused until a save with a snapshot succeeds.
//
// A Disk may be used by one goroutine at a time. The router makes all saves on a goroutine of their own, because a disk
// may hang. The caches have no state in memory, so different files may be written at the same time.
//
// The encoding is gob, with the field names of replication's types; the tests read a recorded disk in testdata/cfdfdec.
package storage

import (
	"bytes"
	"encoding/binary"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"petrelhook/internal/common/boltfile"
	"petrelhook/internal/router/replication"
)

const fileName = "replica.db"

// lockTimeout is how long bbolt waits for its lock. The file was not locked a moment before.
const lockTimeout = time.Second

// ErrSnapshotRequired is returned for a save without a snapshot after a failed save.
var ErrSnapshotRequired = errors.New("an earlier save failed: a snapshot is needed")

// ErrNoIdentity is returned for a file that does not contain the state of a replica.
var ErrNoIdentity = errors.New("the file does not contain a replica identity")

// ErrLocked is returned while another process has the file open.
var ErrLocked = errors.New("another process has it open")

// Buckets and keys of the file.
var (
	bucketMeta    = []byte("meta")
	bucketEntries = []byte("entries") // keyed by sequence, big-endian
	keyID         = []byte("id")
	keyHard       = []byte("hard")
	keySnapshot   = []byte("snapshot")
)

// Disk is the open state of a replica. Its methods may be called by one goroutine at a time.
type Disk struct {
	database         *bbolt.DB
	snapshotRequired bool // the last save failed
	damaged          bool // found in a save: nothing is written any more
	restored         bool
}

// Restored reports whether Open has completed the last transaction of the file, whose meta page was damaged or torn.
func (d *Disk) Restored() bool { return d.restored }

// Open opens the state in a folder, or creates an empty state: address becomes part of the replica's identity, and genesis
// says that this is the first start of the whole system. Its error is ErrLocked while another process has the file open,
// ErrDamaged if the file is damaged, and ErrNoIdentity if it does not contain the state of a replica; these leave the file as it is.
// After an error nothing is open, and Open may be called again. The caller closes the Disk, and may keep the state that is returned.
func Open(folder, address string, genesis bool) (*Disk, *replication.PersistedState, error) {
	path := filepath.Join(folder, fileName)
	if err := createFolder(folder); err != nil {
		return nil, nil, err
	}
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		if err := create(folder, path, address, genesis); err != nil {
			return nil, nil, err
		}
	}
	lost, err := verify(path)
	if err == nil && lost != nil {
		err = restore(lost, path)
	}
	if err != nil {
		return nil, nil, errors.Wrapf(err, "storage: open %s", path)
	}
	d, state, err := openVerified(path, openDatabase)
	if err == nil {
		d.restored = lost != nil
	}
	return d, state, err
}

// openVerified opens a file and reads the state in it. After an error nothing is open.
func openVerified(path string, openDatabase func(path string) (*bbolt.DB, error)) (*Disk, *replication.PersistedState, error) {
	d := &Disk{}
	err := guard(func() (err error) {
		d.database, err = openDatabase(path)
		return err
	})
	if err != nil {
		return nil, nil, errors.Wrapf(err, "storage: open %s", path)
	}
	var state *replication.PersistedState
	err = guard(func() (err error) {
		state, err = d.read()
		return err
	})
	if err != nil {
		_ = d.Close() // nothing was written
		return nil, nil, errors.Wrapf(err, "storage: read %s", path)
	}
	return d, state, nil
}

// Inspect reads the state in a folder without changing anything. Its error is ErrLocked while another process has the file open,
// os.ErrNotExist if there is no file, ErrDamaged if it is damaged, and ErrNoIdentity if it does not contain the state of a replica.
func Inspect(folder string) (*replication.PersistedState, error) {
	path := filepath.Join(folder, fileName)
	if _, err := os.Stat(path); err != nil {
		return nil, errors.Wrap(err, "storage: stat state file")
	}
	lost, err := verify(path)
	if err != nil {
		return nil, errors.Wrapf(err, "storage: open %s", path)
	}
	if lost != nil {
		return inspectCopy(lost)
	}
	d, state, err := openVerified(path, openReadOnly)
	if err != nil {
		return nil, err
	}
	_ = d.Close() // opened for reading only
	return state, nil
}

// inspectCopy returns the state that a start would restore.
func inspectCopy(lost *boltfile.LostCommit) (*replication.PersistedState, error) {
	folder, err := os.MkdirTemp("", "petrelhook-inspect-")
	if err != nil {
		return nil, errors.Wrap(err, "storage: copy the state file")
	}
	defer func() { _ = os.RemoveAll(folder) }() // it only holds the copy
	return readCopy(lost, filepath.Join(folder, fileName))
}

func openReadOnly(path string) (*bbolt.DB, error) {
	return openWith(path, &bbolt.Options{ReadOnly: true, Timeout: lockTimeout})
}

func openDatabase(path string) (*bbolt.DB, error) {
	return openWith(path, &bbolt.Options{Timeout: lockTimeout, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType})
}

// openWith opens a bbolt file. Its error is ErrLocked if another process has it open.
func openWith(path string, options *bbolt.Options) (*bbolt.DB, error) {
	database, err := bbolt.Open(path, 0o644, options)
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, ErrLocked
	}
	return database, err
}

// read returns the complete state in the file.
func (d *Disk) read() (*replication.PersistedState, error) {
	state := &replication.PersistedState{}
	err := d.database.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if meta == nil || meta.Get(keyID) == nil {
			return ErrNoIdentity
		}
		state.ID = string(meta.Get(keyID))
		stored, hasChecksum, err := decodeGob(keyHard, meta.Get(keyHard), &state.Hard)
		if err != nil {
			return errors.Wrap(err, "hard state")
		}
		if tx.Bucket(bucketEntries) == nil {
			return damaged("there is no log")
		}
		if hasChecksum && !bytes.Equal(stored, digest(tx)) {
			return damaged("the state is not complete")
		}
		if encoded := meta.Get(keySnapshot); encoded != nil {
			if _, _, err := decodeGob(keySnapshot, encoded, &state.Snapshot); err != nil {
				return errors.Wrap(err, "snapshot")
			}
		}
		return tx.Bucket(bucketEntries).ForEach(func(key, encoded []byte) error {
			var e replication.Entry
			if _, _, err := decodeGob(key, encoded, &e); err != nil {
				return errors.Wrapf(err, "entry %x", key)
			}
			state.Entries = append(state.Entries, e)
			return nil
		})
	})
	return state, err
}

// Save writes one save of the replica and syncs it to the disk. See SaveAll.
func (d *Disk) Save(s replication.Save) error { return d.SaveAll([]replication.Save{s})[0] }

// SaveAll writes saves of the replica in order and syncs them together, in one transaction. The result has an error or
// nil for each save. After an error it is unknown whether the disk has the save, and the next save needs a snapshot: saves
// before the next snapshot are not written and return ErrSnapshotRequired. After ErrDamaged, which says that the file was damaged while
// it was in use, all saves fail with it.
func (d *Disk) SaveAll(saves []replication.Save) []error {
	errs := make([]error, len(saves))
	first := 0
	for ; d.snapshotRequired && first < len(saves) && saves[first].Snapshot == nil; first++ {
		errs[first] = ErrSnapshotRequired
	}
	if first == len(saves) {
		return errs
	}
	err := d.update(saves[first:])
	d.snapshotRequired = err != nil
	for i := first; i < len(saves); i++ {
		errs[i] = errors.Wrap(err, "storage: save")
	}
	return errs
}

// update writes saves in one transaction.
func (d *Disk) update(saves []replication.Save) error {
	if d.damaged {
		return ErrDamaged
	}
	err := guard(func() error {
		return d.database.Update(func(tx *bbolt.Tx) error {
			for i := range saves {
				if err := write(tx, &saves[i]); err != nil {
					return err
				}
			}
			return complete(tx, saves[len(saves)-1].Hard)
		})
	})
	d.damaged = errors.Is(err, ErrDamaged)
	return err
}

// complete stores the hard state with the digest of everything else, and numbers the transaction so that it is found where its meta page is
// damaged. It is the last step of a transaction.
func complete(tx *bbolt.Tx, hard replication.HardState) error {
	meta := tx.Bucket(bucketMeta)
	if err := meta.SetSequence(uint64(tx.ID())); err != nil { // transactions are counted from 1
		return err
	}
	return putGob(meta, keyHard, hard, digest(tx)...)
}

// write stores the snapshot or the entry of a save.
func write(tx *bbolt.Tx, s *replication.Save) error {
	switch {
	case s.Snapshot != nil:
		if err := tx.DeleteBucket(bucketEntries); err != nil {
			return err
		}
		if _, err := tx.CreateBucket(bucketEntries); err != nil {
			return err
		}
		return putGob(tx.Bucket(bucketMeta), keySnapshot, s.Snapshot)
	case s.Entry != nil:
		return putGob(tx.Bucket(bucketEntries), entryKey(s.Entry), s.Entry)
	}
	return nil
}

// entryKey returns a key that sorts entries by sequence.
func entryKey(e *replication.Entry) []byte {
	return binary.BigEndian.AppendUint64(nil, e.Position.Sequence)
}

// Close closes the file. All saves for which Save returned nil are already on the disk. A damaged file is closed with the process,
// because locks of the database may still be held.
func (d *Disk) Close() error {
	if d.damaged {
		return nil
	}
	return d.database.Close()
}
