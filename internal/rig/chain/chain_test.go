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

// countRunning is the number of processes that run a program.
func countRunning(program string) (n int) {
	links, _ := filepath.Glob("/proc/[0-9]*/exe")
	for _, link := range links {
		if target, err := os.Readlink(link); err == nil && target == program {
			n++
		}
	}
	return n
}

// shortChain is a chain of two for tests. Its latency target is the largest that is valid, so that a busy machine is no overload of its
// sidecars.
func shortChain(t *testing.T) Config {
	t.Helper()
	return Config{
		Program: programs.Path(t, "petrelhook"), Depth: 2, Servers: 3, PassMode: PassStatus, Rate: 100, Length: time.Second,
		UnsafeFraction: 0.4, Seed: 7, LatencyTarget: MaxDeadline, Deadline: MaxDeadline,
	}
}

// parameter reads a constant of balance/parameters.go, which exports none.
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
		t.Fatalf("balance/parameters.go has no %s any more: adapt this test to what bounds repeats", name)
	}
	return value
}

// checkOneAnswerEach checks that each of the 100 calls got one final answer, and that no unsafe request was repeated.
func checkOneAnswerEach(t *testing.T, r *Result) {
	t.Helper()
	if r.Partial || r.UnexpectedAnswers != 0 || r.UnsafeRepeats != 0 {
		t.Errorf("partial %v, %d unexpected answers, %d repeats of unsafe requests", r.Partial, r.UnexpectedAnswers, r.UnsafeRepeats)
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

// Without failures a call is one attempt at every level, and is served.
func TestNothingIsRepeatedWithoutAFailure(t *testing.T) {
	defer goleak.VerifyNone(t)
	r, err := Run(t.Context(), shortChain(t))
	if err != nil {
		t.Fatal(err)
	}
	checkOneAnswerEach(t, r)
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

// If the leaf fails all requests, a sidecar sends an unsafe call once, and its repeats of safe ones stay within its retry budget: half a
// burst at its start, retryRatio for each request of any class, and maxRetryCost for each call.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	ratio, burst, maxCost := parameter(t, "retryRatio"), parameter(t, "retryBurst"), parameter(t, "maxRetryCost")
	for _, pass := range []PassMode{PassStatus, PassMarked} {
		t.Run(string(pass), func(t *testing.T) {
			defer goleak.VerifyNone(t)
			cfg := shortChain(t)
			cfg.FailFraction, cfg.PassMode = 1, pass
			r, err := Run(t.Context(), cfg)
			if err != nil {
				t.Fatal(err)
			}
			checkOneAnswerEach(t, r)
			for i, l := range r.Levels {
				safe, unsafe := l[safeClass], l[unsafeClass]
				all := float64(safe.Calls + unsafe.Calls)
				repeats, bound := float64(safe.Attempts-safe.Calls), min(burst/2+ratio*all, maxCost*float64(safe.Calls))
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

// A run that is stopped has a result of what was sent until then, and one whose sidecar does not start has an error. Neither leaves
// processes or files.
func TestNothingIsLeft(t *testing.T) {
	defer goleak.VerifyNone(t)
	cfg := shortChain(t)
	t.Setenv("TMPDIR", t.TempDir())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var atLeaf sync.Once
	cfg.Length, cfg.onArrival = 30*time.Second, func(depth int) {
		if depth < 2 {
			return
		}
		atLeaf.Do(func() {
			if n := countRunning(cfg.Program); n != 2 {
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
	if n := countRunning(cfg.Program); n != 0 {
		t.Errorf("%d sidecars are left after a stop", n)
	}

	cfg = shortChain(t)
	failing := filepath.Join(t.TempDir(), "failing")
	script := "#!/bin/sh\ncase $LB_CONFIG in */1.json) echo no luck >&2; exit 3;; esac\nexec " + cfg.Program + " \"$@\"\n"
	if err := os.WriteFile(failing, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	cfg.Program = failing
	_, err = Run(t.Context(), cfg)
	if err == nil || !strings.Contains(err.Error(), "sidecar 1") || !strings.Contains(err.Error(), "no luck") {
		t.Errorf("%v", err)
	}
	if n := countRunning(programs.Path(t, "petrelhook")); n != 0 {
		t.Errorf("%d sidecars are left after an error", n)
	}
	if left, err := os.ReadDir(os.Getenv("TMPDIR")); len(left) > 0 || err != nil {
		t.Errorf("files are left: %v, %v", left, err)
	}
}

// An invalid configuration is an error before anything starts.
func TestInvalidConfigurations(t *testing.T) {
	valid := Config{
		Depth: 1, Servers: 1, PassMode: PassStatus, Rate: 1, Length: time.Second, LatencyTarget: time.Second, Deadline: time.Second,
	}
	if err := valid.Check(); err != nil {
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
		c := valid
		change(&c)
		if _, err := Run(t.Context(), c); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}
