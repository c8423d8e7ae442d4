// Package boltfile checks bbolt files before bbolt opens them. bbolt trusts a file: where its structure is damaged, bbolt panics, also on
// goroutines of its own, follows pages in a circle for ever, or reads mapped pages that the file does not have, which is a memory fault. Where
// the meta page of the last transaction is damaged, bbolt opens the file with the state before that transaction.
//
// The package finds such a transaction (LostCommit) if its writer has numbered it: in each transaction, the sequence of one of the buckets
// in the root bucket is set to the number of the transaction. It knows nothing else of what a file holds. A process that opens the file after
// Verify has to expect what another process wrote between the two.
package boltfile

import (
	"errors"
	"fmt"
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// The errors of Verify.
var (
	// ErrLocked is returned while another process has the file open for writing.
	ErrLocked = errors.New("another process has the file open")
	// ErrDamaged is returned for a file that is not a complete bbolt file.
	ErrDamaged = errors.New("the file is damaged")
)

// damaged returns an error that is ErrDamaged and says what is wrong.
func damaged(format string, args ...any) error {
	return fmt.Errorf("%s: %w", fmt.Sprintf(format, args...), ErrDamaged)
}

// Verify checks the structure of a file. It does not check the values. lost is not nil if the file has the state before its last
// transaction. The error is ErrLocked, ErrDamaged or one of the file system.
func Verify(path string) (lost *LostCommit, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // opened for reading only
	if err := lock(file, unix.LOCK_SH); err != nil {
		return nil, err
	}
	content, err := io.ReadAll(file)
	if err != nil {
		return nil, err
	}
	offset, page, err := verifyContent(content)
	if err != nil || page == nil {
		return nil, err
	}
	return &LostCommit{path: path, offset: offset, metaPage: page}, nil
}

// lock locks a file until it is closed. Its error is ErrLocked while another process has a lock that excludes this one.
func lock(file *os.File, kind int) error {
	err := unix.Flock(int(file.Fd()), kind|unix.LOCK_NB)
	switch {
	case errors.Is(err, unix.EWOULDBLOCK):
		return ErrLocked
	case err != nil:
		return fmt.Errorf("lock: %w", err)
	}
	return nil
}

// verifyContent checks the structure of the content of a bbolt file. It returns the meta page of a lost commit with its offset, or nil.
func verifyContent(content []byte) (offset int64, lostMetaPage []byte, err error) {
	m, other, err := currentMeta(content)
	if err != nil {
		return 0, nil, err
	}
	if m.pages > uint64(len(content))/m.pageBytes {
		return 0, nil, damaged("%d bytes are fewer than %d pages", len(content), m.pages)
	}
	v := newVerifier(content, m)
	if err := v.verifyFile(); err != nil {
		return 0, nil, err
	}
	if other == m.transaction-1 {
		return 0, nil, nil
	}
	lost, err := v.findLostCommit()
	if err != nil || lost == nil {
		return 0, nil, err
	}
	return int64(lost.slot() * lost.pageBytes), lost.encode(), nil
}
