package simhost

import (
	"context"
	"io"
	"os"
	"sync"
	"time"

	"petrelhook/internal/coordination/machine"
	"petrelhook/internal/rig/memnet"
	"petrelhook/internal/sidecar/wiring"
)

// Process is a process of the machine, as its program sees it.
type Process struct {
	machine.StartOptions
	Stop   context.Context // ends with SIGTERM, or when the process is killed
	Reload chan os.Signal  // gets SIGHUP

	host       *Host
	pid        int
	startTicks uint64
	startedAt  time.Time
	net        *memnet.Process
	stop       context.CancelFunc

	mu  sync.Mutex
	log io.WriteCloser // nil: the process has ended, and what it writes is lost
}

// Kill ends the process at once, as SIGKILL does.
func (p *Process) Kill() {
	p.net.Kill()
	p.host.withdraw(p)
	p.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.log != nil {
		_ = p.log.Close() // what was written is in the file
		p.log = nil
	}
}

// Log is where the process writes to.
func (p *Process) Log() io.Writer { return processLog{p} }

// processLog is the log of a process as long as it lives.
type processLog struct{ process *Process }

// Write writes a line to the file.
func (l processLog) Write(line []byte) (int, error) {
	l.process.mu.Lock()
	defer l.process.mu.Unlock()
	if l.process.log == nil {
		return len(line), nil
	}
	return l.process.log.Write(line)
}

// Environment is what a sidecar in this process uses of its machine.
func (p *Process) Environment() *wiring.Environment {
	return &wiring.Environment{
		Dial: p.net.Dial, Listen: p.net.Listen, ListenShared: p.net.Listen, Limit: func(int, int, bool) {},
		Rendezvous: func(name, listen string) wiring.Rendezvous { return &rendezvous{process: p, key: name + " " + listen} },
	}
}
