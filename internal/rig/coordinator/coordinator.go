// Package coordinator starts coordinators for examples and tests: a single one in this process (Start), or a group of processes with
// links between them that a test can break (Group).
package coordinator

import (
	"context"
	"log/slog"
	"net"
	"os"
	"sync"
	"testing"

	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/rig/process"
)

// Start starts a coordinator in this process. stop ends it and removes its data; it may be called more than once.
func Start() (addr string, stop func(), err error) {
	dir, err := os.MkdirTemp(os.Getenv(process.FolderVariable), "coordinator") // its syncs would wait for what builds and other tests write
	if err != nil {
		return "", nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s, err := fleet.Open(fleet.SingleConfig(dir, ln.Addr().String()), slog.New(slog.DiscardHandler))
	if err != nil {
		_ = ln.Close()
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

// StartForTest starts a coordinator that ends with the test; stop may end it before.
func StartForTest(t testing.TB) (addr string, stop func()) {
	t.Helper()
	addr, stop, err := Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return addr, stop
}
