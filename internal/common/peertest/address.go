package peertest

import (
	"net"
	"syscall"
	"testing"
	"time"

	"petrelhook/internal/common/sock"
)

// DeadAddr returns an address at which nothing listens until the test ends. The address is reserved, because a caller that
// retries might otherwise reach the peer of another test.
func DeadAddr(t testing.TB) string {
	t.Helper()
	return ReserveAddr(t)
}

// ReserveAddr returns an address that the test's own programs may listen at and that the kernel assigns to no other socket until
// the test ends; see sock.ReserveAddr.
func ReserveAddr(t testing.TB) string {
	t.Helper()
	addr, release, err := sock.ReserveAddr()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return addr
}

// FullBacklogAddr returns the address of a listener whose backlog is full, so that connections to it are never established.
func FullBacklogAddr(t testing.TB) string {
	t.Helper()
	fd, addr, err := sock.BindSocket()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	for { // until a connection is not established
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
}
