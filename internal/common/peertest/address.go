package peertest

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// DeadAddr is an address at which nothing listens until the test ends. It is reserved, because a caller that retries might otherwise
// reach the peer of another test.
func DeadAddr(t testing.TB) string {
	t.Helper()
	return ReserveAddr(t)
}

// ReserveAddr is an address that a process may listen at and that the system gives nobody else until the test ends: a socket that does not
// listen is bound to it.
func ReserveAddr(t testing.TB) string {
	t.Helper()
	const reusePort = 0xf // SO_REUSEPORT, which package syscall does not name on every architecture
	_, addr := bindSocket(t, syscall.SO_REUSEADDR, reusePort)
	return addr
}

// FullBacklogAddr is the address of a listener whose queue is full, so that connections to it are never established.
func FullBacklogAddr(t testing.TB) string {
	t.Helper()
	fd, addr := bindSocket(t)
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

// bindSocket binds a TCP socket, with options of SOL_SOCKET set to 1, to a free port on loopback. It is closed with the test.
func bindSocket(t testing.TB, options ...int) (fd int, addr string) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	for _, option := range options {
		if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, option, 1); err != nil {
			t.Fatal(err)
		}
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fd, fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}
