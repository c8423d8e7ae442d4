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

// The indices of the used fields of /proc/PID/stat in the result of readStat; see proc(5).
const (
	statState         = 0
	statUserTicks     = 11
	statSystemTicks   = 12
	statThreads       = 17
	statStartTicks    = 19
	statResidentPages = 21
	statFields        = 22 // the minimum number of fields
)

// readStat returns the fields of /proc/PID/stat, beginning with the state of the process. The error is os.ErrProcessDone for a
// process that has exited and has not been reaped.
func readStat(pid int) ([]string, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return nil, err
	}
	endOfName := bytes.LastIndexByte(text, ')') // the process name may itself contain parentheses
	fields := strings.Fields(string(text[endOfName+1:]))
	if endOfName < 0 || len(fields) < statFields {
		return nil, fmt.Errorf("/proc/%d/stat: unexpected format", pid)
	}
	// A process may continue after its first thread has exited: while another thread executes a new program, as in BecomeSidecar,
	// the first thread is briefly a zombie.
	state, threads := fields[statState], fields[statThreads]
	if state == "X" || state == "Z" && (threads == "0" || threads == "1") {
		return nil, os.ErrProcessDone
	}
	return fields, nil
}

// startTicks returns the start time of a process in clock ticks since the system booted. It returns an error if the process does
// not exist or has exited.
func startTicks(pid int) (uint64, error) {
	fields, err := readStat(pid)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(fields[statStartTicks], 10, 64)
}

// IsRunning reports whether a process is running. A later process that reuses its ID does not count.
func IsRunning(p agent.Process) bool {
	ticks, err := startTicks(p.PID)
	return err == nil && ticks == p.StartTicks
}

// signal sends a signal to a process if it is running. Errors are ignored because the process may have exited meanwhile, which
// the next poll detects.
func signal(p agent.Process, s syscall.Signal) {
	if IsRunning(p) {
		_ = syscall.Kill(p.PID, s)
	}
}

// usage returns the processor time that a process has used, in clock ticks, and its resident bytes. It returns zeros if the
// process is not running.
func usage(p agent.Process) (ticks, resident uint64) {
	fields, err := readStat(p.PID)
	if err != nil || fields[statStartTicks] != strconv.FormatUint(p.StartTicks, 10) {
		return 0, 0
	}
	for _, field := range []string{fields[statUserTicks], fields[statSystemTicks]} {
		n, _ := strconv.ParseUint(field, 10, 64)
		ticks += n
	}
	pages, _ := strconv.ParseUint(fields[statResidentPages], 10, 64)
	return ticks, pages * uint64(os.Getpagesize())
}
