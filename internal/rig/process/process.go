// Package process is a process that a test starts, stops, kills and reads the log of. Each test program that plays
// several roles starts itself again, with its role in a variable of its environment.
package process

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Process is one that runs, until the test ends at the latest.
type Process struct {
	*os.Process
	Log   Written    // what it wrote to standard error
	Ended chan error // takes what it ended with
	Input io.Closer  // its standard input
	t     testing.TB
}

// Again is this test's program, with a role.
func Again(variable, role string, args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), variable+"="+role)
	return cmd
}

// Start starts a process. Where the test fails its log is shown.
func Start(t testing.TB, cmd *exec.Cmd) *Process {
	t.Helper()
	log, err := os.CreateTemp(t.TempDir(), "log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }() // the process has it too
	p := &Process{Log: Written(log.Name()), Ended: make(chan error, 1), t: t}
	cmd.Stderr = log
	input, err := cmd.StdinPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	p.Process, p.Input = cmd.Process, input
	go func() { p.Ended <- cmd.Wait() }()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("process %d, state %q:\n%s", p.Pid, p.State(), p.Log)
		}
		cmd.Process.Kill()
	})
	return p
}

// FolderVariable names a folder, best one in memory, for what processes of tests keep and sync.
const FolderVariable = "PETRELHOOK_TEST_FOLDER"

// Dir is a folder for what processes of a test keep and sync, and is removed with the test. It is where FolderVariable
// says: on a disk a sync waits for all that the builds of other tests write, for seconds, and at all replicas of a group
// at once, which no group of machines is in for. What a process has written outlives its kill in memory as on a disk.
func Dir(t testing.TB) string {
	t.Helper()
	folder := os.Getenv(FolderVariable)
	if folder == "" {
		return t.TempDir()
	}
	dir, err := os.MkdirTemp(folder, "petrelhook-test-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := os.RemoveAll(dir); err != nil {
			t.Error(err)
		}
	})
	return dir
}

// Die kills the process and waits until it is gone.
func (p *Process) Die() {
	p.t.Helper()
	p.Kill()
	_ = p.Wait()
}

// patience bounds a wait for what must come.
const patience = 20 * time.Second

// Wait is what the process ends with.
func (p *Process) Wait() error {
	p.t.Helper()
	select {
	case err := <-p.Ended:
		return err
	case <-time.After(patience):
		p.t.Fatalf("process %d does not end", p.Pid)
		return nil
	}
}

// Stop stops the process by SIGSTOP.
func (p *Process) Stop() { p.Signal(syscall.SIGSTOP) }

// Continue has a stopped process go on.
func (p *Process) Continue() { p.Signal(syscall.SIGCONT) }

// State is the system's word for what the process does: T, it is stopped.
func (p *Process) State() string {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	return rest[:min(1, len(rest))]
}

// Written is the file that a process writes its log to. What it wrote before it did something that a test saw is in
// there: no pipe is between, whose reader in the test may be late.
type Written string

func (w Written) String() string {
	text, _ := os.ReadFile(string(w))
	return string(text)
}

// Has reports whether the log holds a text by now.
func (w Written) Has(text string) bool { return strings.Contains(w.String(), text) }

// Log is what something writes. Its buffer is not embedded: ReadFrom would go round the lock.
type Log struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Until waits for a state that nothing announces.
func Until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}
