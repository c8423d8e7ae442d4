package peertest

import (
	"errors"
	"net"
	"sync"
	"testing"
)

// AcceptedConns is a listener that keeps the connections it has accepted, so that a test can close them as the kernel does when the process
// ends: without the code that wraps them.
type AcceptedConns struct {
	net.Listener

	mutex sync.Mutex
	conns []net.Conn
}

// Accept implements net.Listener.
func (a *AcceptedConns) Accept() (net.Conn, error) {
	conn, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.conns = append(a.conns, conn)
	return conn, nil
}

// CloseConns closes the accepted connections that are still open.
func (a *AcceptedConns) CloseConns(t testing.TB) {
	t.Helper()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, conn := range a.conns {
		if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	}
}
