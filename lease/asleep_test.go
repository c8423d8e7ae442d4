package lease

import (
	"context"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"petrelhook/internal/fleet"
	"petrelhook/internal/lease"
	"petrelhook/internal/steady"
)

// A machine that sleeps: Go's timers stand still, the clock does not. The first look after it says no, and ends the context.
func TestAsleep(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := fleet.Open(fleet.Single(t.TempDir(), ln.Addr().String()), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	serve, end := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- s.Run(serve, ln) }()
	var slept atomic.Int64
	c, err := New(Options{Addrs: []string{ln.Addr().String()}, Owner: "o", TTL: 30 * time.Second,
		clock: func() lease.Instant { return steady.Now() + lease.Instant(slept.Load()) }})
	if err != nil {
		t.Fatal(err)
	}
	h, err := c.Hold(ctx, "x")
	if err != nil {
		t.Fatal(err)
	}
	slept.Store(int64(time.Hour))
	if h.Valid() || h.Left() != 0 || context.Cause(h.Context()) != ErrLost {
		t.Errorf("valid %v, %v", h.Valid(), context.Cause(h.Context()))
	}
	end()
	<-ended
	c.Close()
}

// Clocks that people set have no part in any of it: nothing that decides, or believes, reads one.
func TestNoWallClocks(t *testing.T) {
	for _, dir := range []string{"../internal/lease", "../internal/replica", "../internal/replica/disk", "../internal/steady", "."} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatal(dir, err)
		}
		for _, f := range files {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			if !strings.HasSuffix(f, "_test.go") && (strings.Contains(string(text), "time.Now") || strings.Contains(string(text), "time.Since")) {
				t.Errorf("%s reads the wall clock", f)
			}
		}
	}
}
