package main

import (
	"context"
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"petrelhook/internal/rig/chain"
)

// Runs the study of failing calls (--fail) and the study of added latency (--added) end to end on sockets.
// Checks the measured points in the JSON report of the first study and the tables in the text report of
// the second study.
func TestChain(t *testing.T) {
	defer goleak.VerifyNone(t)
	bin := filepath.Dir(buildSidecar(t))
	shortRun := []string{"chain", "--bin", bin, "--length", "500ms", "--rate", "60"}
	fail := append(shortRun, "--fail", "--depths", "2", "--parts", "1", "--output", "json")
	code, stdout, stderr := call(t.Context(), fail...)
	var r chain.Report
	if err := json.Unmarshal([]byte(stdout), &r); err != nil || code != 0 || stderr != "" {
		t.Fatalf("exit %d, %v: %s\n%s", code, err, stdout, stderr)
	}
	got := map[string]float64{}
	for _, p := range r.Measured.Points {
		got[p.Workload+" "+p.Role+" "+p.Metric] = p.Value
	}
	attemptsWithoutRetries := got["chain leaf once_attempts_call_fail_100_pc"]
	if len(r.Runs) != 1 || r.Measured.Seed != 1 || attemptsWithoutRetries != 1 || got["chain leaf look_attempts_call_fail_100_pc"] <= 1 {
		t.Errorf("measurement of failing calls: %+v", r.Measured)
	}
	code, stdout, stderr = call(t.Context(), append(shortRun, "--added", "--rates", "60", "--chains", "1")...)
	for _, want := range []string{"1 direct", "added p50", "cpu us/call"} {
		if code != 0 || !strings.Contains(stdout, want) {
			t.Errorf("exit %d, no %q: %s\n%s", code, want, stdout, stderr)
		}
	}
}

// An interrupt at the start of the first run must end the command, which reports that it stopped early.
// Invalid flags must be reported before anything starts.
func TestChainInterruptedOrInvalid(t *testing.T) {
	defer goleak.VerifyNone(t)
	bin := filepath.Dir(buildSidecar(t))
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	stopAtStart := &trigger{text: "depth 3", do: stop}
	var out strings.Builder
	longRun := []string{"chain", "--bin", bin, "--fail", "--depths", "3", "--parts", "1", "--length", "60s"}
	code := run(ctx, longRun, &out, stopAtStart)
	progress := string(stopAtStart.received)
	if code != 1 || !strings.Contains(progress, "petrelhookctl: stopped early\n") || strings.Contains(out.String(), "look") {
		t.Errorf("exit %d: %s\n%s", code, &out, progress)
	}
	for _, c := range []struct {
		args, want string
		code       int
	}{
		{"--output xml", `--output: "xml": write text or json`, 2},
		{"--pass on", "pass: unknown way", 2},
		{"--fail --depths 99", "depth: 99; write 1 to 32", 2},
		{"--fail --parts 2", "fail: 2; write a part", 2},
		{"--rates 1e9", "rate: 1e+09 a second; write", 2},
		{"--length 1h", "length: 1h0m0s; write", 2},
		{"now", "unknown command", 2},
	} {
		code, _, stderr := call(t.Context(), append([]string{"chain", "--bin", bin}, strings.Fields(c.args)...)...)
		if code != c.code || !strings.Contains(stderr, c.want) {
			t.Errorf("%s: exit %d, %s", c.args, code, stderr)
		}
	}
}
