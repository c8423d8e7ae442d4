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

// The whole way on sockets, in both forms of the report: what is measured has its points.
func TestChain(t *testing.T) {
	defer goleak.VerifyNone(t)
	bin := filepath.Dir(program(t))
	short := []string{"chain", "--bin", bin, "--length", "500ms", "--rate", "60"}
	fail := append(short, "--fail", "--depths", "2", "--parts", "1", "--output", "json")
	code, stdout, stderr := call(t.Context(), fail...)
	var r chain.Report
	if err := json.Unmarshal([]byte(stdout), &r); err != nil || code != 0 || stderr != "" {
		t.Fatalf("exit %d, %v: %s\n%s", code, err, stdout, stderr)
	}
	got := map[string]float64{}
	for _, p := range r.Measured.Points {
		got[p.Workload+" "+p.Role+" "+p.Metric] = p.Value
	}
	once := got["chain leaf once_attempts_call_fail_100_pc"]
	if len(r.Runs) != 1 || r.Measured.Seed != 1 || once != 1 || got["chain leaf look_attempts_call_fail_100_pc"] <= 1 {
		t.Errorf("%+v", r.Measured)
	}
	code, stdout, stderr = call(t.Context(), append(short, "--added", "--rates", "60", "--chains", "1")...)
	for _, want := range []string{"1 direct", "added p50", "cpu us/call"} {
		if code != 0 || !strings.Contains(stdout, want) {
			t.Errorf("exit %d, no %q: %s\n%s", code, want, stdout, stderr)
		}
	}
}

// Ctrl-C at the first run's start ends it with a line. What is wrong with the flags is said before anything starts.
func TestChainStoppedOrWrong(t *testing.T) {
	defer goleak.VerifyNone(t)
	bin := filepath.Dir(program(t))
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	began := &trigger{text: "depth 3", do: stop}
	var out strings.Builder
	long := []string{"chain", "--bin", bin, "--fail", "--depths", "3", "--parts", "1", "--length", "60s"}
	code := run(ctx, long, &out, began)
	said := string(began.all)
	if code != 1 || !strings.Contains(said, "petrelhookctl: stopped early\n") || strings.Contains(out.String(), "look") {
		t.Errorf("exit %d: %s\n%s", code, &out, said)
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
