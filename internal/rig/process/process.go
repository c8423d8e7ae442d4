// Package process runs the processes that a test needs: a test starts, pauses and kills them and reads their logs. A test program with
// several roles starts itself again, with the role in an environment variable (Self); its TestMain reads the variable.
package process

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"petrelhook/internal/common/await"
)

// Process is a process that is killed at the end of the test if it has not ended before: one of the operating system (Start), or one in
// memory (StartInMemory), which knows SIGTERM and SIGKILL alone.
type Process struct {
	*os.Process            // nil for a process in memory
	Log         LogFile    // its standard error
	Ended       chan error // gets the result of exec.Cmd.Wait, once; it has room for that value
	Input       io.Closer  // its standard input: closing it is the end of that input to the process
	t           testing.TB

	inMemory *inMemory // nil for a process of the operating system
}

// Self is the command of this test's own program, with a role in an environment variable.
func Self(variable, role string, args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), variable+"="+role)
	return cmd
}

// Start starts a process. If the test fails, the process's log is shown.
func Start(t testing.TB, cmd *exec.Cmd) *Process {
	t.Helper()
	log, err := os.CreateTemp(t.TempDir(), "log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	p := &Process{Log: LogFile(log.Name()), Ended: make(chan error, 1), t: t}
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

// FolderVariable is the environment variable with a folder, preferably in memory, for data that processes of tests sync.
const FolderVariable = "PETRELHOOK_TEST_FOLDER"

// DataDir is a folder for data that processes of a test sync; it is removed with the test. It is in the folder of FolderVariable: on a disk
// a sync waits for all that builds of other tests write, for seconds, and at all replicas of a group at once, which does not happen on
// separate machines. What a process has written survives its kill in memory as on a disk.
func DataDir(t testing.TB) string {
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

// name names the process in failures.
func (p *Process) name() string {
	if p.inMemory != nil {
		return p.inMemory.name
	}
	return fmt.Sprintf("process %d", p.Pid)
}

// Kill kills the process, as os.Process.Kill does.
func (p *Process) Kill() error { return p.Signal(syscall.SIGKILL) }

// Signal sends a signal to the process, as os.Process.Signal does.
func (p *Process) Signal(s os.Signal) error {
	if p.inMemory != nil {
		return p.inMemory.signal(s)
	}
	return p.Process.Signal(s)
}

// KillAndWait kills the process and waits for its end.
func (p *Process) KillAndWait() {
	p.t.Helper()
	_ = p.Kill() // one that has ended is waited for next
	_ = p.Wait()
}

// Wait waits for the end of the process and returns the result of exec.Cmd.Wait. It fails the test if the process has not ended within
// await.Timeout. It receives the only value of Ended: a second call returns only if the caller has put a value back.
// It is called from the test's goroutine.
func (p *Process) Wait() error {
	p.t.Helper()
	select {
	case err := <-p.Ended:
		return err
	case <-time.After(await.Timeout):
		p.t.Fatalf("%s has not ended within %v", p.name(), await.Timeout)
		return nil
	}
}

// Pause pauses the process with SIGSTOP, and returns once all its threads have stopped or it has ended. The kernel takes the signal
// earlier: until a thread has handled it, the process runs on.
func (p *Process) Pause() {
	p.t.Helper()
	p.mustSignal(syscall.SIGSTOP)
	if p.inMemory != nil {
		return
	}
	if !await.Poll(p.stopped) {
		p.t.Errorf("%s has not stopped within %v, state %q", p.name(), await.Timeout, p.State())
	}
}

// stopped reports whether no thread of the process runs.
func (p *Process) stopped() bool {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.Pid)) // the pattern is valid
	for _, thread := range threads {
		switch stateIn(thread) {
		case "", stateStopped, stateZombie, stateDead:
		default:
			return false
		}
	}
	return true
}

// Resume resumes a paused process.
func (p *Process) Resume() {
	p.t.Helper()
	p.mustSignal(syscall.SIGCONT)
}

// mustSignal sends a signal, and fails the test if the process takes none of its kind. One that has ended takes any.
func (p *Process) mustSignal(s syscall.Signal) {
	p.t.Helper()
	if err := p.Signal(s); errors.Is(err, errNoSuchSignal) {
		p.t.Error(err)
	}
}

// The states of a thread in /proc in which it executes nothing any more, or not until it is resumed.
const (
	stateStopped = "T"
	stateZombie  = "Z"
	stateDead    = "X"
)

// State is the state of the process's main thread in /proc, such as T for a paused one and Z for one whose end was not waited for; ""
// once it is gone.
func (p *Process) State() string { return stateIn(fmt.Sprintf("/proc/%d/stat", p.Pid)) }

// stateIn returns the state of a process or thread from its stat file, or "" if it is gone.
func stateIn(path string) string {
	text, _ := os.ReadFile(path)
	_, rest, _ := strings.Cut(string(text), ") ")
	return rest[:min(1, len(rest))]
}

// LogFile is the path of the file that a process writes its log to. What the process wrote before an effect that the test saw is in the
// file: there is no pipe whose reader in the test could be late.
type LogFile string

func (f LogFile) String() string {
	text, _ := os.ReadFile(string(f))
	return string(text)
}

// Has reports whether the log contains a text by now.
func (f LogFile) Has(text string) bool { return strings.Contains(f.String(), text) }

// Buffer is a bytes.Buffer for several goroutines. The buffer is not embedded, because its ReadFrom would bypass the lock.
type Buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
