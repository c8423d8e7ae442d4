package chain

import (
	"context"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"petrelhook/internal/rig/process"
)

// programs has the sidecar's program.
var programs = process.NewPrograms("petrelhook")

func TestMain(m *testing.M) {
	code := m.Run()
	programs.Remove()
	os.Exit(code)
}

// running is how many processes run a program.
func running(program string) (n int) {
	all, _ := filepath.Glob("/proc/[0-9]*/exe")
	for _, link := range all {
		if to, err := os.Readlink(link); err == nil && to == program {
			n++
		}
	}
	return n
}

// small is a chain of two for tests. Its aim is as wide as may be: a busy machine is no overload of its sidecars.
func small(t *testing.T) Config {
	return Config{
		Program: programs.Path(t, "petrelhook"), Depth: 2, Servers: 3, PassMode: PassStatus, Rate: 100, Length: time.Second, UnsafeFraction: 0.4, Seed: 7,
		LatencyTarget: MaxDeadline, Deadline: MaxDeadline,
	}
}

// parameter reads a number of balance/parameters.go.
func parameter(t *testing.T, name string) float64 {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../../../balance/parameters.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	value := -1.0
	ast.Inspect(file, func(n ast.Node) bool {
		if s, ok := n.(*ast.ValueSpec); ok && s.Names[0].Name == name {
			if value, err = strconv.ParseFloat(s.Values[0].(*ast.BasicLit).Value, 64); err != nil {
				t.Fatal(err)
			}
		}
		return true
	})
	if value < 0 {
		t.Fatalf("balance/parameters.go has no %s any more: say here what bounds repeats", name)
	}
	return value
}

// one checks that each call got one final answer, and that no unsafe request went out again.
func one(t *testing.T, r *Result) {
	t.Helper()
	if r.Partial || r.UnexpectedAnswers != 0 || r.UnsafeRepeats != 0 {
		t.Errorf("partial %v, %d extra answers, %d unsafe requests again", r.Partial, r.UnexpectedAnswers, r.UnsafeRepeats)
	}
	calls := 0
	for _, c := range r.Classes {
		if calls += c.Calls; c.Lost != 0 || c.Served+c.Refused+c.Failed+c.Late != c.Calls {
			t.Errorf("not one answer each: %+v", c)
		}
	}
	if calls != 100 {
		t.Errorf("%d calls", calls)
	}
}

// Where nothing fails a call is one attempt at every level, and is served.
func TestNothingIsRepeatedWithoutAFailure(t *testing.T) {
	defer goleak.VerifyNone(t)
	r, err := Run(t.Context(), small(t))
	if err != nil {
		t.Fatal(err)
	}
	one(t, r)
	for i, l := range r.Levels {
		for name, n := range l {
			if n.Attempts != n.Calls || n.Served != n.Calls || n.Resent != 0 {
				t.Errorf("level %d, %s: %+v", i+1, name, n)
			}
		}
	}
	if len(r.Usage) != 2 || r.Usage[0].MaxMemory < 1<<20 || r.Usage[0].Descriptors < 5 {
		t.Errorf("usage: %+v", r.Usage)
	}
}

// Where the leaf fails all, a sidecar sends an unsafe call once, and its repeats of safe ones stay within what its
// budget gives: half a burst at its start and a share for each request, whatever its class; and within maxRetryCost for
// each call.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	share, burst, most := parameter(t, "retryRatio"), parameter(t, "retryBurst"), parameter(t, "maxRetryCost")
	for _, pass := range []PassMode{PassStatus, PassMarked} {
		t.Run(string(pass), func(t *testing.T) {
			defer goleak.VerifyNone(t)
			cfg := small(t)
			cfg.FailFraction, cfg.PassMode = 1, pass
			r, err := Run(t.Context(), cfg)
			if err != nil {
				t.Fatal(err)
			}
			one(t, r)
			for i, l := range r.Levels {
				safe, unsafe := l[safeClass], l[unsafeClass]
				all := float64(safe.Calls + unsafe.Calls)
				repeats, bound := float64(safe.Attempts-safe.Calls), min(burst/2+share*all, most*float64(safe.Calls))
				if repeats < 1 || repeats > bound {
					t.Errorf("level %d: %v repeats of %d calls, at most %v", i+1, repeats, safe.Calls, bound)
				}
				if unsafe.Attempts != unsafe.Calls || unsafe.Served+safe.Served != 0 {
					t.Errorf("level %d: %+v, %+v", i+1, safe, unsafe)
				}
			}
		})
	}
}

