package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	core "petrelhook/internal/coordination/lease"
	"petrelhook/internal/rig/coordinator"
)

// Checks the exit code of lease run, and that the command has ended by then: after its own exit, after the lease was lost, where the command
// either heeds SIGTERM or has to be killed, after the lease was broken, and without a lease.
func TestLeaseRun(t *testing.T) {
	leaseIsHeld := func(addr string) bool {
		_, out, _ := call(t.Context(), "lease", "list", "--addrs", addr, "--output", "json")
		var all []core.Info
		return json.Unmarshal([]byte(out), &all) == nil && len(all) == 1
	}
	for name, c := range map[string]struct {
		script       string
		whileRunning func(addr string, stop func())
		code         int
		ttl          time.Duration // half of it is the grace, long enough for a command that heeds TERM to end on a busy machine
	}{
		"its own code":     {`test "$LEASE_NAME" = job && test "$LEASE_TOKEN" = 1 && exit 7`, nil, 7, 2 * time.Second},
		"lost":             {"sleep 60", func(_ string, stop func()) { stop() }, exitLeaseLost, 12 * time.Second},
		"lost, and killed": {`trap "" TERM; while :; do sleep 0.02; done`, func(_ string, stop func()) { stop() }, exitKilled, 2 * time.Second},
		"broken": {"sleep 60", func(addr string, _ func()) {
			if code, _, errs := call(t.Context(), "lease", "release", "job", "--addrs", addr); code != 0 {
				t.Errorf("release: %d %s", code, errs)
			}
		}, exitLeaseLost, 12 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, stop := coordinator.StartForTest(t)
			pidFile := filepath.Join(t.TempDir(), "pid")
			type result struct {
				code int
				errs string
			}
			done := make(chan result, 1)
			go func() {
				code, _, errs := call(context.Background(), "lease", "run", "job", "--addrs", addr, "--ttl", c.ttl.String(), "--grace", (c.ttl / 2).String(), "--", "sh", "-c", "echo $$ > "+pidFile+"; "+c.script)
				done <- result{code, errs}
			}()
			if c.whileRunning != nil {
				peertest.Eventually(t, "the command runs and the lease is held", func() bool { _, err := os.Stat(pidFile); return err == nil && leaseIsHeld(addr) })
				c.whileRunning(addr, stop)
			}
			if r := peertest.Wait(t, done); r.code != c.code {
				t.Errorf("%d %s, want %d", r.code, r.errs, c.code)
			}
			text, _ := os.ReadFile(pidFile)
			if _, err := os.Stat("/proc/" + strings.TrimSpace(string(text))); err == nil {
				t.Error("the command still runs")
			}
		})
	}
	if code, _, _ := call(t.Context(), "lease", "run", "job", "--try", "--ttl", "1s", "--grace", "1s", "--", "true"); code != 2 {
		t.Errorf("a grace that is too long: %d", code)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	deadAddr := peertest.DeadAddr(t)
	if code, _, errs := call(ctx, "lease", "run", "job", "--addrs", deadAddr, "--", "true"); code != exitNoLease || !strings.Contains(errs, deadAddr) {
		t.Errorf("no coordinator: %d %s", code, errs)
	}
}

// Checks the exit codes and the output of the lease and fleet subcommands, for valid and invalid arguments.
func TestLeaseAndFleet(t *testing.T) {
	addr, _ := coordinator.StartForTest(t)
	backup := filepath.Join(t.TempDir(), "backup")
	for _, c := range []struct {
		args, want string
		code       int
	}{
		{"fleet status", "LEADER", 0},
		{"lease show none", "nobody holds it", 1},
		{"lease break none", "nobody holds it", 1},
		{"lease list --output xml", `--output: "xml": write text or json`, 2},
		{"lease list --addrs here", `--addrs: "here": write host:port`, 2},
		{"lease break a\x01b", "not plain", 1},
		{"fleet add 0 127.0.0.1:1", "write an id from 1 on", 2},
		{"fleet add 9 here", "write an id from 1 on and host:port", 1},
		{"fleet remove one", "write the id", 2},
		{"fleet remove 9", addr, 0},
		{"fleet backup " + backup, "", 0},
		{"fleet backup " + backup, "file exists", 1},
		{"fleet restore " + backup, "--config: missing", 2},
		{"fleet restore " + backup + " --config nowhere.yaml", "nowhere.yaml", 1},
		{"lease list --within 200ms --addrs " + peertest.DeadAddr(t), "no answer", 1},
	} {
		args := strings.Fields(c.args)
		if !strings.Contains(c.args, "--addrs") && !strings.Contains(c.args, "restore") {
			args = append(args, "--addrs", addr)
		}
		var code int
		var out, errs string
		peertest.Eventually(t, c.args, func() bool { // fleet status fails until the coordinator leads
			code, out, errs = call(t.Context(), args...)
			return c.args != "fleet status" || code == 0
		})
		if code != c.code || !strings.Contains(out+errs, c.want) {
			t.Errorf("%s: %d %q %q, want %d %q", c.args, code, out, errs, c.code, c.want)
		}
	}
}
