package chain

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// tick is the unit of the times in /proc/PID/stat on Linux.
const tick = 10 * time.Millisecond

// Usage is what one sidecar's process took, as seen from outside.
type Usage struct {
	CPU         time.Duration `json:"cpu_ns"`           // user and system, in steps of 10 ms
	Memory      int64         `json:"memory_bytes"`     // resident
	MaxMemory   int64         `json:"max_memory_bytes"` // ... at most
	Descriptors int           `json:"descriptors"`
}

// use looks at a process. What it does not find is 0.
func use(pid int) (u Usage) {
	proc := fmt.Sprintf("/proc/%d/", pid)
	stat, _ := os.ReadFile(proc + "stat")
	if i := bytes.LastIndexByte(stat, ')'); i >= 0 { // the name may hold anything
		if fields := bytes.Fields(stat[i+1:]); len(fields) > 12 { // field 3 of proc_pid_stat(5) is the first here
			user, _ := strconv.ParseInt(string(fields[11]), 10, 64)
			system, _ := strconv.ParseInt(string(fields[12]), 10, 64)
			u.CPU = time.Duration(user+system) * tick
		}
	}
	status, _ := os.ReadFile(proc + "status")
	u.Memory, u.MaxMemory = kilobytes(status, "VmRSS:"), kilobytes(status, "VmHWM:")
	files, _ := os.ReadDir(proc + "fd")
	u.Descriptors = len(files)
	return u
}

// kilobytes reads a line of a process's status, in bytes.
func kilobytes(status []byte, name string) int64 {
	_, rest, _ := bytes.Cut(status, []byte(name))
	line, _, _ := bytes.Cut(rest, []byte("kB"))
	kb, err := strconv.ParseInt(string(bytes.TrimSpace(line)), 10, 64)
	if err != nil {
		return 0
	}
	return kb << 10
}
