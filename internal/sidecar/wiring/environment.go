package wiring

import (
	"errors"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"petrelhook/internal/common/sock"
	"petrelhook/internal/sidecar/handover"
)

// Environment is what a process of a sidecar uses of its machine: System in production, and a simulated machine in tests. Its functions are
// called from any goroutine.
type Environment struct {
	Dial   Dial
	Listen func(addr string) (net.Listener, error)
	// ListenShared listens at an address at which other processes of the sidecar may listen at the same time, also by ListenShared.
	ListenShared func(addr string) (net.Listener, error)
	// Rendezvous returns the rendezvous of the sidecar that has this name and listening address.
	Rendezvous func(name, listen string) Rendezvous
	// Limit limits the process to a number of processors and to memoryMiB of memory (0: no limit). If shared is set it allows half of that
	// memory, because another process of the sidecar is running. It may be called again.
	Limit func(processors, memoryMiB int, shared bool)
}

// Rendezvous is where the processes of one sidecar find each other.
type Rendezvous interface {
	// Request asks the process in service for a hand-over. Its errors are those of handover.Rendezvous.Request.
	Request(timeout time.Duration) (*handover.Handover, error)
	// Offer answers the requests of successors until end is called, and replaces the process that answered them before. end waits until
	// all functions of the offer have returned.
	Offer(Offer) (end func(), err error)
}

// Offer is what a process in service offers to successors. Its functions are called from one goroutine per successor.
type Offer struct {
	Listener net.Listener // a successor gets its socket
	// State returns the state that a successor gets with the socket. This process is limited to its share of the connections from then on,
	// so State is called only when the socket is ready to be sent.
	State func() ([]byte, error)
	// OnSuccessor is called with the link to a successor that was sent the socket and the state. The link is closed when it returns.
	OnSuccessor func(*handover.Link)
	// OnNotSent is called when a state that State returned has not reached a successor; OnSuccessor is not called for it.
	OnNotSent func()
	// OnError is called when a request failed. Later requests are still answered.
	OnError func(error)
}

// memoryFraction is the fraction of the memory limit that is set as the Go runtime's limit, which does not include C stacks and kernel
// buffers.
const memoryFraction = 0.7

// System returns the environment of a process of the operating system.
func System(dial Dial) *Environment {
	return &Environment{
		Dial: dial, ListenShared: sock.ListenShared, Limit: limitProcess,
		Listen: func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) },
		Rendezvous: func(name, listen string) Rendezvous {
			return socketRendezvous{handover.NewRendezvous(os.TempDir(), name, listen)}
		},
	}
}

// limitProcess implements Environment.Limit.
func limitProcess(processors, memoryMiB int, shared bool) {
	runtime.GOMAXPROCS(max(1, processors))
	if memoryMiB <= 0 {
		return
	}
	limit := memoryFraction * float64(memoryMiB) * (1 << 20)
	if shared {
		limit /= 2
	}
	debug.SetMemoryLimit(int64(limit))
}

// socketRendezvous is a rendezvous at a Unix socket.
type socketRendezvous struct{ handover.Rendezvous }

// errNoSocket is returned for a listener that has no socket to pass on.
var errNoSocket = errors.New("the listener has no socket to pass on")

// Offer implements Rendezvous.
func (r socketRendezvous) Offer(o Offer) (end func(), err error) {
	listener, ok := o.Listener.(interface{ File() (*os.File, error) })
	if !ok {
		return nil, errNoSocket
	}
	server := &handover.Server{OnSuccessor: o.OnSuccessor, OnNotSent: o.OnNotSent, OnError: o.OnError, Snapshot: func() (*os.File, []byte, error) {
		socket, err := listener.File()
		if err != nil {
			return nil, nil, err
		}
		state, err := o.State()
		if err != nil {
			return nil, nil, errors.Join(err, socket.Close())
		}
		return socket, state, nil
	}}
	if err := server.Start(r.Rendezvous); err != nil {
		return nil, err
	}
	return server.Close, nil
}
