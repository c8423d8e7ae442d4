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

// Processes is a Starter of sidecars as processes, started as the platform starts them.
type Processes struct {
	Program string    // path of the sidecar's program
	Env     []string  // added to the environment
	Log     io.Writer // gets their standard error, each line with the sidecar's name; may be nil

	mu      sync.Mutex
	dir     string
	running []*process
	usage   []Usage
}

// process is one sidecar.
type process struct {
	number int
	cmd    *exec.Cmd
	log    *tail
	ended  chan struct{}
	err    error
}

// Usage is the resources that a sidecar's process used.
type Usage struct {
	Number      int     `json:"number"`
	CPU         float64 `json:"cpu_s"`            // seconds of the process, user and system
	MaxMemory   int64   `json:"max_memory_bytes"` // largest resident
	Descriptors int     `json:"descriptors"`      // largest number open, as sampled
}

// startTimeout bounds the time until a process logs its address, stopTimeout the time to its end after SIGTERM.
const (
	startTimeout   = 10 * time.Second
	stopTimeout    = 10 * time.Second
	sampleInterval = 100 * time.Millisecond
)

// Start starts a sidecar and reads its address from its log.
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
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a Ctrl-C reaches the rehearsal alone, which ends its sidecars
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
		p.readLog(one, pipe, listens)
		one.err = cmd.Wait()
	}()
	go p.sample(one, len(p.usage)-1)
	select {
	case addr = <-listens:
		return addr, nil
	case <-one.ended:
		return "", fmt.Errorf("%s ended at once: %s\n%s", p.Program, fmt.Sprint(one.err), one.log)
	case <-time.After(startTimeout):
		return "", fmt.Errorf("%s did not log its address\n%s", p.Program, one.log)
	}
}

// readLog reads the log to its end, and sends the address at which the sidecar listens.
func (p *Processes) readLog(one *process, log io.Reader, listens chan<- string) {
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
	_, _ = io.Copy(io.Discard, log) // a line that is too long must not block the process
}

// sample samples a process' descriptors and memory until it ends. The rusage of its end has the wrong memory: it includes that of this
// process when it forked.
func (p *Processes) sample(one *process, at int) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	proc := fmt.Sprintf("/proc/%d/", one.cmd.Process.Pid)
	for {
		files, _ := os.ReadDir(proc + "fd")
		status, _ := os.ReadFile(proc + "status")
		p.mu.Lock()
		u := &p.usage[at]
		u.Descriptors = max(u.Descriptors, len(files))
		u.MaxMemory = max(u.MaxMemory, parseMaxMemory(status))
		p.mu.Unlock()
		select {
		case <-one.ended:
			return
		case <-ticker.C:
		}
	}
}

// parseMaxMemory reads the largest resident memory, in bytes, from the text of /proc/PID/status; 0: there is none.
func parseMaxMemory(status []byte) int64 {
	_, rest, _ := bytes.Cut(status, []byte("VmHWM:"))
	line, _, _ := bytes.Cut(rest, []byte("kB"))
	kb, err := strconv.ParseInt(string(bytes.TrimSpace(line)), 10, 64)
	if err != nil {
		return 0
	}
	return kb << 10
}

// Stop sends SIGTERM to all and waits for their ends. A process that does not end in time is killed, which is an error; so is one that
// had ended before.
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
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for i, one := range running {
		select {
		case <-one.ended:
		case <-ctx.Done():
			one.cmd.Process.Kill()
			<-one.ended
			all = append(all, fmt.Errorf("sidecar %d did not end within %v of SIGTERM", one.number, stopTimeout))
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

// Usage returns the usage of all processes, by number; it is complete after Stop.
func (p *Processes) Usage() []Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Usage(nil), p.usage...)
}

// tail has the last lines of a log. It is safe for concurrent use.
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
