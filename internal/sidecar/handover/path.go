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

// Rendezvous is where processes of one sidecar meet.
type Rendezvous struct{ folder, fileName string }

// NewRendezvous is the place of the sidecar of a name that listens at an address, in a folder that its processes share.
func NewRendezvous(dir, name, listen string) Rendezvous {
	plain := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' {
			return r
		}
		return '_'
	}, name)
	return Rendezvous{dir, fmt.Sprintf("petrelhook-%.40s-%08x.sock", plain, crc32.ChecksumIEEE([]byte(name+"\x00"+listen)))}
}

func (p Rendezvous) path() string { return filepath.Join(p.folder, p.fileName) }

// maxSocketPath is what the address of a Unix socket holds.
const maxSocketPath = 107

// withAddr calls f with an address for a file of the folder; where the path is too long it goes by way of a descriptor.
func (p Rendezvous) withAddr(base string, f func(*net.UnixAddr) error) error {
	path := filepath.Join(p.folder, base)
	if len(path) > maxSocketPath {
		dir, err := syscall.Open(p.folder, syscall.O_RDONLY|syscall.O_DIRECTORY|syscall.O_CLOEXEC, 0)
		if err != nil {
			return &os.PathError{Op: "open", Path: p.folder, Err: err}
		}
		defer syscall.Close(dir)
		path = fmt.Sprintf("/proc/self/fd/%d/%s", dir, base)
	}
	return f(&net.UnixAddr{Name: path, Net: "unix"})
}

// listen takes the place, from whoever had it. A socket left behind by a crash does no harm.
func (p Rendezvous) listen() (ln *net.UnixListener, err error) {
	own := fmt.Sprintf("%s.%d", p.fileName, os.Getpid())
	if err := os.Remove(filepath.Join(p.folder, own)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	err = p.withAddr(own, func(a *net.UnixAddr) error { ln, err = net.ListenUnix("unix", a); return err })
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then the name may be another's
	if err = os.Chmod(filepath.Join(p.folder, own), 0o600); err == nil {
		err = os.Rename(filepath.Join(p.folder, own), p.path())
	}
	if err != nil {
		ln.Close()
		return nil, err
	}
	return ln, nil
}
