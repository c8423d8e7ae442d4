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

// maxSocketPath is the longest path, in bytes, that fits the address of a Unix socket.
const maxSocketPath = 107

// Rendezvous identifies the Unix socket at which a successor contacts the process in service: a file in a folder that they share.
type Rendezvous struct{ folder, fileName string }

// NewRendezvous returns the rendezvous of the sidecar with this name and listening address. Sidecars that differ in either use
// different socket files.
func NewRendezvous(folder, name, listen string) Rendezvous {
	printable := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' {
			return r
		}
		return '_'
	}, name)
	digest := crc32.ChecksumIEEE([]byte(name + "\x00" + listen))
	return Rendezvous{folder, fmt.Sprintf("petrelhook-%.40s-%08x.sock", printable, digest)}
}

// path returns the path of the socket file.
func (r Rendezvous) path() string { return filepath.Join(r.folder, r.fileName) }

// withAddr calls use with the socket address of a file in the folder. If the path is too long for an address, the address goes
// through /proc/self/fd and a descriptor of the folder, which stays open until use returns.
func (r Rendezvous) withAddr(fileName string, use func(*net.UnixAddr) error) error {
	path := filepath.Join(r.folder, fileName)
	if len(path) > maxSocketPath {
		folder, err := syscall.Open(r.folder, syscall.O_RDONLY|syscall.O_DIRECTORY|syscall.O_CLOEXEC, 0)
		if err != nil {
			return &os.PathError{Op: "open", Path: r.folder, Err: err}
		}
		defer func() { _ = syscall.Close(folder) }() // it was only read
		path = fmt.Sprintf("/proc/self/fd/%d/%s", folder, fileName)
	}
	return use(&net.UnixAddr{Name: path, Net: "unix"})
}

// listen listens at the rendezvous. It replaces the socket file of the process that listened before, or one that a crash left
// behind, by a rename, so that the file always belongs to exactly one process.
func (r Rendezvous) listen() (listener *net.UnixListener, err error) {
	ownName := fmt.Sprintf("%s.%d", r.fileName, os.Getpid())
	ownPath := filepath.Join(r.folder, ownName)
	if err := os.Remove(ownPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	err = r.withAddr(ownName, func(addr *net.UnixAddr) error { listener, err = net.ListenUnix("unix", addr); return err })
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // by then the file may belong to another process
	if err = os.Chmod(ownPath, 0o600); err == nil {
		err = os.Rename(ownPath, r.path())
	}
	if err != nil {
		listener.Close()
		return nil, err
	}
	return listener, nil
}
