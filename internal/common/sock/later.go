package sock

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// delayedListener is a listener for an address that another process may still use.
type delayedListener struct {
	listenFunc    func(addr string) (net.Listener, error)
	addr          string
	retryInterval time.Duration

	mu       sync.Mutex
	listener net.Listener // nil: it does not listen yet
	closed   chan struct{}
	once     sync.Once
}

// ListenLater returns a listener for an address that another process may still use. It returns at once. The listener's Accept
// calls listen, which is usually a wrapper of net.Listen, every retryInterval until the address is free, and then waits for a
// connection. Accept returns an error of listen other than "address in use" at once, because a retry does not help. The listener
// is safe for concurrent use.
func ListenLater(listen func(addr string) (net.Listener, error), addr string, retryInterval time.Duration) net.Listener {
	return &delayedListener{listenFunc: listen, addr: addr, retryInterval: retryInterval, closed: make(chan struct{})}
}

// IsAddressInUse reports whether an error of net.Listen means that another socket uses the address.
func IsAddressInUse(err error) bool { return errors.Is(err, syscall.EADDRINUSE) }

// Accept waits until the address is free, and then for a connection. It returns net.ErrClosed once the listener is closed.
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

// listen returns the underlying listener. The first successful call creates it.
func (l *delayedListener) listen() (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	if l.listener == nil {
		ln, err := l.listenFunc(l.addr)
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

// Addr returns the address, even before the listener listens; an empty address if it cannot be parsed.
func (l *delayedListener) Addr() net.Addr {
	a, err := net.ResolveTCPAddr("tcp", l.addr)
	if err != nil {
		return &net.TCPAddr{}
	}
	return a
}
