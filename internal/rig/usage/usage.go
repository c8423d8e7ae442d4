// Package usage reads the resources that a process uses from the system, without help of the process. Linux only.
package usage

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"petrelhook/internal/coordination/monotonic"
)

// Usage is the usage of one process at one moment.
type Usage struct {
	Time        int64         `json:"-"`                // ns of the machine's monotonic clock
	CPU         time.Duration `json:"cpu_ns"`           // since its start, user and system, of all its threads
	Memory      int64         `json:"memory_bytes"`     // resident
	MaxMemory   int64         `json:"max_memory_bytes"` // largest resident so far
	Descriptors int           `json:"descriptors"`
	Connections int           `json:"connections"` // descriptors that are sockets, listeners included
}

// Of reads the usage of a process. On an error it returns what was read until then.
func Of(pid int) (u Usage, err error) {
	if u.CPU, err = processorTime(pid); err != nil {
		return u, err
	}
	u.Time = int64(monotonic.Now())
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	if u.Memory, err = readKilobytes(status, "VmRSS:"); err != nil {
		return u, err
	}
	if u.MaxMemory, err = readKilobytes(status, "VmHWM:"); err != nil {
		return u, err
	}
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		return u, err
	}
	u.Descriptors = len(files)
	for _, f := range files {
		if to, err := os.Readlink(filepath.Join(dir, f.Name())); err == nil && strings.HasPrefix(to, "socket:") {
			u.Connections++
		}
	}
	return u, nil
}

// processorTime reads the CPU-time clock of a process: the ticks of /proc/PID/stat are too coarse for a window of seconds.
func processorTime(pid int) (time.Duration, error) {
	var t unix.Timespec
	clock := int32(^pid)<<3 | 2 // as clock_getcpuclockid(3) makes it: the clock of all threads of the process
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, fmt.Errorf("processor time of process %d: %w", pid, err)
	}
	return time.Duration(t.Nano()), nil
}

// Resident is the resident memory of a process, in bytes.
func Resident(pid int) (int64, error) { return readStatus(pid, "VmRSS:") }

// MaxResident is the largest resident memory of a process so far, in bytes. It is an error after the process's end.
func MaxResident(pid int) (int64, error) { return readStatus(pid, "VmHWM:") }

// readStatus reads a value of /proc/PID/status, in bytes.
func readStatus(pid int, name string) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	return readKilobytes(status, name)
}

// MachineMemory is the memory of the machine, in bytes.
func MachineMemory() (int64, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	return readKilobytes(text, "MemTotal:")
}

// readKilobytes reads the value of a line "NAME N kB", in bytes.
func readKilobytes(text []byte, name string) (int64, error) {
	_, rest, _ := bytes.Cut(text, []byte(name))
	line, _, ok := bytes.Cut(rest, []byte("kB"))
	kb, err := strconv.ParseInt(string(bytes.TrimSpace(line)), 10, 64)
	if !ok || err != nil {
		return 0, fmt.Errorf("there is no %s in kB", name)
	}
	return kb << 10, nil
}
