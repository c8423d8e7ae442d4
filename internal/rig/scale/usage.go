package scale

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"petrelhook/internal/monotonic"
)

// usage is what a process has taken, as the system says.
type usage struct {
	at          int64         // ns of the machine's monotonic clock
	cpu         time.Duration // since its start, user and system, of all its threads
	memory      int64         // bytes resident
	descriptors int
	connections int // sockets that are descriptors, listeners with them
}

// usageOf looks at a process.
func usageOf(pid int) (u usage, err error) {
	if u.cpu, err = processorTime(pid); err != nil {
		return u, err
	}
	u.at = int64(monotonic.Now())
	if u.memory, err = resident(pid); err != nil {
		return u, err
	}
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		return u, err
	}
	u.descriptors = len(files)
	for _, f := range files {
		if to, err := os.Readlink(filepath.Join(dir, f.Name())); err == nil && strings.HasPrefix(to, "socket:") {
			u.connections++
		}
	}
	return u, nil
}

// processorTime is a process's clock of processor time, in ns: the ticks of its stat are too coarse for a window of
// seconds.
func processorTime(pid int) (time.Duration, error) {
	var t unix.Timespec
	clock := int32(^pid)<<3 | 2 // clock_getcpuclockid(3): the clock of all threads of a process, by its number
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, fmt.Errorf("processor time of process %d: %w", pid, err)
	}
	return time.Duration(t.Nano()), nil
}

// resident is the memory of a process, in bytes.
func resident(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0, fmt.Errorf("/proc/%d/statm: %q", pid, text)
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// sizeOf is the bytes of all files of a folder.
func sizeOf(dir string) (size int64, err error) {
	err = filepath.WalkDir(dir, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		if err == nil {
			size += info.Size()
		}
		return err
	})
	return size, err
}

// Memory is what the machine has, in bytes.
func Memory() (int64, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		var kb int64
		if n, _ := fmt.Sscanf(line, "MemTotal: %d kB", &kb); n == 1 {
			return kb << 10, nil
		}
	}
	return 0, fmt.Errorf("/proc/meminfo: there is no MemTotal")
}
