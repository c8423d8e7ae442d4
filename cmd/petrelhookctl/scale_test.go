package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"petrelhook/internal/coordination/capacity"
)

// Invalid flags must be reported in one line before anything is started.
func TestScaleFlags(t *testing.T) {
	empty := t.TempDir()
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"--output xml", 2, `--output: "xml": write text or json`},
		{"--memory 6X", 2, `--memory: "6X"; write a number of bytes, or with K, M or G`},
		{"--memory -1", 2, `--memory: "-1"`},
		{"--memory 99999999999G", 2, `--memory: "99999999999G"`},
		{"--sizes 0", 2, "--sizes: 0"},
		{"--sizes 20 --check 10", 2, "--check: 10; write a size above"},
		{"--workloads sleep", 2, `--workloads: "sleep" is none of renewals, looks, watches, publish`},
		{"--runs 0", 2, "--runs: 0"},
		{"--real 65", 2, "--real: 65; write 0 to 64"},
		{"--sizes 20 --check 0 --bin " + empty, 1, "--bin: there is no " + filepath.Join(empty, "petrelhook-coordinator")},
		{"now", 2, "unknown command"},
	} {
		code, stdout, stderr := call(t.Context(), append([]string{"scale"}, strings.Fields(c.args)...)...)
		if code != c.code || stdout != "" || !strings.HasPrefix(stderr, "petrelhookctl: ") || !strings.Contains(stderr, c.want) || strings.Count(stderr, "\n") != 1 {
			t.Errorf("%s: exit %d, %q, %q; want %d, %q", c.args, code, stdout, stderr, c.code, c.want)
		}
	}
	for text, want := range map[string]int64{"7": 7, "2K": 2 << 10, "3M": 3 << 20, "6G": 6 << 30} {
		if got, err := parseMemoryLimit(text); err != nil || got != want {
			t.Errorf("%s: %d, %v", text, got, err)
		}
	}
	if all, err := parseMemoryLimit(""); err != nil || all < 64<<20 {
		t.Errorf("%d, %v", all, err)
	}
}

// Runs scale end to end, with JSON on standard output and in a file, and checks that an interrupted command ends gracefully and reports the
// runs that were not made.
func TestScale(t *testing.T) {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "petrelhook/cmd/petrelhook-coordinator", "petrelhook/cmd/petrelhookctl").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	file := filepath.Join(t.TempDir(), "m.json")
	args := []string{"scale", "--bin", bin, "--workloads", "looks", "--sizes", "20", "--check", "0", "--runs", "1", "--steady", "1s"}
	code, stdout, stderr := call(t.Context(), append(args, "--output", "json", "--json", file)...)
	var m, fromFile capacity.Measured
	text, _ := os.ReadFile(file)
	if code != 0 || stderr != "" || json.Unmarshal([]byte(stdout), &m) != nil || json.Unmarshal(text, &fromFile) != nil {
		t.Fatalf("exit %d: %s\n%s\n%s", code, stderr, stdout, text)
	}
	if len(m.Points) < 30 || len(m.Points) != len(fromFile.Points) || m.FitUpTo != 20 || m.Seed != 1 || len(m.Findings) > 0 {
		t.Errorf("%+v", m)
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	var shown, errs bytes.Buffer
	if code := run(ctx, args, &shown, &errs); code != 1 || !strings.Contains(shown.String(), "not run: looks of 20 members, run 1 of 1") {
		t.Errorf("exit %d: %s%s", code, &shown, &errs)
	}
}
