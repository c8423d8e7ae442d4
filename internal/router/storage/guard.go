package storage

import (
	"os"
	"runtime/debug"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/common/boltfile"
	"petrelhook/internal/router/replication"
)

// restoredSuffix marks the copy of a file with which its last transaction is read before it is restored.
const restoredSuffix = ".restored"

// ErrDamaged is returned for a file that is not a complete bbolt file, or whose values do not match their checksums. It stays as it is: a
// router must not vote with a part of its state.
var ErrDamaged = errors.New("the file is damaged; move the folder away and start the router again, so that it joins as a new member")

// damaged returns an error that is ErrDamaged and says what is wrong.
func damaged(format string, args ...any) error {
	return errors.Wrapf(ErrDamaged, format, args...)
}

// verify checks the structure of a file. lost is not nil if the file has the state before its last transaction. The error is ErrLocked,
// ErrDamaged or one of the file system.
func verify(path string) (lost *boltfile.LostCommit, err error) {
	lost, err = boltfile.Verify(path)
	return lost, fromBoltfile(err)
}

// fromBoltfile returns an error of boltfile as one of this package.
func fromBoltfile(err error) error {
	switch {
	case errors.Is(err, boltfile.ErrLocked):
		return ErrLocked
	case errors.Is(err, boltfile.ErrDamaged):
		return damaged("%v", err)
	}
	return err
}

// restore completes the last transaction of a file, if its state can be read.
func restore(lost *boltfile.LostCommit, path string) error {
	if _, err := readCopy(lost, path+restoredSuffix); err != nil {
		return err
	}
	return fromBoltfile(lost.Restore())
}

// readCopy returns the state in a copy of a file in which the last transaction is complete. The copy is written to path, and removed.
func readCopy(lost *boltfile.LostCommit, path string) (*replication.PersistedState, error) {
	defer func() { _ = os.Remove(path) }() // one that stays is overwritten the next time
	if err := lost.WriteCopy(path); err != nil {
		return nil, fromBoltfile(err)
	}
	d, state, err := openVerified(path, openReadOnly)
	if err != nil {
		return nil, err
	}
	return state, d.Close()
}

// guard calls a function of bbolt and returns a panic of it, or a fault on a page of the mapped file, as ErrDamaged: a file may be
// damaged or truncated while it is in use. What the function has locked may stay locked, so that the database must not be used after such
// an error.
func guard(call func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if reason := recover(); reason != nil {
			err = damaged("%v", reason)
		}
	}()
	return call()
}
