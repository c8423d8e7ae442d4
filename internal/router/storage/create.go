package storage

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"

	"petrelhook/internal/router/replication"
)

// newSuffix marks a file that is still being written; the file is renamed once it is complete.
const newSuffix = ".new"

// create writes an empty state to a temporary file and renames it, so that the state exists completely or not at all.
func create(folder, path, address string, genesis bool) error {
	temporary := path + newSuffix
	_ = os.Remove(temporary) // left by an interrupted start; if it cannot be removed, it is overwritten or opening it fails
	if err := writeEmptyState(temporary, newIdentity(address), genesis); err != nil {
		return errors.Wrapf(err, "storage: create %s", temporary)
	}
	if err := os.Rename(temporary, path); err != nil {
		return errors.Wrap(err, "storage: rename the new state")
	}
	return syncFolder(folder)
}

// newIdentity returns a random identity for a disk: a disk that is created again at the same address is another member.
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
		return complete(tx, replication.HardState{Genesis: genesis})
	})
	if closeErr := database.Close(); err == nil {
		err = closeErr
	}
	return err
}

// createFolder creates a folder with its parents, unless it is there. The names of the created folders are durable afterwards: without
// that a power failure could take the complete state of a first start with it.
func createFolder(folder string) error {
	info, err := os.Stat(folder)
	switch {
	case err == nil && info.IsDir():
		return nil
	case err == nil:
		err = &os.PathError{Op: "mkdir", Path: folder, Err: syscall.ENOTDIR}
	case errors.Is(err, os.ErrNotExist) && filepath.Dir(folder) != folder:
		return createInParent(folder)
	}
	return errors.Wrap(err, "storage: create folder")
}

// createInParent creates a folder that is not there.
func createInParent(folder string) error {
	parent := filepath.Dir(folder)
	if err := createFolder(parent); err != nil {
		return err
	}
	if err := os.Mkdir(folder, 0o755); err != nil {
		return errors.Wrap(err, "storage: create folder")
	}
	return syncFolder(parent)
}

// syncFolder makes renames in a folder durable.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "storage: open folder for sync")
	}
	defer func() { _ = f.Close() }() // opened for reading only
	return errors.Wrapf(f.Sync(), "storage: sync %s", folder)
}
