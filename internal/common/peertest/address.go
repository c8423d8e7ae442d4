package peertest

import (
	"net"
	"syscall"
	"testing"
	"time"

	"petrelhook/internal/common/sock"
)

// DeadAddr is an address at which nothing listens until the test ends. It is reserved, because a caller that retries might otherwise
// reach the peer of another test.
func DeadAddr(t testing.TB) string {
	t.Helper()
	return ReserveAddr(t)
}

// ReserveAddr is an address that a process may listen at and that the system gives nobody else until the test ends (sock.ReserveAddr).
func ReserveAddr(t testing.TB) string {
	t.Helper()
	addr, release, err := sock.ReserveAddr()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return addr
}

// FullBacklogAddr is the address of a listener whose queue is full, so that connections to it are never established.
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
	for { // until one is not established
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
}
