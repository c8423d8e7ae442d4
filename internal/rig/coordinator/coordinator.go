// Package coordinator is a coordinator of leases in this process, for examples and tests that put no fault between processes.
package coordinator

import (
	"context"
	"log/slog"
	"net"
	"os"
	"sync"
	"testing"

	"petrelhook/internal/coordination/fleet"
)

// Start starts one that keeps what it knows until stop.
func Start() (addr string, stop func(), err error) {
	dir, err := os.MkdirTemp("", "coordinator")
	if err != nil {
		return "", nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s, err := fleet.Open(fleet.SingleConfig(dir, ln.Addr().String()), slog.New(slog.DiscardHandler))
	if err != nil {
		ln.Close()
		return "", nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, ln) }()
	return ln.Addr().String(), sync.OnceFunc(func() {
		cancel()
		<-ended
		_ = os.RemoveAll(dir)
	}), nil
}

// For is one for a test; stop may be called before its end.
func For(t testing.TB) (addr string, stop func()) {
	t.Helper()
	addr, stop, err := Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return addr, stop
}
