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

// A start creates at most one process, and a later agent can always find out whether it did. The agent runs its own executable
// with the argument "once"; this helper process hard-links a file with its process ID to the path of the start's claim file, and
// only then executes the sidecar's program in the same process. An agent that takes over after a crash tries to link a file of
// its own to that path. If the link succeeds, no sidecar was started, and none will be, because the helper's link now fails. If
// it fails because the claim file exists, the file identifies the process.

// claimedByAgent is the content of the claim file of a start that an agent has abandoned.
const claimedByAgent = "claimed"

// BecomeSidecar runs in the helper process. It claims a start and replaces this process by program. It returns only on an error,
// for example if an agent has abandoned the start.
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

// ClaimStart records process p in the claim file of a start. It is called in p before the program runs. After an error the
// program must not run: an agent has abandoned the start, another process has claimed it, or the file cannot be written.
func ClaimStart(claimFile string, p agent.Process) error {
	if err := createExclusive(claimFile, fmt.Sprintf("%d %d", p.PID, p.StartTicks)); err != nil {
		return fmt.Errorf("this start is not to be made any more: %w", err)
	}
	return nil
}

// createExclusive atomically creates path with its complete text. The error is os.ErrExist if path exists.
func createExclusive(path, text string) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".start-")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }() // a leftover file does no harm
	_, err = f.WriteString(text)
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	return os.Link(f.Name(), path)
}

// resolveStart returns the process that a start created. If it created none, resolveStart abandons the start, so that it never
// will, and returns nil.
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
		return nil, fmt.Errorf("%s: %q is not a process ID and a start time", claimFile, text)
	}
	return p, nil
}

// StartOptions are the parameters of Host.Start.
type StartOptions struct {
	ClaimFile    string // see ClaimStart
	LogFile      string // receives standard output and standard error of the program
	Program      string
	Settings     string // the path of its settings file
	TempDir      string // the folder for its temporary files
	AdminAddress string // the address of its operators' endpoint
}

// startProgram starts a sidecar's program by way of the helper. The process can outlive the agent: it has its own session and
// writes to a file.
func startProgram(o StartOptions) (agent.Process, error) {
	self, err := os.Executable()
	if err != nil {
		return agent.Process{}, err
	}
	log, err := os.OpenFile(o.LogFile, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return agent.Process{}, err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor; the agent writes nothing to this one
	cmd := exec.Command(self, "once", o.ClaimFile, o.Program, "--config", o.Settings)
	cmd.Env = append(os.Environ(), "LB_ADMIN_ADDR="+o.AdminAddress, "LB_CONFIG="+o.Settings, "TMPDIR="+o.TempDir)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return agent.Process{}, err
	}
	ticks, err := startTicks(cmd.Process.Pid)
	go func() { _ = cmd.Wait() }() // reaps the process; the polls detect its exit by IsRunning
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		return agent.Process{}, err
	}
	return agent.Process{PID: cmd.Process.Pid, StartTicks: ticks, AdminAddress: o.AdminAddress}, nil
}

// maxLogTail is how many bytes at the end of a log are searched for the reason of an exit, and maxLogLine how many bytes of the
// line that was found are reported.
const maxLogTail, maxLogLine = 16 << 10, 240

// lastLogLine returns the line of a log that best explains why the process exited: the first line of a panic, or else the last
// line. It returns "" if there is none or the log cannot be read.
func lastLogLine(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }() // opened for reading only
	if end, err := f.Seek(0, io.SeekEnd); err == nil {
		_, _ = f.Seek(max(0, end-maxLogTail), io.SeekStart) // after an error nothing is left to read
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
