// Package storage keeps a replica's state on its disk: what a witness must not forget, the last snapshot, and the entries
// since. It is one bbolt file, in which a transaction is there whole or not at all.
//
// The design note says why it is not pebble: pebble ends the process where its log cannot be written, and a full disk
// must not end a sidecar.
//
// Invariants: what Save returned nil for is found by Open after any loss of power; after a failed Save nothing that needs it
// is taken until a save with a snapshot succeeds.
package storage

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/gob"
	"encoding/hex"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"

	"petrelhook/internal/router/replication"
)

const fileName = "replica.db"

// ErrGap is returned for a save that follows one that failed and has no snapshot.
var ErrGap = errors.New("an earlier save failed: a snapshot is needed")

var (
	bucketMeta    = []byte("meta")
	bucketEntries = []byte("entries")
	keyID         = []byte("id")
	keyHard       = []byte("hard")
	keySnapshot   = []byte("snapshot")
)

// Disk is an open state. Its methods are for one goroutine.
type Disk struct {
	database *bbolt.DB
	gap      bool
}

// Open opens the state in a folder, or makes an empty one: address becomes part of its identity, and genesis says that
// this is the first start of the whole system.
func Open(folder, address string, genesis bool) (*Disk, *replication.PersistedState, error) {
	path := filepath.Join(folder, fileName)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, nil, errors.Wrap(err, "storage")
	}
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		if err := create(folder, path, address, genesis); err != nil {
			return nil, nil, err
		}
	}
	database, err := open(path)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "storage: %s", path)
	}
	d := &Disk{database: database}
	kept, err := d.read()
	if err != nil {
		database.Close()
		return nil, nil, errors.Wrapf(err, "storage: %s", path)
	}
	return d, kept, nil
}

func open(path string) (*bbolt.DB, error) {
	return bbolt.Open(path, 0o644, &bbolt.Options{
		Timeout: time.Second, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType,
	})
}

// create makes the file beside and renames it, so that there is all of it or none.
func create(folder, path, address string, genesis bool) error {
	temporary := path + ".new"
	os.Remove(temporary)
	database, err := open(temporary)
	if err != nil {
		return errors.Wrapf(err, "storage: %s", temporary)
	}
	var random [8]byte
	rand.Read(random[:])
	err = database.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(bucketEntries); err != nil {
			return err
		}
		if err := meta.Put(keyID, []byte(address+"/"+hex.EncodeToString(random[:]))); err != nil {
			return err
		}
		return putGob(meta, keyHard, replication.HardState{Genesis: genesis})
	})
	if closed := database.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return errors.Wrapf(err, "storage: %s", temporary)
	}
	if err := os.Rename(temporary, path); err != nil {
		return errors.Wrap(err, "storage")
	}
	return syncFolder(folder)
}

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "storage")
	}
	defer f.Close()
	return errors.Wrapf(f.Sync(), "storage: sync %s", folder)
}

// Inspect reads the state in a folder without changing anything.
func Inspect(folder string) (*replication.PersistedState, error) {
	path := filepath.Join(folder, fileName)
	if _, err := os.Stat(path); err != nil {
		return nil, errors.Wrap(err, "storage")
	}
	database, err := bbolt.Open(path, 0o644, &bbolt.Options{ReadOnly: true, Timeout: time.Second})
	if err != nil {
		return nil, errors.Wrapf(err, "storage: %s", path)
	}
	d := &Disk{database: database}
	defer d.Close()
	return d.read()
}

func (d *Disk) read() (*replication.PersistedState, error) {
	kept := &replication.PersistedState{}
	err := d.database.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if meta == nil || meta.Get(keyID) == nil {
			return errors.New("no identity in it")
		}
		kept.ID = string(meta.Get(keyID))
		if err := getGob(meta, keyHard, &kept.Hard); err != nil {
			return errors.Wrap(err, "hard state")
		}
		if meta.Get(keySnapshot) != nil {
			if err := getGob(meta, keySnapshot, &kept.Snapshot); err != nil {
				return errors.Wrap(err, "snapshot")
			}
		}
		return tx.Bucket(bucketEntries).ForEach(func(key, value []byte) error {
			var e replication.Entry
			if err := gob.NewDecoder(bytes.NewReader(value)).Decode(&e); err != nil {
				return errors.Wrapf(err, "entry %x", key)
			}
			kept.Entries = append(kept.Entries, e)
			return nil
		})
	})
	return kept, err
}

// Save writes a save of the replica and syncs it.
func (d *Disk) Save(s replication.Save) error {
	if d.gap && s.Snapshot == nil {
		return ErrGap
	}
	err := d.database.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if err := putGob(meta, keyHard, s.Hard); err != nil {
			return err
		}
		if s.Snapshot != nil {
			if err := tx.DeleteBucket(bucketEntries); err != nil {
				return err
			}
			if _, err := tx.CreateBucket(bucketEntries); err != nil {
				return err
			}
			return putGob(meta, keySnapshot, s.Snapshot)
		}
		if s.Entry == nil {
			return nil
		}
		var key [8]byte
		binary.BigEndian.PutUint64(key[:], s.Entry.Position.Sequence)
		return putGob(tx.Bucket(bucketEntries), key[:], s.Entry)
	})
	d.gap = err != nil
	return errors.Wrap(err, "storage: save")
}

// Close closes the state.
func (d *Disk) Close() error { return d.database.Close() }

func putGob(bucket *bbolt.Bucket, key []byte, value any) error {
	var text bytes.Buffer
	if err := gob.NewEncoder(&text).Encode(value); err != nil {
		return err
	}
	return bucket.Put(key, text.Bytes())
}

func getGob(bucket *bbolt.Bucket, key []byte, value any) error {
	return gob.NewDecoder(bytes.NewReader(bucket.Get(key))).Decode(value)
}
