package sock

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// later is a listener at an address that another process still has.
type later struct {
	addr  string
	every time.Duration

	mu     sync.Mutex
	ln     net.Listener // nil: not yet
	closed chan struct{}
	once   sync.Once
}

// ListenLater listens at an address as soon as the process that has it lets it go; Accept waits for that too.
func ListenLater(addr string, every time.Duration) net.Listener {
	return &later{addr: addr, every: every, closed: make(chan struct{})}
}

// Taken reports whether an error says that another process has the address.
func Taken(err error) bool { return errors.Is(err, syscall.EADDRINUSE) }

func (l *later) Accept() (net.Conn, error) {
	for {
		ln, err := l.listen()
		if err == nil {
			return ln.Accept()
		}
		if !Taken(err) {
			return nil, err
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(l.every):
		}
	}
}

func (l *later) listen() (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	if l.ln == nil {
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			return nil, err
		}
		l.ln = ln
	}
	return l.ln, nil
}

// Close ends the listener, or the wait for the address.
func (l *later) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil {
		return l.ln.Close()
	}
	return nil
}

func (l *later) Addr() net.Addr {
	a, err := net.ResolveTCPAddr("tcp", l.addr)
	if err != nil {
		return &net.TCPAddr{}
	}
	return a
}
