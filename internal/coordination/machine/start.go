package machine

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"petrelhook/internal/coordination/agent"
)

// A start is made at most once, and is never unseen. The agent starts itself with the word once; that helper links a file with its own
// id to the start's name and only then becomes the sidecar's program, as the same process. Who begins again after an agent that was
// killed links a file of its own to that name: where that works nothing was started, and never will be, for the helper's link fails
// then; where it fails the file says which process it is.

const claimed = "claimed"

// BecomeSidecar is the helper: it becomes program, unless the start was claimed. It returns only with an error.
func BecomeSidecar(file, program string, args []string) error {
	began, err := startTicks(os.Getpid())
	if err != nil {
		return err
	}
	if err := link(file, fmt.Sprintf("%d %d", os.Getpid(), began)); err != nil {
		return fmt.Errorf("this start is not to be made any more: %w", err)
	}
	return syscall.Exec(program, append([]string{program}, args...), os.Environ())
}

// link makes a file with its whole text, or fails because it is there.
func link(file, text string) error {
	f, err := os.CreateTemp(filepath.Dir(file), ".start-")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.WriteString(text)
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	return os.Link(f.Name(), file)
}

// claim says which process a start has made; nil: none, and it never will.
func claim(file string) (*agent.Process, error) {
	err := link(file, claimed)
	if !errors.Is(err, os.ErrExist) {
		return nil, err
	}
	text, err := os.ReadFile(file)
	if err != nil || string(text) == claimed {
		return nil, err
	}
	p := &agent.Process{}
	if n, _ := fmt.Sscan(string(text), &p.PID, &p.StartTicks); n != 2 {
		return nil, fmt.Errorf("%s: %q is no process", file, text)
	}
	return p, nil
}

// startTicks is when a process began, as the system counts; an error where there is none, or one that has ended and is not reaped.
func startTicks(pid int) (uint64, error) {
	fields, err := stat(pid)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(fields[19], 10, 64)
}

// usage is the processor time that a process has used, in ticks of the system, and the bytes that it has resident.
func usage(p agent.Process) (ticks, resident uint64) {
	fields, err := stat(p.PID)
	if err != nil || fields[19] != strconv.FormatUint(p.StartTicks, 10) {
		return 0, 0
	}
	for _, f := range fields[11:13] {
		n, _ := strconv.ParseUint(f, 10, 64)
		ticks += n
	}
	pages, _ := strconv.ParseUint(fields[21], 10, 64)
	return ticks, pages * uint64(os.Getpagesize())
}

// stat is what the system says of a process, from its state on.
func stat(pid int) ([]string, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return nil, err
	}
	_, rest, ok := bytes.Cut(text, []byte(") ")) // the name before may hold anything but this
	for next := true; next; {                    // up to the last
		var more []byte
		if _, more, next = bytes.Cut(rest, []byte(") ")); next {
			rest = more
		}
	}
	fields := strings.Fields(string(rest))
	if !ok || len(fields) < 22 {
		return nil, fmt.Errorf("/proc/%d/stat: it cannot be read", pid)
	}
	// A first thread that has ended is not the process: while another one of its threads becomes a new program, as Once does, the
	// first is a zombie for a moment.
	if threads := fields[17]; fields[0] == "X" || fields[0] == "Z" && (threads == "0" || threads == "1") {
		return nil, os.ErrProcessDone
	}
	return fields, nil
}

// Lives reports whether a process is there and is the one that is meant: numbers are used again.
func Lives(p agent.Process) bool {
	began, err := startTicks(p.PID)
	return err == nil && began == p.StartTicks
}

// signal sends a signal to the process that is meant.
func signal(p agent.Process, s syscall.Signal) {
	if Lives(p) {
		syscall.Kill(p.PID, s)
	}
}

// startProgram starts a program by way of the helper. It goes on if the agent ends: it has a session of its own, and writes to a file.
func startProgram(file, log, program, config, tmp, endpoint string) (agent.Process, error) {
	self, err := os.Executable()
	if err != nil {
		return agent.Process{}, err
	}
	out, err := os.OpenFile(log, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return agent.Process{}, err
	}
	defer out.Close()
	cmd := exec.Command(self, "once", file, program, "--config", config)
	cmd.Env = append(os.Environ(), "LB_ADMIN_ADDR="+endpoint, "LB_CONFIG="+config, "TMPDIR="+tmp)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return agent.Process{}, err
	}
	began, err := startTicks(cmd.Process.Pid)
	go cmd.Wait() // no more than reaping: whether it lives is looked up
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		return agent.Process{}, err
	}
	return agent.Process{PID: cmd.Process.Pid, StartTicks: began, AdminAddress: endpoint}, nil
}

// maxLogTail is how much of a log is looked at for what a process said last, and of a line that is passed on.
const maxLogTail, maxLogLine = 16 << 10, 240

// lastLogLine is the line of a log that says best why its process ended: the panic, else the last one. "": it said nothing.
func lastLogLine(log string) string {
	f, err := os.Open(log)
	if err != nil {
		return ""
	}
	defer f.Close()
	if end, err := f.Seek(0, io.SeekEnd); err == nil {
		f.Seek(max(0, end-maxLogTail), io.SeekStart)
	}
	text, _ := io.ReadAll(io.LimitReader(f, maxLogTail))
	said := ""
	for line := range strings.Lines(string(text)) {
		if line = strings.TrimSpace(line); strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			said = line
			break
		} else if line != "" {
			said = line
		}
	}
	return strings.ToValidUTF8(said[:min(len(said), maxLogLine)], "")
}
