package config

import (
	"fmt"

	"petrelhook/internal/common/sock"
)

// reservedDescriptors is how many descriptors are kept for discovery, the listener, the runtime and connections that are being
// rejected.
const reservedDescriptors = 32

// unlimitedConnections is the number of allowed connections if Sockets sets no limit.
const unlimitedConnections = 1 << 20

// check returns an error if a limit is below 0.
func (l Limits) check(text source) error {
	for _, limit := range []struct {
		field string
		value float64
	}{{"cores", l.Cores}, {"memory_mb", float64(l.MemoryMB)}, {"sockets", float64(l.Sockets)}} {
		if limit.value < 0 {
			return text.errorIn("limits."+limit.field, fmt.Sprintf("%v is below 0", limit.value), "0 is no limit")
		}
	}
	return nil
}

// ClientConnections returns how many connections clients may have. Up to a third of the descriptors are for clients with
// requests, and another third is for servers. Idle client connections, which can be closed to free descriptors, may use the rest.
func (l Limits) ClientConnections() int {
	if l.Sockets <= 0 {
		return unlimitedConnections
	}
	return max(1, l.Sockets-reservedDescriptors-l.ServerConnections())
}

// ServerConnections returns how many connections to servers may be open.
func (l Limits) ServerConnections() int {
	if l.Sockets <= 0 {
		return unlimitedConnections
	}
	return max(1, l.Sockets/3)
}

// MessageBytes returns how many bytes of bodies and responses may be in memory at once: a quarter of the memory limit, or 0 for
// no limit. Most of the rest is for headers and messages under 4 KiB, of which each connection may have one, for buffers of
// streamed messages, and for garbage.
func (l Limits) MessageBytes() int64 { return int64(l.MemoryMB) << 20 / 4 }

// Parts of the memory limit, as divisors, that the kernel's buffers of all connections may take, and the larger ones of long responses.
const (
	socketBuffersPart = 6
	lentBuffersPart   = 16
)

// SocketBufferBytes returns the size of each of the two buffers that the kernel keeps for a connection, or 0 for no limit. A connection to a
// server uses one of them at a time; its buffer for uploads is larger.
func (l Limits) SocketBufferBytes() int {
	return sock.BufferBytes(int64(l.MemoryMB)<<20/socketBuffersPart, 2*l.ClientConnections()+l.ServerConnections())
}

// SendBuffers returns the larger buffers for responses that do not fit into those of SocketBufferBytes.
func (l Limits) SendBuffers() *sock.SendBuffers {
	return sock.NewSendBuffers(l.SocketBufferBytes(), int64(l.MemoryMB)<<20/lentBuffersPart)
}
