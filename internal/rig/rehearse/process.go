package rehearse

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Processes is sidecars as processes of their own, started as the platform starts them.
type Processes struct {
	Program string    // path of the sidecar's program
	Env     []string  // added to the environment
	Log     io.Writer // gets what they write to standard error; may be nil

	mu      sync.Mutex
	dir     string
	running []*process
	usage   []Usage
}

type process struct {
	number int
	cmd    *exec.Cmd
	log    *tail
	ended  chan struct{}
	err    error
}

// Usage is what a sidecar's process took.
type Usage struct {
	Number      int     `json:"number"`
	CPU         float64 `json:"cpu_s"`            // seconds of the process, user and system
	MaxMemory   int64   `json:"max_memory_bytes"` // resident, at most
	Descriptors int     `json:"descriptors"`      // open at once, at most as sampled
}

// startWithin is how long a process may take to say where it listens, stopWithin how long to end after SIGTERM.
const (
	startWithin = 10 * time.Second
	stopWithin  = 10 * time.Second
	sampleEvery = 100 * time.Millisecond
)

// Start starts a sidecar and reads from its log where it listens.
func (p *Processes) Start(number int, config []byte) (addr string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dir == "" {
		if p.dir, err = os.MkdirTemp("", "rehearse-"); err != nil {
			return "", err
		}
	}
	path := filepath.Join(p.dir, fmt.Sprintf("n%d.json", number))
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return "", err
	}
	cmd := exec.Command(p.Program)
	cmd.Env = append(append(os.Environ(), "LB_CONFIG="+path), p.Env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a Ctrl-C is for the rehearsal, which ends its sidecars
	pipe, err := cmd.StderrPipe()
	if err != nil {
		return "", err
	}
	if err := cmd.Start(); err != nil {
		return "", fmt.Errorf("start %s: %w", p.Program, err)
	}
	one := &process{number: number, cmd: cmd, log: &tail{}, ended: make(chan struct{})}
	p.running = append(p.running, one)
	p.usage = append(p.usage, Usage{Number: number})
	listens := make(chan string, 1)
	go func() {
		defer close(one.ended)
		p.follow(one, pipe, listens)
		one.err = cmd.Wait()
	}()
	go p.sample(one, len(p.usage)-1)
	select {
	case addr = <-listens:
		return addr, nil
	case <-one.ended:
		return "", fmt.Errorf("%s ended at once: %s\n%s", p.Program, fmt.Sprint(one.err), one.log)
	case <-time.After(startWithin):
		return "", fmt.Errorf("%s does not say where it listens\n%s", p.Program, one.log)
	}
}

// follow reads the log to its end.
func (p *Processes) follow(one *process, log io.Reader, listens chan<- string) {
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		line := lines.Text()
		one.log.add(line)
		if p.Log != nil {
			fmt.Fprintf(p.Log, "n%d %s\n", one.number, line)
		}
		if _, rest, ok := strings.Cut(line, "listen="); ok && strings.Contains(line, "msg=serving") {
			addr, _, _ := strings.Cut(rest, " ")
			select {
			case listens <- addr:
			default:
			}
		}
	}
	_, _ = io.Copy(io.Discard, log) // a line too long must not stop the process
}

// sample looks at a process's descriptors and memory now and then. The rusage of its end would not do: the memory that
// this process had when it forked counts there.
func (p *Processes) sample(one *process, at int) {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	proc := fmt.Sprintf("/proc/%d/", one.cmd.Process.Pid)
	for {
		files, _ := os.ReadDir(proc + "fd")
		status, _ := os.ReadFile(proc + "status")
		p.mu.Lock()
		u := &p.usage[at]
		u.Descriptors = max(u.Descriptors, len(files))
		u.MaxMemory = max(u.MaxMemory, highWater(status))
		p.mu.Unlock()
		select {
		case <-one.ended:
			return
		case <-ticker.C:
		}
	}
}

// highWater reads the most that was resident, in bytes, from a process's status; 0: it is not said there.
func highWater(status []byte) int64 {
	_, rest, _ := bytes.Cut(status, []byte("VmHWM:"))
	line, _, _ := bytes.Cut(rest, []byte("kB"))
	kb, err := strconv.ParseInt(string(bytes.TrimSpace(line)), 10, 64)
	if err != nil {
		return 0
	}
	return kb << 10
}

// Stop sends SIGTERM to all and waits for them; one that does not end is killed, and that is an error. One that had
// ended before has crashed, which is an error too.
func (p *Processes) Stop() error {
	p.mu.Lock()
	running, dir := p.running, p.dir
	p.running, p.dir = nil, ""
	p.mu.Unlock()
	var all []error
	for _, one := range running {
		select {
		case <-one.ended:
			all = append(all, fmt.Errorf("sidecar %d crashed: %s\n%s", one.number, fmt.Sprint(one.err), one.log))
		default:
			one.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	for i, one := range running {
		select {
		case <-one.ended:
		case <-ctx.Done():
			one.cmd.Process.Kill()
			<-one.ended
			all = append(all, fmt.Errorf("sidecar %d did not end within %v of SIGTERM", one.number, stopWithin))
		}
		state := one.cmd.ProcessState
		p.mu.Lock()
		u := &p.usage[len(p.usage)-len(running)+i]
		u.CPU = (state.UserTime() + state.SystemTime()).Seconds()
		p.mu.Unlock()
	}
	if dir != "" {
		all = append(all, os.RemoveAll(dir))
	}
	return errors.Join(all...)
}

// Usage is what the processes took; it is whole after Stop.
func (p *Processes) Usage() []Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Usage(nil), p.usage...)
}

// tail keeps the last lines of a log.
type tail struct {
	mu    sync.Mutex
	lines []string
}

func (t *tail) add(line string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lines = append(t.lines, line)
	if len(t.lines) > 10 {
		t.lines = t.lines[1:]
	}
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.lines, "\n")
}
