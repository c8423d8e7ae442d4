package scale

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// processGroup is a set of processes that end with this one. One thread starts them all and lives as long as the set: the system
// kills the children of a thread that ends (Pdeathsig), so none outlives this process, however it ends. Each has a process
// group of its own: a Ctrl-C reaches the run alone, which ends them in order.
type processGroup struct {
	dir         string // of the files with their standard error
	starts      chan func()
	threadEnded chan struct{} // closed when the thread has ended
	onFailure   context.CancelCauseFunc

	mu       sync.Mutex
	children []*child
}

// child is one process.
type child struct {
	*os.Process
	name  string
	log   string // the file that has its standard error
	ended chan struct{}
	err   error // of Wait; to be read once ended is closed

	mu           sync.Mutex
	exitExpected bool // its end is no failure
}

// terminateTimeout is how long a process may take to end after SIGTERM, before it is killed.
const terminateTimeout = 5 * time.Second

// newProcessGroup returns an empty one. onFailure is called when a process ends that was not to end.
func newProcessGroup(dir string, failed context.CancelCauseFunc) *processGroup {
	f := &processGroup{dir: dir, starts: make(chan func()), threadEnded: make(chan struct{}), onFailure: failed}
	go func() {
		defer close(f.threadEnded)
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
		for start := range f.starts {
			start()
		}
	}()
	return f
}

// start starts a process of the group. in and out are its standard input and output; nil: none.
func (f *processGroup) start(name string, cmd *exec.Cmd, in, out *os.File) (*child, error) {
	c, err := f.launch(name, cmd, in, out, syscall.SIGKILL)
	if err == nil {
		f.mu.Lock()
		f.children = append(f.children, c)
		f.mu.Unlock()
	}
	return c, err
}

// startDetached starts a process that ends by itself when its input does, possibly after this process: the group does not end it.
func (f *processGroup) startDetached(name string, cmd *exec.Cmd, in *os.File) (*child, error) {
	return f.launch(name, cmd, in, nil, 0)
}

// launch starts a process that is sent a signal when this one ends (0: none).
func (f *processGroup) launch(name string, cmd *exec.Cmd, in, out *os.File, orphaned syscall.Signal) (*child, error) {
	log, err := os.CreateTemp(f.dir, filepath.Base(name)+".*.log")
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	c := &child{name: name, log: log.Name(), ended: make(chan struct{})}
	cmd.Stderr = log
	if in != nil {
		cmd.Stdin = in
	}
	if out != nil {
		cmd.Stdout = out
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: orphaned}
	done := make(chan error, 1)
	f.starts <- func() { done <- cmd.Start() }
	if err := <-done; err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	c.Process = cmd.Process
	go func() {
		defer close(c.ended)
		c.err = cmd.Wait()
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.exitExpected {
			f.onFailure(fmt.Errorf("%s has ended by itself: %s: %s", name, fmt.Sprint(c.err), c.stderrTail()))
		}
	}()
	return c, nil
}

// expectExit says that the process is about to be ended: its end is then no failure.
func (c *child) expectExit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exitExpected = true
}

// terminate sends SIGTERM to the processes and returns when they have ended. One that does not end within terminateTimeout is
// killed, which is an error.
func (f *processGroup) terminate(children ...*child) error {
	for _, c := range children {
		c.expectExit()
		c.Signal(syscall.SIGTERM)
	}
	timeout := time.NewTimer(terminateTimeout)
	defer timeout.Stop()
	var errs []error
	for _, c := range children {
		select {
		case <-c.ended:
			continue
		default:
		}
		select {
		case <-c.ended:
		case <-timeout.C:
			timeout.Reset(0) // the others get no more time either
			c.Kill()
			<-c.ended
			errs = append(errs, fmt.Errorf("%s did not end within %v of TERM", c.name, terminateTimeout))
		}
	}
	return errors.Join(errs...)
}

// kill kills a process, as the failure of its machine does, and returns when it has ended.
func (f *processGroup) kill(c *child) {
	c.expectExit()
	c.Kill()
	<-c.ended
}

// close kills all processes that are left, and returns when they have ended. Their files end with the run, too.
func (f *processGroup) close() {
	f.mu.Lock()
	all := f.children
	f.mu.Unlock()
	for _, c := range all {
		c.expectExit()
		c.Kill()
	}
	for _, c := range all {
		<-c.ended
	}
	close(f.starts)
	<-f.threadEnded
}

// pids are those of the processes that have not ended.
func (f *processGroup) pids() (all []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.children {
		select {
		case <-c.ended:
		default:
			all = append(all, c.Pid)
		}
	}
	return all
}

// stderr is what the process has written to standard error until now.
func (c *child) stderr() []byte {
	text, _ := os.ReadFile(c.log)
	return text
}

// stderrTail is the end of its standard error.
func (c *child) stderrTail() string {
	const maxBytes = 400
	text := bytes.TrimSpace(c.stderr())
	return string(text[max(0, len(text)-maxBytes):])
}
