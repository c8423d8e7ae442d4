package machine

import (
	"context"
	"errors"
	"net"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"petrelhook/internal/coordination/agent"
)

// Host runs the processes of a machine's sidecars. It is the operating system, or in tests a simulation of one. Its methods may
// be called from any goroutine. Files are not part of it: the agent's state and the files of starts are always on the real disk.
type Host interface {
	// Start starts a program. The new process must call ClaimStart before the program runs, so that one start creates at most one
	// process and the claim file alone tells whether it did.
	Start(o StartOptions) (agent.Process, error)
	// IsRunning reports whether a process is running. A later process that reuses its ID does not count.
	IsRunning(p agent.Process) bool
	// Signal sends a signal to a process if it is running. It returns no error because the process may have exited meanwhile,
	// which the next poll detects.
	Signal(p agent.Process, s syscall.Signal)
	// Usage returns the processor time that a process has used, in clock ticks, and its resident bytes; zeros if it is not
	// running.
	Usage(p agent.Process) (ticks, resident uint64)
	// CheckSettings runs a program to check a settings file, and returns the program's output without surrounding space. The
	// error is a *ProgramError if the program exited with a failure; any other error means that the check gave no result.
	CheckSettings(ctx context.Context, program, settings string) (output string, err error)
	// Dial connects to an operators' endpoint or a coordinator, as net.Dialer.DialContext does.
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
}

// ProgramError means that a program exited by itself with a failure status.
type ProgramError struct{ Err error }

func (e *ProgramError) Error() string { return e.Err.Error() }

func (e *ProgramError) Unwrap() error { return e.Err }

// operatingSystem is the Host that agents use in production.
type operatingSystem struct{}

func (operatingSystem) Start(o StartOptions) (agent.Process, error) { return startProgram(o) }

func (operatingSystem) IsRunning(p agent.Process) bool { return IsRunning(p) }

func (operatingSystem) Signal(p agent.Process, s syscall.Signal) { signal(p, s) }

func (operatingSystem) Usage(p agent.Process) (ticks, resident uint64) { return usage(p) }

// checkWaitDelay bounds the wait for the output of a settings check after its program has exited or been killed.
const checkWaitDelay = time.Second

func (operatingSystem) CheckSettings(ctx context.Context, program, settings string) (string, error) {
	cmd := exec.CommandContext(ctx, program, "--check", "--config", settings)
	cmd.WaitDelay = checkWaitDelay
	output, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.Exited() {
		err = &ProgramError{err}
	}
	return strings.TrimSpace(string(output)), err
}

func (operatingSystem) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, network, addr)
}
