package storage

import (
	"runtime/debug"
)

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
