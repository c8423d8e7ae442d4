package transport

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout is a control function for dialers: a connection ends where the peer's machine leaves what was sent
// without an acknowledgement for so long.
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return userTimeout(d)
}

func userTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
