package clientlimit

import (
	"net"
	"net/http"
	"runtime/debug"
	"syscall"

	"petrelhook/internal/common/sock"
)

// DefaultMemoryMb is the memory limit of a process whose settings have none.
const DefaultMemoryMb = 1024

// ProcessLimits returns the limits of a process with a memory limit in MB, and with the descriptors that the operating system allows it.
func ProcessLimits(memoryMb int) Limits {
	limits := Limits{MemoryBytes: int64(memoryMb) << 20}
	var descriptors syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors) == nil {
		limits.Descriptors = int(min(descriptors.Cur, unlimited))
	}
	return limits
}

// collectorFraction is the fraction of the memory near which the garbage collector works harder.
const collectorFraction = 0.6

// LimitCollector sets the memory limit of the garbage collector of this process.
func (l Limits) LimitCollector() {
	if l.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(collectorFraction * float64(l.MemoryBytes)))
	}
}

// maxCallHeadBytes is the size of the longest head of a call.
const maxCallHeadBytes = 64 << 10

// CallLimits are those of requests to which no configuration applies: calls of other processes of the system and of operators.
func CallLimits() RequestLimits { return RequestLimits{HeadBytes: maxCallHeadBytes} }

// Limit bounds what the callers of a process with a single HTTP server can use up. It returns the listener to serve, and the memory for
// requests. It is called before the server serves.
func (l Limits) Limit(server *http.Server, listener net.Listener) (*Listener, *Memory) {
	sock.SetBuffers(listener, l.bufferBytes(2*l.ClientConnections()))
	memory := NewMemory(l.MessageBytes())
	memory.AloneLimit = l.AloneMessageBytes()
	Attach(server)
	return NewListener(listener, l.ClientConnections(), memory, CallLimits), memory
}
