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

// Host runs the processes of a machine's sidecars: the operating system, or in tests a simulation of one. Its methods are called from any
// goroutine. Files are not part of it: the agent's state and those of starts are on the real disk in any case.
type Host interface {
	// Start starts a program. It makes a start at most once, by ClaimStart before the program runs, and it may be found out with the claim
	// file alone whether it was made.
	Start(o StartOptions) (agent.Process, error)
	// Lives reports whether a process runs. Another process with its ID does not count.
	Lives(p agent.Process) bool
	// Signal sends a signal to a process, if it is alive. There is no error: the process may have ended meanwhile, and the next poll
	// detects that.
	Signal(p agent.Process, s syscall.Signal)
	// Usage returns the processor time that a process has used, in clock ticks, and its resident bytes; zeros if it does not run.
	Usage(p agent.Process) (ticks, resident uint64)
	// CheckSettings has a program check a file of settings, and returns what the program wrote, without space around it. The error is a
	// *ProgramError if the program ended by itself and reported a failure; after another error it is not known what it would have said.
	CheckSettings(ctx context.Context, program, settings string) (output string, err error)
	// Dial connects to an operators' endpoint or a coordinator, as net.Dialer.DialContext does.
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
}

// ProgramError says that a program ended by itself with a failure.
type ProgramError struct{ Err error }

func (e *ProgramError) Error() string { return e.Err.Error() }

func (e *ProgramError) Unwrap() error { return e.Err }

// operatingSystem is the Host of an agent in service.
type operatingSystem struct{}

func (operatingSystem) Start(o StartOptions) (agent.Process, error) { return startProgram(o) }

func (operatingSystem) Lives(p agent.Process) bool { return Lives(p) }

func (operatingSystem) Signal(p agent.Process, s syscall.Signal) { signal(p, s) }

func (operatingSystem) Usage(p agent.Process) (ticks, resident uint64) { return usage(p) }

// checkWaitDelay is how long the output of a program that checks settings is awaited after its end.
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
