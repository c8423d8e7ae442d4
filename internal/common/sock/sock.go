// Package sock has functions for connections and listeners that package net lacks. They report whether a connection is idle or
// has ended, close a connection with a reset, and open listeners that two processes share or that wait for an address to become
// free. They work on TCP on Linux. Quiet and Ended also work on connections that have a method of the same name, such as the
// in-memory ones of package memnet. The functions are safe for concurrent use.
package sock

import (
	"context"
	"errors"
	"net"
	"syscall"
	"unsafe"
)

// Quiet reports whether a connection is open and has no unread bytes. It does not block.
func Quiet(c net.Conn) bool {
	if conn, ok := c.(interface{ Quiet() bool }); ok { // such as an in-memory connection
		return conn.Quiet()
	}
	_, err := peek(c)
	return errors.Is(err, syscall.EAGAIN)
}

// Ended reports whether the peer has closed its sending side or the connection, and all bytes sent before that have been read. It
// does not block.
func Ended(c net.Conn) bool {
	if conn, ok := c.(interface{ Ended() bool }); ok {
		return conn.Ended()
	}
	n, err := peek(c)
	return n <= 0 && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) && !errors.Is(err, errors.ErrUnsupported)
}

// peek reads one byte without consuming it. It does not block.
func peek(c net.Conn) (n int, err error) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	controlErr := control(t, func(fd int) error {
		var b [1]byte
		n, _, err = syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err
	})
	return n, controlErr
}

// Unsent reports whether written bytes have not yet been acknowledged by the peer's kernel. It returns false if that cannot be
// determined.
func Unsent(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	var n int32
	controlErr := control(t, func(fd int) error {
		if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, uintptr(fd), syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n))); errno != 0 {
			return errno
		}
		return nil
	})
	return controlErr == nil && n > 0
}

// reusePort is SO_REUSEPORT, which package syscall does not define on every architecture. The number is the same on all Linux
// architectures that Go supports except MIPS; there setting the option fails, and two processes cannot share an address.
const reusePort = 0xf

// ListenShared listens at an address with SO_REUSEPORT: other processes of the same user may listen at it too if they also use
// ListenShared.
func ListenShared(addr string) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if controlErr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, reusePort, 1) }); controlErr != nil {
			return controlErr
		}
		return err
	}}
	c.SetMultipathTCP(false) // listeners with multipath TCP do not accept the filter of Yield
	ln, err := c.Listen(context.Background(), "tcp", addr)
	if err == nil {
		_ = unyield(ln) // an error means that there is no filter
	}
	return ln, err
}

const (
	attachReusePortCBPF = 0x33 // SO_ATTACH_REUSEPORT_CBPF
	detachReusePortBPF  = 0x44 // SO_DETACH_REUSEPORT_BPF
)

// Yield directs new connections to the other process that listens at the same address. Both processes use ListenShared, and the
// caller's process has listened first. The caller must still accept the connections in its listener's queue before it closes the
// listener, because closing resets them. If no other process listens, nothing changes. An error means that the listener was not
// opened by ListenShared, or that the kernel has refused the filter; new connections then go to either process.
//
// The filter tells the kernel which socket of the SO_REUSEPORT group gets a new connection. It always selects the second socket;
// if there is none, the kernel chooses by itself.
func Yield(ln net.Listener) error {
	return control(ln, func(fd int) error {
		selectSecond := []syscall.SockFilter{{Code: syscall.BPF_RET | syscall.BPF_K, K: 1}}
		prog := syscall.SockFprog{Len: uint16(len(selectSecond)), Filter: &selectSecond[0]}
		_, _, errno := syscall.Syscall6(syscall.SYS_SETSOCKOPT, uintptr(fd), syscall.SOL_SOCKET, attachReusePortCBPF,
			uintptr(unsafe.Pointer(&prog)), unsafe.Sizeof(prog), 0)
		if errno != 0 {
			return errno
		}
		return nil
	})
}

// unyield removes the filter that an earlier process at the address has set. A filter belongs to the group of sockets, so it
// outlives the process.
func unyield(ln net.Listener) error {
	return control(ln, func(fd int) error { return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, detachReusePortBPF, 0) })
}

// control calls f with the file descriptor of a connection or listener, and returns the error of f.
func control(connOrListener any, f func(fd int) error) error {
	c, ok := connOrListener.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	if controlErr := raw.Control(func(fd uintptr) { err = f(int(fd)) }); controlErr != nil {
		return controlErr
	}
	return err
}

// lingerer is a connection that can be closed with a reset.
type lingerer interface{ SetLinger(seconds int) error }

// ResetOnClose makes the close of a connection send a reset, or, where it is false, an ordinary end again; the end of the process closes
// connections too. It does nothing for a connection whose type has no method SetLinger.
func ResetOnClose(c net.Conn, reset bool) error {
	conn, ok := c.(lingerer)
	if !ok {
		return nil
	}
	seconds := 0
	if !reset {
		seconds = -1 // the default of the operating system
	}
	return conn.SetLinger(seconds)
}

// Abort closes a connection with a reset, if its type has a method SetLinger. Unread and unsent bytes are dropped. The error is
// that of Close.
func Abort(c net.Conn) error {
	_ = ResetOnClose(c, true) // Close fails too
	return c.Close()
}
