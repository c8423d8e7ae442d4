package sock

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Delays between two attempts to accept a connection after an error.
const (
	firstAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay   = time.Second
)

// RetryAccept returns a listener whose Accept fails only with net.ErrClosed, after Close. Any other error, such as that of a process
// without free descriptors, passes: Accept reports it and tries again, with exponential backoff up to a second. onError may be nil; it is
// called from the goroutine of Accept.
func RetryAccept(listener net.Listener, onError func(error)) net.Listener {
	return &retryingListener{Listener: listener, onError: onError, closed: make(chan struct{})}
}

type retryingListener struct {
	net.Listener
	onError func(error)
	closed  chan struct{} // closed by Close
	once    sync.Once
}

// SyscallConn implements syscall.Conn, for options of the socket.
func (l *retryingListener) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := l.Listener.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Accept implements net.Listener.
func (l *retryingListener) Accept() (net.Conn, error) {
	for delay := firstAcceptDelay; ; delay = min(2*delay, maxAcceptDelay) {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if l.onError != nil {
			l.onError(err)
		}
		timer := time.NewTimer(delay)
		select {
		case <-l.closed:
			timer.Stop()
			return nil, net.ErrClosed
		case <-timer.C:
		}
	}
}

// Close implements net.Listener.
func (l *retryingListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
