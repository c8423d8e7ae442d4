// Package sock is what net does not offer of connections: whether one is quiet, and an end by reset. It works on TCP
// and on the connections of package memnet.
package sock

import (
	"context"
	"net"
	"syscall"
)

// Quiet reports whether a connection is open and nothing has come in on it that is still unread. It does not wait.
func Quiet(c net.Conn) bool {
	if q, ok := c.(interface{ Quiet() bool }); ok { // a connection that knows it itself, as those in memory do
		return q.Quiet()
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
	})
	return err == nil && open
}

// reusePort is SO_REUSEPORT, which package syscall does not name on every architecture; it is the same on those of Linux
// that Go runs on but MIPS, where the option is refused and its port is one process's.
const reusePort = 0xf

// ListenShared listens at an address that another process of the same user may listen at too, if it does so in this way.
func ListenShared(addr string) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if failed := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, reusePort, 1) }); failed != nil {
			return failed
		}
		return err
	}}
	return c.Listen(context.Background(), "tcp", addr)
}

// Abort closes a connection with a reset.
func Abort(c net.Conn) error {
	if t, ok := c.(interface{ SetLinger(int) error }); ok {
		t.SetLinger(0)
	}
	return c.Close()
}
