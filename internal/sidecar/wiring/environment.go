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

// Environment is what a process of a sidecar uses of its machine: System in service, and in tests a machine in memory. Its functions are
// called from any goroutine.
type Environment struct {
	Dial   Dial
	Listen func(addr string) (net.Listener, error)
	// ListenShared listens at an address that another process of the sidecar may have, and that shares it in the same way.
	ListenShared func(addr string) (net.Listener, error)
	// Rendezvous returns the place where the processes of the sidecar with a name and a listening address find each other.
	Rendezvous func(name, listen string) Rendezvous
	// Limit limits the process to some processors and MiB of memory (0: no limit); with shared to half of the memory, because another
	// process of the sidecar lives. It may be called again.
	Limit func(processors, memoryMiB int, shared bool)
}

// Rendezvous is where the processes of one sidecar find each other.
type Rendezvous interface {
	// Request asks the process in service for a hand-over. Its errors are those of handover.Rendezvous.Request.
	Request(timeout time.Duration) (*handover.Handover, error)
	// Offer answers the requests of successors, in place of the process that did so before, until end is called. end waits until all
	// functions of the offer have returned.
	Offer(Offer) (end func(), err error)
}

// Offer is what a process in service offers to successors. Its functions are called from a goroutine for each successor.
type Offer struct {
	Listener net.Listener // whose socket a successor gets
	// State returns what a successor gets beside the socket. From then on this process keeps to its share of the connections: the socket
	// is ready to be sent when State is called.
	State func() ([]byte, error)
	// OnSuccessor is called with the link to a successor that was sent both. The link is closed when it returns.
	OnSuccessor func(*handover.Link)
	// OnError is called when a request failed. Later requests are answered all the same.
	OnError func(error)
}

// memoryFraction of the limit is what the Go runtime keeps to. C stacks and kernel buffers come on top.
const memoryFraction = 0.7

// System is the environment of a process of the operating system.
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

// errNoSocket says that a listener has no socket that could be passed on.
var errNoSocket = errors.New("the listener has no socket")

// Offer implements Rendezvous.
func (r socketRendezvous) Offer(o Offer) (end func(), err error) {
	listener, ok := o.Listener.(interface{ File() (*os.File, error) })
	if !ok {
		return nil, errNoSocket
	}
	server := &handover.Server{OnSuccessor: o.OnSuccessor, OnError: o.OnError, Snapshot: func() (*os.File, []byte, error) {
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
