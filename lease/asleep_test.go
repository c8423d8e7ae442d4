package lease

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"petrelhook/internal/coordination/monotonic"
	"petrelhook/internal/rig/coordinator"
)

// While a machine sleeps Go's timers stand still, and the clock does not. The first check after it finds the lease lost, and ends the context.
// The session may live on; the lease is released all the same, and another client gets it within the TTL.
func TestASuspendedMachine(t *testing.T) {
	addr, stop := coordinator.StartForTest(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var slept atomic.Int64
	c, err := New(Options{Addrs: []string{addr}, Owner: "o", TTL: 2 * time.Second,
		Clock: func() time.Duration { return time.Duration(monotonic.Now()) + time.Duration(slept.Load()) }})
	if err != nil {
		t.Fatal(err)
	}
	h, err := c.Hold(ctx, "x")
	if err != nil {
		t.Fatal(err)
	}
	slept.Store(int64(time.Hour))
	if h.Valid() || h.Left() != 0 || context.Cause(h.Context()) != ErrLost { //nolint:errorlint // the sentinel itself, not wrapped
		t.Errorf("valid %v, %v", h.Valid(), context.Cause(h.Context()))
	}
	other, err := New(Options{Addrs: []string{addr}, Owner: "other", TTL: 2 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := other.Hold(ctx, "x"); err != nil {
		t.Errorf("the lease stays with a session whose client does not hold it: %v", err)
	}
	other.Close()
	stop()
	c.Close()
}

// No code that decides about leases reads the time of day.
func TestNoWallClocks(t *testing.T) {
	for _, dir := range []string{"../internal/coordination/lease", "../internal/coordination/replica", "../internal/coordination/replica/disk", "../internal/coordination/monotonic", "."} {
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

// callRecorder records when calls begin.
type callRecorder struct {
	http.RoundTripper
	mu    sync.Mutex
	calls []time.Duration
	start time.Time
}

func (r *callRecorder) RoundTrip(req *http.Request) (*http.Response, error) {
	r.mu.Lock()
	r.calls = append(r.calls, time.Since(r.start))
	r.mu.Unlock()
	return r.RoundTripper.RoundTrip(req)
}

// Clients that begin within half a second do not renew at the same moments: of their sixth renewals no tenth of a second has a third.
func TestRenewalsAreNotInStep(t *testing.T) {
	addr, _ := coordinator.StartForTest(t)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	const clients, renewals = 200, 6
	began := time.Now()
	var all []*Client
	var recorders []*callRecorder
	for i := range clients {
		c, err := New(Options{Addrs: []string{addr}, Owner: "o", TTL: 3 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		r := &callRecorder{RoundTripper: c.caller.HTTPClient.Transport, start: began}
		c.caller.HTTPClient.Transport = r
		all, recorders = append(all, c), append(recorders, r)
		if _, err := c.Hold(ctx, fmt.Sprint("x", i)); err != nil {
			t.Fatal(err)
		}
		r.mu.Lock()
		r.calls = nil // what follows are renewals
		r.mu.Unlock()
	}
	bins := map[time.Duration]int{}
	for _, r := range recorders {
		for {
			r.mu.Lock()
			n := len(r.calls)
			if n >= renewals {
				bins[r.calls[renewals-1]/(100*time.Millisecond)]++
			}
			r.mu.Unlock()
			if n >= renewals {
				break
			}
			if ctx.Err() != nil {
				t.Fatal("renewals are missing")
			}
			time.Sleep(time.Millisecond) // between two checks
		}
	}
	// six waits of 0.5 to 1 s each end within 3 s, a normal distribution of 0.35 s: at most 0.11 of all in a tenth of a second
	for bin, n := range bins {
		if n > clients*33/100 {
			t.Errorf("%d of %d renew in the tenth of a second after %v", n, clients, bin*100*time.Millisecond)
		}
	}
	var closes sync.WaitGroup
	for _, c := range all {
		closes.Go(func() { c.Close() })
	}
	closes.Wait()
}
