package storage

import (
	"runtime/debug"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/common/boltfile"
)

// ErrDamaged is returned for a file that is not a complete bbolt file, or whose values do not match their checksums. It stays as it is: a
// router must not vote with a part of its state.
var ErrDamaged = errors.New("the file is damaged; move the folder away and start the router again, so that it joins as a new member")

// damaged returns an error that is ErrDamaged and says what is wrong.
func damaged(format string, args ...any) error {
	return errors.Wrapf(ErrDamaged, format, args...)
}

// verify checks the structure of a file. Its error is ErrLocked, ErrDamaged or one of the file system.
func verify(path string) error {
	err := boltfile.Verify(path)
	switch {
	case errors.Is(err, boltfile.ErrLocked):
		return ErrLocked
	case errors.Is(err, boltfile.ErrDamaged):
		return damaged("%v", err)
	}
	return err
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
