package sock

import (
	"fmt"
	"syscall"
)

// ReserveAddr returns an address of 127.0.0.1 that the system gives nobody else until release is called: a socket that does not listen is
// bound to it. A process may listen at the address meanwhile, alone or with ListenShared.
func ReserveAddr() (addr string, release func(), err error) {
	fd, addr, err := BindSocket(syscall.SO_REUSEADDR, reusePort)
	if err != nil {
		return "", nil, err
	}
	return addr, func() { _ = syscall.Close(fd) }, nil
}

// BindSocket returns the descriptor of a TCP socket that is bound to a free port of 127.0.0.1, after options of SOL_SOCKET were set to 1.
// The caller closes it.
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
