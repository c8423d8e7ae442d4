package clientlimit

import "petrelhook/internal/common/sock"

// Limits are those of one process. 0 means no limit.
type Limits struct {
	MemoryBytes int64
	Descriptors int
}

const (
	// reservedDescriptors are left to files that are no data files.
	reservedDescriptors = 200
	// connectionBytes is the memory of a connection at rest: a goroutine with its stack, and the buffers of net/http.
	connectionBytes = 24 << 10
	// unlimited is the number of connections where there is no limit.
	unlimited = 1 << 20
)

// Parts of the memory, as divisors.
const (
	clientConnectionsPart = 6
	peerConnectionsPart   = 12
	messagesPart          = 4
	peerMessagesPart      = 12
	aloneMessagePart      = 2
	socketBuffersPart     = 8
	lentBuffersPart       = 24
)

// Parts of the sockets, as divisors.
const (
	serverSocketsPart = 3
	peerSocketsPart   = 4
	callerSocketsPart = 12
	probeSocketsPart  = 24
)

// MessageBytes returns the memory for messages: heads, bodies and buffered responses; 0: no limit.
func (l Limits) MessageBytes() int64 { return l.MemoryBytes / messagesPart }

// AloneMessageBytes returns the memory for a message of another process of the system that is alone, with its copies; 0: no limit.
func (l Limits) AloneMessageBytes() int64 { return l.MemoryBytes / aloneMessagePart }

// PeerMessageBytes returns the memory for messages of other processes of the system; 0: no limit.
func (l Limits) PeerMessageBytes() int64 { return l.MemoryBytes / peerMessagesPart }

// ServerConnections returns how many connections to servers may be open.
func (l Limits) ServerConnections() int {
	return min(l.sockets(serverSocketsPart), l.connectionsIn(clientConnectionsPart))
}

// PeerConnections returns how many connections of other processes of the system may be open.
func (l Limits) PeerConnections() int {
	return min(l.sockets(peerSocketsPart), l.connectionsIn(peerConnectionsPart))
}

// CallerConnections returns how many connections of servers and operators may be open.
func (l Limits) CallerConnections() int {
	return min(l.sockets(callerSocketsPart), l.connectionsIn(clientConnectionsPart)/4)
}

// ProbeConnections returns how many connections of the platform's probes may be open.
func (l Limits) ProbeConnections() int {
	return min(l.sockets(probeSocketsPart), l.connectionsIn(clientConnectionsPart)/8)
}

// ClientConnections returns how many connections of clients may be open: what the others leave.
func (l Limits) ClientConnections() int {
	others := l.ServerConnections() + l.PeerConnections() + l.CallerConnections() + l.ProbeConnections()
	memory := l.connectionsIn(clientConnectionsPart)
	return max(1, min(l.sockets(1)-others, memory-memory/4-memory/8))
}

// SocketBufferBytes returns the size of each of the two buffers that the kernel keeps for a connection of a client or a server; 0: the
// kernel chooses. Connections of peers are read at all times.
func (l Limits) SocketBufferBytes() int {
	const buffersOfClient = 2 // a connection to a server uses one of its two at a time
	return l.bufferBytes(buffersOfClient*(l.ClientConnections()+l.CallerConnections()+l.ProbeConnections()) + l.ServerConnections())
}

// SendBuffers returns the larger buffers for responses that do not fit into those of SocketBufferBytes.
func (l Limits) SendBuffers() *sock.SendBuffers {
	return sock.NewSendBuffers(l.SocketBufferBytes(), l.MemoryBytes/lentBuffersPart)
}

// bufferBytes returns the size of each of so many buffers.
func (l Limits) bufferBytes(buffers int) int {
	return sock.BufferBytes(l.MemoryBytes/socketBuffersPart, buffers)
}

// sockets returns a part of the descriptors that are left to sockets.
func (l Limits) sockets(part int) int {
	if l.Descriptors <= 0 {
		return unlimited / part
	}
	return max(1, (l.Descriptors-reservedDescriptors)/part)
}

// connectionsIn returns how many connections a part of the memory holds.
func (l Limits) connectionsIn(part int64) int {
	if l.MemoryBytes <= 0 {
		return unlimited
	}
	return max(8, int(l.MemoryBytes/part/connectionBytes))
}
