package deployment

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/machine"
	"petrelhook/internal/rig/coordinator"
	"petrelhook/internal/rig/loopback"
	"petrelhook/internal/rig/process"
	"petrelhook/internal/rig/rehearse"
)

// Platform is where a deployment runs: the operating system (Processes) or memory (Simulate). Its methods are called from the test's
// goroutine, but for lives and signal, which may be called from any.
type Platform interface {
	// network is that of clients and servers.
	network() rehearse.Network
	// coordinators is where coordinators run.
	coordinators() coordinator.Platform
	// reserveAddr returns a free address that is given to nobody else.
	reserveAddr() string
	// startAgent starts an agent on its settings.
	startAgent(configFile string) *process.Process
	// programFile returns the path of the file of a program for a release.
	programFile(p Program) string
	// lives reports whether a sidecar's process runs; signal sends it a signal.
	lives(p agent.Process) bool
	signal(p agent.Process, s syscall.Signal)
}

// Program is the program of a release: the sidecar, which may have faults.
type Program struct {
	Name         string        // makes the programs of two releases differ that do the same
	Fault        string        // one of the faults of a sidecar; "": none
	ExitsAtStart bool          // it ends with a failure before it serves
	NeverServes  bool          // it lives, and serves nothing
	KilledAfter  time.Duration // its process is killed so long after its start; 0: it is not
}

// processes is the operating system: coordinators, agents and sidecars are processes on loopback.
type processes struct {
	t          testing.TB
	reserve    func() string
	programDir string
}

// programs are the programs that a deployment of processes runs.
var programs = process.NewPrograms("petrelhook", "petrelhook-coordinator", "petrelhook-agent", "petrelhookctl")

// RemoveBuilt removes the programs that were built. A TestMain calls it at its end.
func RemoveBuilt() { programs.Remove() }

// Processes is the operating system. reserveAddr returns an address that nobody else gets until the test ends. The test's program has to
// call RunFaultySidecar where FaultVariable is set.
func Processes(t testing.TB, reserveAddr func() string) Platform {
	t.Helper()
	return &processes{t: t, reserve: reserveAddr, programDir: programs.Dir(t)}
}

func (p *processes) path(program string) string { return filepath.Join(p.programDir, program) }

func (p *processes) network() rehearse.Network { return loopback.New() }

func (p *processes) coordinators() coordinator.Platform {
	return coordinator.Processes(p.t, func(args ...string) *exec.Cmd { return exec.Command(p.path("petrelhook-coordinator"), args...) })
}

func (p *processes) reserveAddr() string { return p.reserve() }

func (p *processes) startAgent(configFile string) *process.Process {
	p.t.Helper()
	return process.Start(p.t, exec.Command(p.path("petrelhook-agent"), "--config", configFile))
}

func (p *processes) lives(of agent.Process) bool { return machine.IsRunning(of) }

func (p *processes) signal(of agent.Process, s syscall.Signal) { _ = syscall.Kill(of.PID, s) } // it may have ended

// programFile returns the sidecar's own program, or a shell script that checks settings as that does.
func (p *processes) programFile(program Program) string {
	p.t.Helper()
	real := p.path("petrelhook")
	if program == (Program{}) {
		return real
	}
	path := filepath.Join(p.t.TempDir(), "program")
	text := fmt.Sprintf("#!/bin/sh\n# %s\nREAL=%s\ncase \"$1\" in --check) exec $REAL \"$@\";; esac\n%s\n", program.Name, real, p.script(program))
	if err := os.WriteFile(path, []byte(text), 0o700); err != nil {
		p.t.Fatal(err)
	}
	return path
}

// script is the last line of a program's shell script.
func (p *processes) script(program Program) string {
	switch {
	case program.ExitsAtStart:
		return "exit 1"
	case program.NeverServes:
		return "exec sleep 60"
	case program.Fault != "":
		self, err := filepath.Abs(os.Args[0])
		if err != nil {
			p.t.Fatal(err)
		}
		return fmt.Sprintf("%s=%q exec %s", FaultVariable, program.Fault, self)
	}
	const serve = `exec $REAL "$@"`
	if program.KilledAfter > 0 {
		return fmt.Sprintf("(sleep %g; kill -9 $$) & %s", program.KilledAfter.Seconds(), serve)
	}
	return serve
}
