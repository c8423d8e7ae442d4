package release

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// ID names a release by its content: the hash of the hashes of its program and its settings.
type ID string

// Release is a release in a store.
type Release struct {
	ID       ID
	Program  string // the path of the executable
	Settings string // the path of its settings
}

// The files of a release's folder, and the prefix of folders of releases that are being added or removed.
const (
	programName   = "program"
	settingsName  = "settings.json"
	stagingPrefix = ".adding-"
)

// Store is a folder of releases, each in a folder that is named by its ID. Any number of processes may use it at the same time: one that adds
// a release holds a lock on its staging folder, and NewStore removes only those that nobody holds.
type Store struct{ dir string }

// NewStore returns the store in a folder, which is made if it is not there. What a process had begun to add or to remove before it ended is
// removed.
func NewStore(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if !strings.HasPrefix(e.Name(), stagingPrefix) {
			continue
		}
		if err := removeAbandoned(filepath.Join(dir, e.Name())); err != nil {
			return nil, err
		}
	}
	return &Store{dir}, nil
}

// removeAbandoned removes a staging folder unless a process holds it.
func removeAbandoned(path string) error {
	lock, err := lockFolder(path)
	if errors.Is(err, errHeld) || errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	return errors.Join(os.RemoveAll(path), lock.Close())
}

// errHeld says that another process, or another call of this one, holds a folder's lock.
var errHeld = errors.New("the folder is locked")

// lockFolder locks a folder until the returned file is closed, or the process ends. It does not wait: the error is errHeld if the folder is
// locked, and os.ErrNotExist if it is not there or is removed at this moment.
func lockFolder(path string) (*os.File, error) {
	folder, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(folder.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		err = errHeld
	}
	if err == nil {
		_, err = os.Stat(path) // whoever had the lock before may have removed or renamed the folder
	}
	if err != nil {
		return nil, errors.Join(err, folder.Close())
	}
	return folder, nil
}

// maxStagingAttempts is how many staging folders an addition makes before it gives up: one that is not locked yet may be taken for abandoned
// by a NewStore at the same moment.
const maxStagingAttempts = 10

// makeStaging makes a staging folder and locks it.
func (s *Store) makeStaging() (path string, lock *os.File, err error) {
	for range maxStagingAttempts {
		if path, err = os.MkdirTemp(s.dir, stagingPrefix); err != nil {
			return "", nil, err
		}
		lock, err = lockFolder(path)
		if err == nil {
			return path, lock, nil
		}
		if !errors.Is(err, errHeld) && !errors.Is(err, os.ErrNotExist) {
			break
		}
	}
	return "", nil, errors.Join(err, os.RemoveAll(path))
}

// idBytes is how many bytes of a hash an ID has, each as two hexadecimal digits.
const idBytes = 16

// contentID returns the ID of a release from the hashes of its program and its settings.
func contentID(program, settings []byte) ID {
	sum := sha256.Sum256(append(append([]byte("petrelhook release 1\n"), program...), settings...))
	return ID(hex.EncodeToString(sum[:idBytes]))
}

// Add copies a program and its settings into the store. They are written to a staging folder and synced, and the folder is renamed, so that
// a release is complete on the disk when it is first seen. A release that is there already is checked and left as it is.
func (s *Store) Add(program, settings io.Reader) (Release, error) {
	staging, lock, err := s.makeStaging()
	if err != nil {
		return Release{}, err
	}
	defer func() { _ = lock.Close() }()          // it holds nothing but the lock
	defer func() { _ = os.RemoveAll(staging) }() // renamed after success; otherwise NewStore removes what is left
	p, err := writeAndHash(filepath.Join(staging, programName), program, 0o500)
	if err != nil {
		return Release{}, err
	}
	c, err := writeAndHash(filepath.Join(staging, settingsName), settings, 0o400)
	if err != nil {
		return Release{}, err
	}
	id := contentID(p, c)
	if err := syncDir(staging); err != nil {
		return Release{}, err
	}
	if err := os.Rename(staging, filepath.Join(s.dir, string(id))); err != nil {
		if r, failed := s.Open(id); failed == nil { // it was there before
			return r, nil
		}
		return Release{}, err
	}
	if err := syncDir(s.dir); err != nil {
		return Release{}, err
	}
	return s.Open(id)
}

// writeAndHash writes and syncs a file and returns the hash of its content. After a failure the file may be there in part.
func writeAndHash(path string, from io.Reader, mode os.FileMode) (sum []byte, err error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return nil, err
	}
	h := sha256.New()
	_, err = io.Copy(io.MultiWriter(f, h), from)
	if err == nil {
		err = f.Sync()
	}
	return h.Sum(nil), errors.Join(err, f.Close())
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Errors of Open and Remove.
var (
	// ErrNotFound says that the release is not in the store.
	ErrNotFound = errors.New("there is no such release here")
	// ErrInvalidID says that an ID has not the form of one.
	ErrInvalidID = errors.New("no name of a release")
	// ErrDamaged says that the content of a release is not that of its ID. Such a release can be removed.
	ErrDamaged = errors.New("damaged")
)

// check returns ErrInvalidID unless an ID has the form that contentID returns. Only then it names a folder in the store.
func (id ID) check() error {
	if text, err := hex.DecodeString(string(id)); err != nil || len(text) != idBytes {
		return fmt.Errorf("%q is %w: write %d hexadecimal digits", string(id), ErrInvalidID, hex.EncodedLen(idBytes))
	}
	return nil
}

// Open returns a release after it has checked that the content is that of the ID. The error for another content names the folder.
func (s *Store) Open(id ID) (Release, error) {
	if err := id.check(); err != nil {
		return Release{}, err
	}
	dir := filepath.Join(s.dir, string(id))
	r := Release{id, filepath.Join(dir, programName), filepath.Join(dir, settingsName)}
	var sums [2][]byte
	for i, path := range []string{r.Program, r.Settings} {
		f, err := os.Open(path)
		if errors.Is(err, os.ErrNotExist) && i == 0 {
			return Release{}, fmt.Errorf("%s: %w", id, ErrNotFound)
		}
		if err != nil {
			return Release{}, err
		}
		h := sha256.New()
		_, err = io.Copy(h, f)
		if err := errors.Join(err, f.Close()); err != nil {
			return Release{}, err
		}
		sums[i] = h.Sum(nil)
	}
	if got := contentID(sums[0], sums[1]); got != id {
		return Release{}, fmt.Errorf("%s: %w: its content is that of %s; add it again", dir, ErrDamaged, got)
	}
	return r, nil
}

// Remove removes a release. The folder is renamed first, so that no one opens a part of it.
func (s *Store) Remove(id ID) error {
	if _, err := s.Open(id); errors.Is(err, ErrInvalidID) || errors.Is(err, ErrNotFound) {
		return err // a damaged release is removed
	}
	away := filepath.Join(s.dir, stagingPrefix+string(id))
	if err := os.Rename(filepath.Join(s.dir, string(id)), away); err != nil {
		return err
	}
	return errors.Join(os.RemoveAll(away), syncDir(s.dir))
}
