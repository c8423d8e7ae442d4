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

// maxSocketPath is the longest path that the address of a Unix socket holds.
const maxSocketPath = 107

// Rendezvous is the Unix socket at which the processes of one sidecar find each other: a file in a folder that they share.
type Rendezvous struct{ folder, fileName string }

// NewRendezvous returns the rendezvous of the sidecar with a name and a listening address. Sidecars that differ in either have different ones.
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

// path is that of the socket file.
func (r Rendezvous) path() string { return filepath.Join(r.folder, r.fileName) }

// withAddr calls use with the address of a file in the folder. Where the path is longer than an address holds it goes through a descriptor
// of the folder, which is open until use returns.
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

// listen listens at the rendezvous. It replaces the socket file of any process that listened before, or that a crash left behind, by a
// rename: at any moment the file is that of one process.
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
	listener.SetUnlinkOnClose(false) // by then the file may be another process'
	if err = os.Chmod(ownPath, 0o600); err == nil {
		err = os.Rename(ownPath, r.path())
	}
	if err != nil {
		listener.Close()
		return nil, err
	}
	return listener, nil
}
