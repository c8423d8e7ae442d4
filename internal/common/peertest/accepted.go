package peertest

import (
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
	if err == nil {
		a.mutex.Lock()
		a.conns = append(a.conns, conn)
		a.mutex.Unlock()
	}
	return conn, err
}

// CloseConns closes the accepted connections.
func (a *AcceptedConns) CloseConns(t testing.TB) {
	t.Helper()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, conn := range a.conns {
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
	}
}
