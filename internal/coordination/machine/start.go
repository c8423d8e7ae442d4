package machine

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"petrelhook/internal/coordination/agent"
)

// A start is made at most once, and it can always be found out whether it was made. The agent starts its own program with the argument
// once; that helper links a file with its own process ID to the name of the start's claim file, and only then becomes the sidecar's
// program, as the same process. An agent that is started after one that was killed links a file of its own to that name. If that works,
// no process was started, and none will be, because the helper's link fails from then on. If it fails, the file says which process it is.

// claimedByAgent is the content of the claim file of a start that was given up.
const claimedByAgent = "claimed"

// BecomeSidecar is the helper's work: it claims a start and replaces this process by program. It returns only with an error, such as that
// the start was given up.
func BecomeSidecar(claimFile, program string, args []string) error {
	ticks, err := startTicks(os.Getpid())
	if err != nil {
		return err
	}
	if err := ClaimStart(claimFile, agent.Process{PID: os.Getpid(), StartTicks: ticks}); err != nil {
		return err
	}
	return syscall.Exec(program, append([]string{program}, args...), os.Environ())
}

// ClaimStart records in the claim file of a start which process it is, before the program runs. An error says that the start was given up,
// or made by another process: then the program must not run.
func ClaimStart(claimFile string, p agent.Process) error {
	if err := createExclusive(claimFile, fmt.Sprintf("%d %d", p.PID, p.StartTicks)); err != nil {
		return fmt.Errorf("this start is not to be made any more: %w", err)
	}
	return nil
}

// createExclusive creates path with its whole text at once; os.ErrExist where there is such a file.
func createExclusive(path, text string) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".start-")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }() // what is left of it is read by nobody
	_, err = f.WriteString(text)
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	return os.Link(f.Name(), path)
}

// resolveStart returns the process of a start. Where none was made it makes sure that none ever is, and returns nil.
func resolveStart(claimFile string) (*agent.Process, error) {
	err := createExclusive(claimFile, claimedByAgent)
	if !errors.Is(err, os.ErrExist) {
		return nil, err
	}
	text, err := os.ReadFile(claimFile)
	if err != nil || string(text) == claimedByAgent {
		return nil, err
	}
	p := &agent.Process{}
	if n, _ := fmt.Sscan(string(text), &p.PID, &p.StartTicks); n != 2 {
		return nil, fmt.Errorf("%s: %q is no process", claimFile, text)
	}
	return p, nil
}

// StartOptions are what a Host needs to start a program.
type StartOptions struct {
	ClaimFile    string // see ClaimStart
	LogFile      string // gets what the program writes
	Program      string
	Settings     string // the path of its settings
	Temporary    string // its folder for temporary files
	AdminAddress string // where it serves its operators' endpoint
}

// startProgram starts a sidecar's program by way of the helper. The process outlives the agent: it has a session of its own and writes
// to a file.
func startProgram(o StartOptions) (agent.Process, error) {
	self, err := os.Executable()
	if err != nil {
		return agent.Process{}, err
	}
	log, err := os.OpenFile(o.LogFile, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return agent.Process{}, err
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own; nothing is written by this one
	cmd := exec.Command(self, "once", o.ClaimFile, o.Program, "--config", o.Settings)
	cmd.Env = append(os.Environ(), "LB_ADMIN_ADDR="+o.AdminAddress, "LB_CONFIG="+o.Settings, "TMPDIR="+o.Temporary)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return agent.Process{}, err
	}
	ticks, err := startTicks(cmd.Process.Pid)
	go func() { _ = cmd.Wait() }() // reaps the process, which may outlive the agent; Lives says whether it has ended
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		return agent.Process{}, err
	}
	return agent.Process{PID: cmd.Process.Pid, StartTicks: ticks, AdminAddress: o.AdminAddress}, nil
}

// maxLogTail is how many bytes at the end of a log are searched for the reason of an exit, and maxLogLine how many of the line are
// reported.
const maxLogTail, maxLogLine = 16 << 10, 240

// lastLogLine returns the line of a log that explains best why its process ended: the first of a panic, or else the last one. "": there
// is none, or the log cannot be read.
func lastLogLine(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }() // it was read only
	if end, err := f.Seek(0, io.SeekEnd); err == nil {
		_, _ = f.Seek(max(0, end-maxLogTail), io.SeekStart) // otherwise the rest is empty
	}
	text, _ := io.ReadAll(io.LimitReader(f, maxLogTail))
	found := ""
	for line := range strings.Lines(string(text)) {
		if line = strings.TrimSpace(line); strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			found = line
			break
		} else if line != "" {
			found = line
		}
	}
	return strings.ToValidUTF8(found[:min(len(found), maxLogLine)], "")
}
