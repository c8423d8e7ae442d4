package sock

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// delayedListener listens at an address that another process may still have.
type delayedListener struct {
	listenAt      func(addr string) (net.Listener, error)
	addr          string
	retryInterval time.Duration

	mu       sync.Mutex
	listener net.Listener // nil: the address is not free yet
	closed   chan struct{}
	once     sync.Once
}

// ListenLater listens at an address, with a function such as one that calls net.Listen, as soon as the process that has it releases it. It returns at once: Accept attempts to listen, at an
// interval, until the address is free, and then waits for a connection. An error of Accept other than net.ErrClosed is of an address that
// cannot be listened at, whoever has it.
func ListenLater(listen func(addr string) (net.Listener, error), addr string, retryInterval time.Duration) net.Listener {
	return &delayedListener{listenAt: listen, addr: addr, retryInterval: retryInterval, closed: make(chan struct{})}
}

// IsAddressInUse reports whether an error of a listen means that another process has the address.
func IsAddressInUse(err error) bool { return errors.Is(err, syscall.EADDRINUSE) }

// Accept waits until the address is free, and then for a connection.
func (l *delayedListener) Accept() (net.Conn, error) {
	for {
		ln, err := l.listen()
		if err == nil {
			return ln.Accept()
		}
		if !IsAddressInUse(err) {
			return nil, err
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(l.retryInterval):
		}
	}
}

// listen returns the listener, and makes it if there is none yet.
func (l *delayedListener) listen() (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	if l.listener == nil {
		ln, err := l.listenAt(l.addr)
		if err != nil {
			return nil, err
		}
		l.listener = ln
	}
	return l.listener, nil
}

// Close closes the listener, or ends the wait for the address.
func (l *delayedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		return l.listener.Close()
	}
	return nil
}

// Addr is the address, also before it is free; an empty one if it cannot be parsed.
func (l *delayedListener) Addr() net.Addr {
	a, err := net.ResolveTCPAddr("tcp", l.addr)
	if err != nil {
		return &net.TCPAddr{}
	}
	return a
}
