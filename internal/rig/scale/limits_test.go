package scale

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A budget that is exceeded is an error that says why, and no process is left.
func TestBudgets(t *testing.T) {
	for want, change := range map[string]func(*Options){
		"--memory: the processes of the run have": func(o *Options) { o.MemoryLimitBytes = 64 << 20 },
		"--within: 1.5s are over":                 func(o *Options) { o.Timeout = 1500 * time.Millisecond },
	} {
		o := options(t)
		o.Workloads = []string{LeaseRenewals}
		change(&o)
		m, err := Run(t.Context(), o)
		if err == nil || !strings.Contains(err.Error(), want) || len(m.Points) > 0 || len(m.Findings) != 1 {
			t.Errorf("%v, want %s: %+v", err, want, m)
		}
		if left := programProcesses(o.ProgramDir); len(left) > 0 {
			t.Errorf("processes are left: %v", left)
		}
	}
}

// A run that is stopped fails, and the next one is not begun.
func TestStopped(t *testing.T) {
	o := options(t)
	o.Workloads, o.Runs = []string{LeaseRenewals}, 2
	ctx, stop := context.WithCancel(t.Context())
	o.Progress = func(what string) {
		if strings.Contains(what, "members join") {
			stop()
		}
	}
	m, err := Run(ctx, o)
	if err == nil || len(m.Findings) != 2 || !strings.HasPrefix(m.Findings[0], "failed: renewals of 200") || !strings.HasPrefix(m.Findings[1], "not run: ") {
		t.Errorf("%v: %+v", err, m)
	}
	if left := programProcesses(o.ProgramDir); len(left) > 0 {
		t.Errorf("processes are left: %v", left)
	}
}

// A run whose process is killed leaves no process behind.
func TestKilled(t *testing.T) {
	o := options(t)
	cmd := exec.Command(o.program("petrelhookctl"), "scale", "--sizes", "50", "--check", "0", "--steady", "30s")
	cmd.Env = append(os.Environ(), "TMPDIR="+t.TempDir()) // whoever is killed leaves its folder
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	members := func() bool {
		return len(programProcesses(o.program("petrelhookctl"))) == 2 && len(programProcesses(o.program("petrelhook-coordinator"))) == 3
	}
	err := pollUntil(ctx, "its members run", members)
	cmd.Process.Kill()
	cmd.Wait()
	if err != nil {
		t.Fatal(err)
	}
	if err := pollUntil(ctx, "none is left", func() bool { return len(programProcesses(o.ProgramDir)) == 0 }); err != nil {
		t.Error(err)
	}
	killPrograms(o.ProgramDir)
}

// A run whose process is killed leaves no real sidecar behind either: each has a session of its own, and outlives its agent.
func TestKilledBesideRealMachines(t *testing.T) {
	o := options(t)
	cmd := exec.Command(o.program("petrelhookctl"), "scale", "--workloads", Subscriptions, "--sizes", "20", "--check", "0", "--real", "2", "--steady", "30s")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	sidecars := func() (n int) {
		dirs, _ := filepath.Glob(filepath.Join(os.Getenv("TMPDIR"), "petrel-scale-*", machinesDir))
		for _, dir := range dirs {
			n += len(runningSidecars(dir))
		}
		return n
	}
	err := pollUntil(ctx, "its sidecars run", func() bool { return sidecars() == 2 })
	cmd.Process.Kill()
	cmd.Wait()
	if err != nil {
		t.Fatal(err)
	}
	if err := pollUntil(ctx, "none is left", func() bool { return sidecars() == 0 && len(programProcesses(o.ProgramDir)) == 0 }); err != nil {
		t.Error(err)
	}
	killPrograms(o.ProgramDir)
}
