package machine

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"

	"petrelhook/internal/coordination/agent"
)

// The fields of /proc/PID/stat that are used, counted from the state of the process; see proc(5).
const (
	statState       = 0
	statUserTicks   = 11
	statSystemTicks = 12
	statThreads     = 17
	statStartTicks  = 19
	statPages       = 21
	statFields      = 22 // how many there are at least
)

// stat returns the fields of /proc/PID/stat from the state of the process on. The error is os.ErrProcessDone for a process that has
// ended and was not reaped.
func stat(pid int) ([]string, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return nil, err
	}
	endOfName := bytes.LastIndexByte(text, ')') // the name, which is before it, may contain the same byte
	fields := strings.Fields(string(text[endOfName+1:]))
	if endOfName < 0 || len(fields) < statFields {
		return nil, fmt.Errorf("/proc/%d/stat: it cannot be read", pid)
	}
	// A process may go on after its first thread has ended: while another of its threads becomes a new program, as in BecomeSidecar,
	// the first is a zombie for a moment.
	state, threads := fields[statState], fields[statThreads]
	if state == "X" || state == "Z" && (threads == "0" || threads == "1") {
		return nil, os.ErrProcessDone
	}
	return fields, nil
}

// startTicks returns the start time of a process in clock ticks since the system's. It fails for a process that is not there or has ended.
func startTicks(pid int) (uint64, error) {
	fields, err := stat(pid)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(fields[statStartTicks], 10, 64)
}

// Lives reports whether a process runs. Another process with its ID does not count.
func Lives(p agent.Process) bool {
	ticks, err := startTicks(p.PID)
	return err == nil && ticks == p.StartTicks
}

// signal sends a signal to a process, if it is alive. An error is ignored: the process may have ended meanwhile, and the next poll
// detects that.
func signal(p agent.Process, s syscall.Signal) {
	if Lives(p) {
		_ = syscall.Kill(p.PID, s)
	}
}

// usage returns the processor time that a process has used, in clock ticks, and its resident bytes; zeros if it does not run.
func usage(p agent.Process) (ticks, resident uint64) {
	fields, err := stat(p.PID)
	if err != nil || fields[statStartTicks] != strconv.FormatUint(p.StartTicks, 10) {
		return 0, 0
	}
	for _, field := range []string{fields[statUserTicks], fields[statSystemTicks]} {
		n, _ := strconv.ParseUint(field, 10, 64)
		ticks += n
	}
	pages, _ := strconv.ParseUint(fields[statPages], 10, 64)
	return ticks, pages * uint64(os.Getpagesize())
}
