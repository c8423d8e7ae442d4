// Package sock has functions on connections and listeners that package net lacks: whether a connection is quiet or has ended, an end by
// reset, and listeners that two processes share or that wait for an address. It works on TCP and, apart from listeners, on connections
// that have methods of the same names, such as those in memory of the rig's package memnet. Its functions are safe for concurrent use.
package sock

import (
	"context"
	"errors"
	"net"
	"syscall"
	"unsafe"
)

// Quiet reports whether a connection is open and has no unread bytes. It does not wait.
func Quiet(c net.Conn) bool {
	if q, ok := c.(interface{ Quiet() bool }); ok { // a connection that implements it, as those in memory do
		return q.Quiet()
	}
	_, err := peek(c)
	return errors.Is(err, syscall.EAGAIN)
}

// Ended reports whether the peer has closed its sending side, or the connection, and no bytes before that are unread. It does not wait.
func Ended(c net.Conn) bool {
	if e, ok := c.(interface{ Ended() bool }); ok {
		return e.Ended()
	}
	n, err := peek(c)
	return n <= 0 && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) && !errors.Is(err, errors.ErrUnsupported)
}

// peek reads one byte without consuming it. It does not wait.
func peek(c net.Conn) (n int, err error) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	failed := control(t, func(fd int) error {
		var b [1]byte
		n, _, err = syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err
	})
	return n, failed
}

// Unsent reports whether bytes that were written have not been acknowledged by the peer's machine. It is false if that cannot be
// determined.
func Unsent(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	var n int32
	failed := control(t, func(fd int) error {
		if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, uintptr(fd), syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n))); errno != 0 {
			return errno
		}
		return nil
	})
	return failed == nil && n > 0
}

// reusePort is SO_REUSEPORT, which package syscall does not name on every architecture. The number is the same on all of Linux that Go
// supports but MIPS; there the option is refused, and two processes cannot share an address.
const reusePort = 0xf

// ListenShared listens at an address at which another process of the same user may listen too, if it uses ListenShared as well.
func ListenShared(addr string) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if failed := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, reusePort, 1) }); failed != nil {
			return failed
		}
		return err
	}}
	c.SetMultipathTCP(false) // its listeners accept no filter, which Yield needs
	ln, err := c.Listen(context.Background(), "tcp", addr)
	if err == nil {
		_ = unyield(ln) // an error means that there was no filter
	}
	return ln, err
}

const (
	attachReusePortCBPF = 0x33 // SO_ATTACH_REUSEPORT_CBPF
	detachReusePortBPF  = 0x44 // SO_DETACH_REUSEPORT_BPF
)

// Yield directs new connections to the other process that listens at the same address; both use ListenShared, and this one listened
// first. Connections in this listener's queue are still to be accepted: closing the listener resets them. If no other process listens,
// nothing changes. An error means that the listener is not one of ListenShared, or that the kernel has refused the filter: new
// connections then go to either process.
//
// The kernel asks a filter which socket of the group takes a connection; this one selects the second. If there is none, the
// kernel uses its own choice.
func Yield(ln net.Listener) error {
	return control(ln, func(fd int) error {
		second := []syscall.SockFilter{{Code: syscall.BPF_RET | syscall.BPF_K, K: 1}}
		prog := syscall.SockFprog{Len: uint16(len(second)), Filter: &second[0]}
		_, _, errno := syscall.Syscall6(syscall.SYS_SETSOCKOPT, uintptr(fd), syscall.SOL_SOCKET, attachReusePortCBPF,
			uintptr(unsafe.Pointer(&prog)), unsafe.Sizeof(prog), 0)
		if errno != 0 {
			return errno
		}
		return nil
	})
}

// unyield removes the filter of an earlier process at the address: it belongs to the group of sockets, and outlives the process.
func unyield(ln net.Listener) error {
	return control(ln, func(fd int) error { return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, detachReusePortBPF, 0) })
}

// control calls f with the descriptor of a connection or listener.
func control(of any, f func(fd int) error) error {
	c, ok := of.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	if failed := raw.Control(func(fd uintptr) { err = f(int(fd)) }); failed != nil {
		return failed
	}
	return err
}

// Abort closes a connection with a reset, where it can: unread and unsent bytes are dropped. The error is that of Close.
func Abort(c net.Conn) error {
	if t, ok := c.(interface{ SetLinger(int) error }); ok {
		t.SetLinger(0)
	}
	return c.Close()
}
