// Package simhost is a machine in memory that runs sidecars' processes for an agent: each process is some goroutines of the test, on a
// network in memory and in virtual time. It is a machine.Host.
//
// A process has a number, a log file and its part of the network; signals end it, have it reload, or kill it. What a killed process still
// runs reaches nobody: its connections are reset, and nothing that it writes is kept. Programs can't be paused (SIGSTOP), and share the
// memory and the processors of the test.
package simhost

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/machine"
	"petrelhook/internal/rig/memnet"
)

// Program is what processes of a release run. It is called on a goroutine of its own and returns when the process ends; an error is written
// to the process's log.
type Program func(p *Process) error

// Check has a program check a file of settings, as its --check does; the error is what the program says.
type Check func(program, settings string) error

// firstPID is larger than any process ID of the operating system: a signal that is sent to one of these by mistake reaches no process.
const firstPID = 1 << 24

// What each process is said to use; every process uses the same.
const (
	clockTicksPerSecond = 10 // a tenth of a processor, by a clock of 100 ticks a second
	residentBytes       = 20 << 20
)

// Host is the machine. It is safe for concurrent use.
type Host struct {
	network *memnet.Network
	program Program
	check   Check
	running sync.WaitGroup

	mu      sync.Mutex
	lastPID int
	alive   map[int]*Process
	offers  map[string]*offer // by the rendezvous of a sidecar
}

// New returns a machine without processes.
func New(network *memnet.Network, program Program, check Check) *Host {
	return &Host{network: network, program: program, check: check, lastPID: firstPID, alive: map[int]*Process{}, offers: map[string]*offer{}}
}

// Wait waits until all processes have ended. They have to be told to before.
func (h *Host) Wait() { h.running.Wait() }

// Start implements machine.Host.
func (h *Host) Start(o machine.StartOptions) (agent.Process, error) {
	log, err := os.OpenFile(o.LogFile, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return agent.Process{}, err
	}
	p := h.newProcess(o, log)
	identity := agent.Process{PID: p.pid, StartTicks: p.startTicks, AdminAddress: o.AdminAddress}
	if err := machine.ClaimStart(o.ClaimFile, identity); err != nil {
		h.ended(p)
		return agent.Process{}, err
	}
	h.running.Go(func() {
		if err := h.program(p); err != nil {
			fmt.Fprintln(p.Log(), "petrelhook:", err)
		}
		h.ended(p)
	})
	return identity, nil
}

// newProcess adds a process to those that are alive.
func (h *Host) newProcess(o machine.StartOptions, log io.WriteCloser) *Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastPID++
	p := &Process{
		StartOptions: o, Reload: make(chan os.Signal, 1), host: h, pid: h.lastPID, startTicks: uint64(h.lastPID), startedAt: time.Now(),
		net: h.network.NewProcess(), log: log,
	}
	p.Stop, p.stop = context.WithCancel(context.Background())
	h.alive[p.pid] = p
	return p
}

// ended removes a process, whose program has returned.
func (h *Host) ended(p *Process) {
	p.Kill()
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.alive, p.pid)
}

// find returns a process that is alive; nil: it has ended.
func (h *Host) find(p agent.Process) *Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := h.alive[p.PID]
	if found == nil || found.startTicks != p.StartTicks || found.net.Killed() {
		return nil
	}
	return found
}

// IsRunning implements machine.Host.
func (h *Host) IsRunning(p agent.Process) bool { return h.find(p) != nil }

// Signal implements machine.Host, for SIGTERM, SIGHUP and SIGKILL.
func (h *Host) Signal(p agent.Process, s syscall.Signal) {
	found := h.find(p)
	if found == nil {
		return
	}
	switch s {
	case syscall.SIGTERM:
		found.stop()
	case syscall.SIGHUP:
		select {
		case found.Reload <- s:
		default: // one is pending
		}
	case syscall.SIGKILL:
		found.Kill()
	default:
		panic(fmt.Sprintf("a process in memory takes no %v", s))
	}
}

// Usage implements machine.Host.
func (h *Host) Usage(p agent.Process) (ticks, resident uint64) {
	found := h.find(p)
	if found == nil {
		return 0, 0
	}
	return uint64(time.Since(found.startedAt).Seconds() * clockTicksPerSecond), residentBytes
}

// CheckSettings implements machine.Host.
func (h *Host) CheckSettings(_ context.Context, program, settings string) (output string, err error) {
	if err := h.check(program, settings); err != nil {
		return strings.TrimSpace(err.Error()), &machine.ProgramError{Err: fmt.Errorf("exit status 1")}
	}
	return "", nil
}

// Dial implements machine.Host.
func (h *Host) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return h.network.Dial(ctx, network, addr)
}
