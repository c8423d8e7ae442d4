package rehearse

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"petrelhook/internal/rig/sidecarlog"
	"petrelhook/internal/rig/usage"
)

// Processes is a Starter of sidecars as processes, started as the platform starts them.
type Processes struct {
	Program string    // path of the sidecar's program
	Env     []string  // added to the environment
	Log     io.Writer // gets their standard error, each line with the sidecar's name; may be nil

	mu      sync.Mutex
	dir     string
	running []*sidecarProcess
	usage   []Usage
}

// sidecarProcess is the process of one sidecar.
type sidecarProcess struct {
	number int
	cmd    *exec.Cmd
	log    *sidecarlog.Log
	ended  chan struct{} // closed once its log and the process have ended
	err    error         // of exec.Cmd.Wait; read after ended
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

// Start implements Starter: it starts a sidecar and returns the address that the sidecar logs when it serves.
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
	sidecar := &sidecarProcess{number: number, cmd: cmd, log: sidecarlog.New(), ended: make(chan struct{})}
	p.running = append(p.running, sidecar)
	p.usage = append(p.usage, Usage{Number: number})
	go func() {
		defer close(sidecar.ended)
		sidecar.log.Read(pipe, func(line string) {
			if p.Log != nil {
				fmt.Fprintf(p.Log, "n%d %s\n", number, line)
			}
		})
		sidecar.err = cmd.Wait()
	}()
	go p.sample(sidecar, len(p.usage)-1)
	select {
	case addr = <-sidecar.log.Addr():
		return addr, nil
	case <-sidecar.ended:
		return "", fmt.Errorf("%s ended at once: %s\n%s", p.Program, fmt.Sprint(sidecar.err), sidecar.log)
	case <-time.After(startTimeout):
		return "", fmt.Errorf("%s did not log its address\n%s", p.Program, sidecar.log)
	}
}

// sample samples descriptors and memory of a process until it ends, into an entry of p.usage. The rusage of its end has the wrong memory:
// it includes that of this process when it forked.
func (p *Processes) sample(sidecar *sidecarProcess, index int) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	pid := sidecar.cmd.Process.Pid
	for {
		files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		maxMemory, _ := usage.MaxResident(pid) // 0 after its end
		p.mu.Lock()
		u := &p.usage[index]
		u.Descriptors = max(u.Descriptors, len(files))
		u.MaxMemory = max(u.MaxMemory, maxMemory)
		p.mu.Unlock()
		select {
		case <-sidecar.ended:
			return
		case <-ticker.C:
		}
	}
}

// Stop implements Starter: it sends SIGTERM to all and waits for their ends. A process that does not end in time is killed, which is an error; so is one that
// had ended before.
func (p *Processes) Stop() error {
	p.mu.Lock()
	running, dir := p.running, p.dir
	p.running, p.dir = nil, ""
	p.mu.Unlock()
	var failures []error
	for _, sidecar := range running {
		select {
		case <-sidecar.ended:
			failures = append(failures, fmt.Errorf("sidecar %d crashed: %s\n%s", sidecar.number, fmt.Sprint(sidecar.err), sidecar.log))
		default:
			sidecar.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for i, sidecar := range running {
		select {
		case <-sidecar.ended:
		case <-ctx.Done():
			sidecar.cmd.Process.Kill()
			<-sidecar.ended
			failures = append(failures, fmt.Errorf("sidecar %d did not end within %v of SIGTERM", sidecar.number, stopTimeout))
		}
		state := sidecar.cmd.ProcessState
		p.mu.Lock()
		u := &p.usage[len(p.usage)-len(running)+i]
		u.CPU = (state.UserTime() + state.SystemTime()).Seconds()
		p.mu.Unlock()
	}
	if dir != "" {
		failures = append(failures, os.RemoveAll(dir))
	}
	return errors.Join(failures...)
}

// Usage returns the usage of all processes, by number; it is complete after Stop.
func (p *Processes) Usage() []Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Usage(nil), p.usage...)
}
