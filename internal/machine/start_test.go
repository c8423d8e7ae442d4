package machine

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"petrelhook/internal/agent"
)

// The test's program is the helper as well, and says so as the program that it becomes.
func TestMain(m *testing.M) {
	if file := os.Getenv("MACHINE_TEST_START"); file != "" {
		fmt.Println(Once(file, "/bin/echo", []string{"it", "runs"}))
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// A start is made, or claimed, never both: one that was claimed is not made any more, and one that was made is found.
func TestAStartIsMadeOnce(t *testing.T) {
	helper := func(file string) (string, int) {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "MACHINE_TEST_START="+file)
		out, _ := cmd.CombinedOutput()
		return string(out), cmd.Process.Pid
	}
	made, unmade := filepath.Join(t.TempDir(), "made"), filepath.Join(t.TempDir(), "unmade")
	out, pid := helper(made)
	if out != "it runs\n" {
		t.Fatal(out)
	}
	for range 2 {
		if p, err := claim(made); err != nil || p == nil || p.PID != pid || p.Began == 0 || Lives(*p) {
			t.Errorf("%v, %v", p, err)
		}
		if p, err := claim(unmade); err != nil || p != nil {
			t.Errorf("%v, %v", p, err)
		}
	}
	if out, _ := helper(unmade); out == "it runs\n" {
		t.Error("it was made after it was claimed")
	}
	if out, _ := helper(made); out == "it runs\n" {
		t.Error("it was made twice")
	}
}

// A process is known by its number and its start: another one with its number is another.
func TestLives(t *testing.T) {
	began, err := startOf(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	p := agent.Process{PID: os.Getpid(), Began: began}
	if ticks, memory := usage(p); !Lives(p) || memory < 1<<20 {
		t.Errorf("%d ticks, %d bytes", ticks, memory)
	}
	if p.Began++; Lives(p) {
		t.Error("another process is taken for it")
	}
	if _, memory := usage(p); memory != 0 {
		t.Error("another one's memory")
	}
}
