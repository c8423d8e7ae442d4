package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"sync"
	"syscall"
	"testing"
)

// errNoSuchSignal says that a process in memory does not know a signal.
var errNoSuchSignal = errors.New("a process in memory does not know this signal")

// inMemory is a process that is some goroutines of the test.
type inMemory struct {
	name string
	stop context.CancelFunc
	kill func()
	log  *cutLog
}

// Program is what a process in memory runs. Its context ends with SIGTERM and with SIGKILL; the result is that of Process.Wait. What it
// writes to the log after SIGKILL is lost.
type Program func(ctx context.Context, log io.Writer) error

// StartInMemory starts a process in memory. kill ends all that its goroutines may do to others, such as its connections; then the program's
// context ends, and it has to return. If the test fails, the process's log is shown.
func StartInMemory(t testing.TB, name string, kill func(), program Program) *Process {
	t.Helper()
	file, err := os.CreateTemp(t.TempDir(), "log")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &Process{Log: LogFile(file.Name()), Ended: make(chan error, 1), t: t,
		inMemory: &inMemory{name: name, stop: stop, kill: sync.OnceFunc(kill), log: &cutLog{file: file}}}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		err := p.inMemory.run(ctx, program)
		p.inMemory.log.cut()
		p.Ended <- err
	}()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("%s:\n%s", name, p.Log)
		}
		_ = p.Kill() // it has no error
		<-ended
	})
	return p
}

// run runs the program. A panic on its goroutine ends the process alone, as that of a process of the operating system would.
func (m *inMemory) run(ctx context.Context, program Program) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v", r)
			fmt.Fprintf(m.log, "%v\n%s", err, debug.Stack())
			m.kill()
		}
	}()
	return program(ctx, m.log)
}

// signal implements Process.Signal.
func (m *inMemory) signal(s os.Signal) error {
	switch s {
	case syscall.SIGTERM:
		m.stop()
	case syscall.SIGKILL:
		m.kill()
		m.log.cut()
		m.stop()
	default:
		return fmt.Errorf("%s: %v: %w", m.name, s, errNoSuchSignal)
	}
	return nil
}

// cutLog is a log file until it is cut: what is written later is lost.
type cutLog struct {
	mu   sync.Mutex
	file *os.File // nil: it is cut
}

// Write writes to the file.
func (l *cutLog) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file == nil {
		return len(text), nil
	}
	return l.file.Write(text)
}

// cut closes the file.
func (l *cutLog) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file != nil {
		_ = l.file.Close() // what was written is in the file
		l.file = nil
	}
}
