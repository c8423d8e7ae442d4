package scale

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"petrelhook/internal/rig/process"
)

// programs are what the tests run as processes.
var programs = process.NewPrograms("petrelhook-coordinator", "petrelhookctl", "petrelhook-agent", "petrelhook")

func TestMain(m *testing.M) {
	code := m.Run()
	programs.Remove()
	os.Exit(code)
}

// options are those of a short run of all workloads, with its files below a folder of the test.
func options(t *testing.T) Options {
	t.Helper()
	dir := programs.Dir(t)
	t.Setenv("TMPDIR", t.TempDir())
	return Options{ProgramDir: dir, Workloads: Workloads, Sizes: []int{200}, Runs: 1, Window: 2 * time.Second, Seed: 7,
		MemoryLimitBytes: 4 << 30, Timeout: 2 * time.Minute, Progress: func(what string) { t.Log(what) }, CoordinatorDataDir: process.DataDir(t)}
}

// programProcesses are the processes that run a program of the folder, or a release of a run below the test's folder, each as its link in
// /proc and the program.
func programProcesses(bin string) (all []string) {
	links, _ := filepath.Glob("/proc/[0-9]*/exe")
	for _, link := range links {
		if program, err := os.Readlink(link); err == nil && (strings.HasPrefix(program, bin) || strings.HasPrefix(program, os.Getenv("TMPDIR"))) {
			all = append(all, link+" "+program)
		}
	}
	return all
}

// killPrograms kills what programProcesses returns: a test that fails must not leave processes either.
func killPrograms(bin string) {
	for _, line := range programProcesses(bin) {
		var pid int
		if n, _ := fmt.Sscanf(line, "/proc/%d/exe", &pid); n == 1 {
			syscall.Kill(pid, syscall.SIGKILL)
		}
	}
}
