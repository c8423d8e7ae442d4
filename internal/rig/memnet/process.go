package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Process is what one process uses of a network: its listeners and connections end with it, as those of a process of the operating system
// do that is killed. It is safe for concurrent use.
type Process struct {
	network *Network

	mu        sync.Mutex
	killed    bool
	conns     map[*processConn]struct{}
	listeners map[*ProcessListener]struct{}
}

// NewProcess returns a process without connections.
func (n *Network) NewProcess() *Process {
	return &Process{network: n, conns: map[*processConn]struct{}{}, listeners: map[*ProcessListener]struct{}{}}
}

// deadDialDelay is how long a dial of a killed process takes before it fails: what is left of its code may dial again and again.
const deadDialDelay = 50 * time.Millisecond

// Kill ends all listeners and connections. Connections are reset; bytes that were written before arrive. From then on nothing of the
// process reaches the network.
func (p *Process) Kill() {
	p.mu.Lock()
	p.killed = true
	conns, listeners := p.conns, p.listeners
	p.conns, p.listeners = nil, nil
	p.mu.Unlock()
	for l := range listeners {
		_ = l.Listener.Close() // it has no error
	}
	for c := range conns {
		_ = c.SetLinger(0) // it has no error
		_ = c.Conn.Close() // an error says that it is closed
	}
}

// Killed reports whether Kill was called.
func (p *Process) Killed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// Dial is Network.Dial for the process. After Kill it fails.
func (p *Process) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if p.Killed() {
		_ = sleep(ctx, deadDialDelay)
		return nil, fmt.Errorf("dial %s: the process was killed: %w", addr, net.ErrClosed)
	}
	c, err := p.network.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return p.Adopt(c)
}

// Listen is Network.Listen for the process. After Kill it fails.
func (p *Process) Listen(addr string) (net.Listener, error) {
	if p.Killed() {
		return nil, fmt.Errorf("listen at %s: the process was killed: %w", addr, net.ErrClosed)
	}
	l, err := p.network.Listen(addr)
	if err != nil {
		return nil, err
	}
	return p.adoptListener(l.(*Listener))
}

// Duplicate returns a listener of the process at the queue of another process's listener, as a process has that was passed the socket.
func (p *Process) Duplicate(of *ProcessListener) (*ProcessListener, error) {
	l, err := of.Listener.Duplicate()
	if err != nil {
		return nil, err
	}
	return p.adoptListener(l)
}

// Adopt makes a connection of the network one of the process. Where the process was killed meanwhile it is closed.
func (p *Process) Adopt(conn net.Conn) (net.Conn, error) {
	c := &processConn{Conn: conn.(*Conn), process: p}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed {
		_ = c.Conn.Close() // nothing was written
		return nil, net.ErrClosed
	}
	p.conns[c] = struct{}{}
	return c, nil
}

// adoptListener makes a listener of the network one of the process.
func (p *Process) adoptListener(l *Listener) (*ProcessListener, error) {
	own := &ProcessListener{Listener: l, process: p}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed {
		_ = l.Close() // it has no error
		return nil, net.ErrClosed
	}
	p.listeners[own] = struct{}{}
	return own, nil
}

// processConn is a connection of a process.
type processConn struct {
	*Conn
	process *Process
}

// Close closes the connection.
func (c *processConn) Close() error {
	c.process.mu.Lock()
	delete(c.process.conns, c)
	c.process.mu.Unlock()
	return c.Conn.Close()
}

// ProcessListener is a listener of a process.
type ProcessListener struct {
	*Listener
	process *Process
}

// Accept waits for the next connection.
func (l *ProcessListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.process.Adopt(c)
}

// Close stops listening.
func (l *ProcessListener) Close() error {
	l.process.mu.Lock()
	delete(l.process.listeners, l)
	l.process.mu.Unlock()
	return l.Listener.Close()
}
