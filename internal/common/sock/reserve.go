package sock

import (
	"fmt"
	"syscall"
)

// ReserveAddr returns an address of 127.0.0.1 whose port the kernel assigns to no other socket until release is called. A socket
// that is bound to the address, but does not listen, reserves it. Meanwhile a process may listen at the address, with net.Listen
// or ListenShared.
func ReserveAddr() (addr string, release func(), err error) {
	fd, addr, err := BindSocket(syscall.SO_REUSEADDR, reusePort)
	if err != nil {
		return "", nil, err
	}
	return addr, func() { _ = syscall.Close(fd) }, nil
}

// BindSocket returns the descriptor and the address of a TCP socket that is bound to a free port of 127.0.0.1 and does not
// listen. Before that it sets the given options of level SOL_SOCKET to 1. The caller closes the descriptor.
func BindSocket(options ...int) (fd int, addr string, err error) {
	fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, "", fmt.Errorf("socket: %w", err)
	}
	addr, err = bind(fd, options)
	if err != nil {
		_ = syscall.Close(fd)
		return 0, "", fmt.Errorf("reserve an address: %w", err)
	}
	return fd, addr, nil
}

// bind sets the options, binds the socket to a free port of 127.0.0.1 and returns its address.
func bind(fd int, options []int) (addr string, err error) {
	for _, option := range options {
		if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, option, 1); err != nil {
			return "", err
		}
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port), nil
}
