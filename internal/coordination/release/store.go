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

// ID identifies a release by its content: it is a hash of the hashes of the program and the settings.
type ID string

// Release holds the paths of a release in a store.
type Release struct {
	ID       ID
	Program  string // the path of the executable
	Settings string // the path of the settings file
}

// The names of the files in the folder of a release, and the prefix of the names of staging folders.
const (
	programName   = "program"
	settingsName  = "settings.json"
	stagingPrefix = ".adding-"
)

// Store is a folder of releases, each in a subfolder that is named by its ID. Any number of processes and goroutines may use it
// at the same time: a process that adds a release holds a lock on its staging folder, and NewStore removes only staging folders
// that are not locked.
type Store struct{ dir string }

// NewStore returns the store in a folder, which it creates if necessary. It removes the staging folders of additions and removals
// that were interrupted by the end of their process.
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

// removeAbandoned removes a staging folder unless it is locked.
func removeAbandoned(path string) error {
	lock, err := lockFolder(path)
	if errors.Is(err, errLocked) || errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	return errors.Join(os.RemoveAll(path), lock.Close())
}

// errLocked means that another process, or another call in this process, holds the lock of a folder.
var errLocked = errors.New("the folder is locked")

// lockFolder locks a folder until the returned file is closed or the process ends. It does not wait: the error is errLocked if
// the folder is locked, and os.ErrNotExist if it does not exist or was removed or renamed meanwhile.
func lockFolder(path string) (*os.File, error) {
	folder, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(folder.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		err = errLocked
	}
	if err == nil {
		_, err = os.Stat(path) // the previous holder of the lock may have removed or renamed the folder
	}
	if err != nil {
		return nil, errors.Join(err, folder.Close())
	}
	return folder, nil
}

// maxStagingAttempts bounds the staging folders that one addition creates. An attempt fails if a concurrent NewStore finds the
// new folder before it is locked, and removes it as abandoned.
const maxStagingAttempts = 10

// makeStaging creates a staging folder and locks it. The lock is released when the returned file is closed.
func (s *Store) makeStaging() (path string, lock *os.File, err error) {
	for range maxStagingAttempts {
		if path, err = os.MkdirTemp(s.dir, stagingPrefix); err != nil {
			return "", nil, err
		}
		lock, err = lockFolder(path)
		if err == nil {
			return path, lock, nil
		}
		if !errors.Is(err, errLocked) && !errors.Is(err, os.ErrNotExist) {
			break
		}
	}
	return "", nil, errors.Join(err, os.RemoveAll(path))
}

// idBytes is how many bytes of the hash an ID contains, each as two hexadecimal digits.
const idBytes = 16

// contentID returns the ID of a release from the hashes of its program and its settings.
func contentID(program, settings []byte) ID {
	sum := sha256.Sum256(append(append([]byte("petrelhook release 1\n"), program...), settings...))
	return ID(hex.EncodeToString(sum[:idBytes]))
}

// Add copies a program and its settings into the store. It writes them to a staging folder, syncs them and renames the folder, so
// that a release is completely on the disk when it becomes visible. If the store has the release already, Add verifies it and
// leaves it unchanged.
func (s *Store) Add(program, settings io.Reader) (Release, error) {
	staging, lock, err := s.makeStaging()
	if err != nil {
		return Release{}, err
	}
	defer func() { _ = lock.Close() }()          // releases the lock
	defer func() { _ = os.RemoveAll(staging) }() // has no effect after the rename; NewStore removes what remains after an error
	programHash, err := writeAndHash(filepath.Join(staging, programName), program, 0o500)
	if err != nil {
		return Release{}, err
	}
	settingsHash, err := writeAndHash(filepath.Join(staging, settingsName), settings, 0o400)
	if err != nil {
		return Release{}, err
	}
	id := contentID(programHash, settingsHash)
	if err := syncDir(staging); err != nil {
		return Release{}, err
	}
	if err := os.Rename(staging, filepath.Join(s.dir, string(id))); err != nil {
		if r, openErr := s.Open(id); openErr == nil { // the store has it already
			return r, nil
		}
		return Release{}, err
	}
	if err := syncDir(s.dir); err != nil {
		return Release{}, err
	}
	return s.Open(id)
}

// writeAndHash creates, writes and syncs a file, and returns the hash of its content. After an error a partial file may remain.
func writeAndHash(path string, content io.Reader, mode os.FileMode) (sum []byte, err error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return nil, err
	}
	h := sha256.New()
	_, err = io.Copy(io.MultiWriter(f, h), content)
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
	// ErrNotFound means that the release is not in the store.
	ErrNotFound = errors.New("there is no such release here")
	// ErrInvalidID means that an ID is malformed.
	ErrInvalidID = errors.New("no name of a release")
	// ErrDamaged means that the content of a release does not match its ID. Such a release can be removed.
	ErrDamaged = errors.New("damaged")
)

// check returns ErrInvalidID unless an ID has the form of those that contentID returns. Only such IDs are safe as names of
// folders in the store.
func (id ID) check() error {
	if text, err := hex.DecodeString(string(id)); err != nil || len(text) != idBytes {
		return fmt.Errorf("%q is %w: write %d hexadecimal digits", string(id), ErrInvalidID, hex.EncodedLen(idBytes))
	}
	return nil
}

// Open returns a release after it has verified the content against the ID. The error is ErrInvalidID, ErrNotFound,
// ErrDamaged (its text names the folder) or an error of the disk.
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

// Remove removes a release. It renames the folder first, so that no process opens a partly removed release.
func (s *Store) Remove(id ID) error {
	if _, err := s.Open(id); errors.Is(err, ErrInvalidID) || errors.Is(err, ErrNotFound) {
		return err // a damaged release is removed all the same
	}
	staging := filepath.Join(s.dir, stagingPrefix+string(id))
	if err := os.Rename(filepath.Join(s.dir, string(id)), staging); err != nil {
		return err
	}
	return errors.Join(os.RemoveAll(staging), syncDir(s.dir))
}
