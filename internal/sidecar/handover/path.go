package handover

import (
	"errors"
	"fmt"
	"hash/crc32"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// Place is where processes of one sidecar meet.
type Place struct{ dir, base string }

// At is the place of the sidecar of a name that listens at an address, in a folder that its processes share.
func At(dir, name, listen string) Place {
	plain := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' {
			return r
		}
		return '_'
	}, name)
	return Place{dir, fmt.Sprintf("petrelhook-%.40s-%08x.sock", plain, crc32.ChecksumIEEE([]byte(name+"\x00"+listen)))}
}

func (p Place) path() string { return filepath.Join(p.dir, p.base) }

// maxPath is what the address of a Unix socket holds.
const maxPath = 107

// addr calls f with an address for a file of the folder; where the path is too long it goes by way of a descriptor.
func (p Place) addr(base string, f func(*net.UnixAddr) error) error {
	path := filepath.Join(p.dir, base)
	if len(path) > maxPath {
		dir, err := syscall.Open(p.dir, syscall.O_RDONLY|syscall.O_DIRECTORY|syscall.O_CLOEXEC, 0)
		if err != nil {
			return &os.PathError{Op: "open", Path: p.dir, Err: err}
		}
		defer syscall.Close(dir)
		path = fmt.Sprintf("/proc/self/fd/%d/%s", dir, base)
	}
	return f(&net.UnixAddr{Name: path, Net: "unix"})
}

// listen takes the place, from whoever had it. A socket left behind by a crash does no harm.
func (p Place) listen() (ln *net.UnixListener, err error) {
	own := fmt.Sprintf("%s.%d", p.base, os.Getpid())
	if err := os.Remove(filepath.Join(p.dir, own)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	err = p.addr(own, func(a *net.UnixAddr) error { ln, err = net.ListenUnix("unix", a); return err })
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then the name may be another's
	if err = os.Chmod(filepath.Join(p.dir, own), 0o600); err == nil {
		err = os.Rename(filepath.Join(p.dir, own), p.path())
	}
	if err != nil {
		ln.Close()
		return nil, err
	}
	return ln, nil
}
