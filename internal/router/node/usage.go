package node

import (
	"bytes"
	"os"
	"runtime"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// usageInterval is the time between two looks at the memory of the process.
	usageInterval = time.Second
	// nearMemoryLimit is the fraction of Limits.MemoryMb above which the process logs what its memory is used for. A process
	// that goes over the limit is killed and can log nothing any more.
	nearMemoryLimit = 0.8
)

// Usage is what the process uses of its machine. A figure that cannot be read is 0.
type Usage struct {
	ResidentMb  float64 // without the pages of the program file and other mapped files
	Descriptors int     // open ones
	Goroutines  int
	BodiesMb    float64 // reserved for the bodies and the long heads of requests
	CPUSeconds  float64 `json:",omitempty"` // processor time since the start, of the process and of the kernel for it
}

// usage returns the present usage. It needs no lock.
func (n *Node) usage() Usage {
	resident, _ := residentBytes()            // not known where there is no /proc
	descriptors, _ := os.ReadDir(descriptors) // likewise
	return Usage{ResidentMb: megabytes(resident), Descriptors: len(descriptors), Goroutines: runtime.NumGoroutine(),
		BodiesMb: megabytes(n.memory.Reserved()), CPUSeconds: cpuTime().Seconds()}
}

// cpuTime returns the processor time that the process has used, or 0 if it is not known.
func cpuTime() time.Duration {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func megabytes(count int64) float64 { return float64(count) / (1 << 20) }

// Files that describe the process.
const (
	memoryCounts = "/proc/self/statm"
	descriptors  = "/proc/self/fd"
)

// errMemoryCounts is the error of residentBytes for a file without the expected fields.
var errMemoryCounts = errors.New(memoryCounts + " does not have the fields of Linux")

// residentBytes returns the resident memory of the process without mapped files.
func residentBytes() (int64, error) {
	text, err := os.ReadFile(memoryCounts)
	if err != nil {
		return 0, errors.Wrap(err, "read memory counts")
	}
	const residentField, sharedField = 1, 2 // in pages
	fields := bytes.Fields(text)
	if len(fields) <= sharedField {
		return 0, errMemoryCounts
	}
	resident, err := strconv.ParseInt(string(fields[residentField]), 10, 64)
	if err != nil {
		return 0, errors.Mark(err, errMemoryCounts)
	}
	shared, err := strconv.ParseInt(string(fields[sharedField]), 10, 64)
	if err != nil {
		return 0, errors.Mark(err, errMemoryCounts)
	}
	return (resident - shared) * int64(os.Getpagesize()), nil
}

// tickUsage logs the usage of the process when its memory comes near the limit, once each time.
func (n *Node) tickUsage(now time.Duration) {
	limit := nearMemoryLimit * float64(n.settings.Limits.MemoryMb)
	if limit == 0 || !n.timers.checkUsage.elapsed(usageInterval, now) {
		return
	}
	resident, err := residentBytes()
	near := err == nil && megabytes(resident) > limit
	if near && !n.nearMemoryLimit {
		n.logUsage("memory is near the limit")
	}
	n.nearMemoryLimit = near
}

// logUsage logs the usage of the process.
func (n *Node) logUsage(message string) {
	u := n.usage()
	n.logger.Warn().Int("limit_mb", n.settings.Limits.MemoryMb).Float64("resident_mb", u.ResidentMb).Float64("bodies_mb", u.BodiesMb).
		Int("descriptors", u.Descriptors).Int("goroutines", u.Goroutines).Msg(message)
}
