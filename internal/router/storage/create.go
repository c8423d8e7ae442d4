package storage

import (
	"crypto/rand"
	"encoding/hex"
	"os"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"

	"petrelhook/internal/router/replication"
)

// newSuffix is of a file that is being written; it is renamed once it is complete.
const newSuffix = ".new"

// create makes an empty state in a file beside and renames it, so that there is all of it or none.
func create(folder, path, address string, genesis bool) error {
	temporary := path + newSuffix
	_ = os.Remove(temporary) // left by a start that was interrupted; if it stays, it cannot be opened or is overwritten
	if err := writeEmptyState(temporary, newIdentity(address), genesis); err != nil {
		return errors.Wrapf(err, "storage: make %s", temporary)
	}
	if err := os.Rename(temporary, path); err != nil {
		return errors.Wrap(err, "storage: put the new state in its place")
	}
	return syncFolder(folder)
}

// newIdentity draws the identity of a disk: one that is made anew at the same address is another member.
func newIdentity(address string) string {
	var random [8]byte
	rand.Read(random[:])
	return address + "/" + hex.EncodeToString(random[:])
}

func writeEmptyState(path, identity string, genesis bool) error {
	database, err := openDatabase(path)
	if err != nil {
		return err
	}
	err = database.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(bucketEntries); err != nil {
			return err
		}
		if err := meta.Put(keyID, []byte(identity)); err != nil {
			return err
		}
		return putGob(meta, keyHard, replication.HardState{Genesis: genesis})
	})
	if closeErr := database.Close(); err == nil {
		err = closeErr
	}
	return err
}

// syncFolder makes renames in a folder durable.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "storage: open the folder to sync it")
	}
	defer func() { _ = f.Close() }() // it was opened to read
	return errors.Wrapf(f.Sync(), "storage: sync %s", folder)
}