// A stop in the middle gives a result of what was sent until then; a sidecar that does not start gives an error.
// Nothing is left of either.
func TestNothingIsLeft(t *testing.T) {
	defer goleak.VerifyNone(t)
	cfg := small(t)
	t.Setenv("TMPDIR", t.TempDir())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var first sync.Once
	cfg.Length, cfg.onArrival = 30*time.Second, func(depth int) {
		if depth < 2 {
			return
		}
		first.Do(func() {
			if n := running(cfg.Program); n != 2 {
				t.Errorf("%d sidecars run under the load", n)
			}
			stop()
		})
	}
	r, err := Run(ctx, cfg)
	if err != nil {
		t.Fatal(err)
	}
	safe, unsafe := r.Classes[0], r.Classes[1]
	if !r.Partial || safe.Calls+unsafe.Calls > 1000 || safe.Lost+unsafe.Lost > 0 {
		t.Errorf("%+v", r)
	}
	if n := running(cfg.Program); n != 0 {
		t.Errorf("%d sidecars are left after a stop", n)
	}

	cfg = small(t)
	bad := filepath.Join(t.TempDir(), "bad")
	script := "#!/bin/sh\ncase $LB_CONFIG in */1.json) echo no luck >&2; exit 3;; esac\nexec " + cfg.Program + " \"$@\"\n"
	if err := os.WriteFile(bad, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	cfg.Program = bad
	_, err = Run(t.Context(), cfg)
	if err == nil || !strings.Contains(err.Error(), "sidecar 1") || !strings.Contains(err.Error(), "no luck") {
		t.Errorf("%v", err)
	}
	if n := running(programs.Path(t, "petrelhook")); n != 0 {
		t.Errorf("%d sidecars are left after an error", n)
	}
	if left, err := os.ReadDir(os.Getenv("TMPDIR")); len(left) > 0 || err != nil {
		t.Errorf("files are left: %v, %v", left, err)
	}
}

// What cannot be is refused before anything starts.
func TestConfigurationsThatCannotBe(t *testing.T) {
	good := Config{
		Depth: 1, Servers: 1, PassMode: PassStatus, Rate: 1, Length: time.Second, LatencyTarget: time.Second, Deadline: time.Second,
	}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(*Config){
		"depth: 33; write 1 to 32":             func(c *Config) { c.Depth = 33 },
		"servers: 0; write 1 to 16":            func(c *Config) { c.Servers = 0 },
		`pass: unknown way "on"; write status`: func(c *Config) { c.PassMode = "on" },
		"fail: 1.1; write a part":              func(c *Config) { c.FailFraction = 1.1 },
		"unsafe: -1; write a part":             func(c *Config) { c.UnsafeFraction = -1 },
		"work: 2s; write 0s to 1s":             func(c *Config) { c.Work = 2 * time.Second },
		"length: 1h0m0s; write 100ms to 2m0s":  func(c *Config) { c.Length = time.Hour },
		"deadline: 4s; write 10ms to 3s":       func(c *Config) { c.Deadline = 4 * time.Second },
		"aim: 2s; write 1ms to the deadline":   func(c *Config) { c.LatencyTarget = 2 * time.Second },
		"rate: 200001 a second; write":         func(c *Config) { c.Rate = MaxCalls + 1 },
	} {
		c := good
		change(&c)
		if _, err := Run(t.Context(), c); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}
