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

// family is processes that end with this one. One thread starts them all and lives as long as the family: the system
// kills the children of a thread that ends (Pdeathsig), so none outlives this process, however it ends. Each is in a
// group of its own: a Ctrl-C is for the run, which ends them in order.
type family struct {
	dir    string // of logs
	starts chan func()
	gone   chan struct{} // the thread has ended
	failed context.CancelCauseFunc

	mu  sync.Mutex
	all []*child
}

// child is one of them.
type child struct {
	*os.Process
	name  string
	log   string // the file of what it wrote to standard error
	ended chan struct{}
	err   error // once it has ended

	mu    sync.Mutex
	asked bool // to end
}

// endWithin is how long a process may take to end that was asked to, before it is killed.
const endWithin = 5 * time.Second

// newFamily is one without members. failed is told where a process ends that was not asked to.
func newFamily(dir string, failed context.CancelCauseFunc) *family {
	f := &family{dir: dir, starts: make(chan func()), gone: make(chan struct{}), failed: failed}
	go func() {
		defer close(f.gone)
		runtime.LockOSThread() // for good: the thread ends with the goroutine
		for start := range f.starts {
			start()
		}
	}()
	return f
}

// start starts a process. in and out are its standard input and output; nil: none.
func (f *family) start(name string, cmd *exec.Cmd, in, out *os.File) (*child, error) {
	c, err := f.launch(name, cmd, in, out, syscall.SIGKILL)
	if err == nil {
		f.mu.Lock()
		f.all = append(f.all, c)
		f.mu.Unlock()
	}
	return c, err
}

// startApart starts one that ends by itself where its input does, also after this process: the family does not end it.
func (f *family) startApart(name string, cmd *exec.Cmd, in *os.File) (*child, error) {
	return f.launch(name, cmd, in, nil, 0)
}

// launch starts a process, which is sent a signal where this one ends.
func (f *family) launch(name string, cmd *exec.Cmd, in, out *os.File, orphaned syscall.Signal) (*child, error) {
	log, err := os.CreateTemp(f.dir, filepath.Base(name)+".*.log")
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has it too
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
		if !c.asked {
			f.failed(fmt.Errorf("%s has ended by itself: %s: %s", name, fmt.Sprint(c.err), c.lastWords()))
		}
	}()
	return c, nil
}

// ask notes that a process is to end: that it does is no failure.
func (c *child) ask() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = true
}

// end ends some processes, in order, and returns when they have ended; one that does not is killed, and is an error.
func (f *family) end(some ...*child) error {
	for _, c := range some {
		c.ask()
		c.Signal(syscall.SIGTERM)
	}
	late := time.NewTimer(endWithin)
	defer late.Stop()
	var all []error
	for _, c := range some {
		select {
		case <-c.ended:
			continue
		default:
		}
		select {
		case <-c.ended:
		case <-late.C:
			late.Reset(0) // for the others too
			c.Kill()
			<-c.ended
			all = append(all, fmt.Errorf("%s did not end within %v of TERM", c.name, endWithin))
		}
	}
	return errors.Join(all...)
}

// kill kills one, as a machine that falls does, and returns when it has ended.
func (f *family) kill(c *child) {
	c.ask()
	c.Kill()
	<-c.ended
}

// close kills all that are left, and returns when they have ended: what they keep ends with the run, too.
func (f *family) close() {
	f.mu.Lock()
	all := f.all
	f.mu.Unlock()
	for _, c := range all {
		c.ask()
		c.Kill()
	}
	for _, c := range all {
		<-c.ended
	}
	close(f.starts)
	<-f.gone
}

// pids are those of the processes that have not ended.
func (f *family) pids() (all []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.all {
		select {
		case <-c.ended:
		default:
			all = append(all, c.Pid)
		}
	}
	return all
}

// text is what a process has written to standard error until now.
func (c *child) text() []byte {
	text, _ := os.ReadFile(c.log)
	return text
}

// lastWords is the end of what a process wrote.
func (c *child) lastWords() string {
	const most = 400
	text := bytes.TrimSpace(c.text())
	return string(text[max(0, len(text)-most):])
}
