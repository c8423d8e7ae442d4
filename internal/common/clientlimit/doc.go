// Package clientlimit bounds what the clients of one process can use up, whatever they send: its memory and its descriptors. Limits
// divides both, a Listener bounds connections, a Memory bounds what messages take, and MessageReader does so for a stream of messages.
//
// # The sum
//
// A process is killed when its memory, with what the kernel holds for its sockets, exceeds Limits.MemoryBytes (M). For any clients
//
//	connections at rest    at most M/6: ClientConnections x connectionBytes (goroutine, its stack, read and write buffers)
//	connections to servers at most M/18: ServerConnections, as many as M/6 has connections at rest, with a read buffer each
//	connections of peers   at most M/12: PeerConnections x connectionBytes
//	messages of peers      at most M/12, or one message alone, which may take up to M/2
//	messages               at most M/4: Memory, with growing buffers and their copies, long heads, bodies and responses
//	kernel's queues        at most M/8: connections x queues of SocketBufferBytes, two for a client and one at a time for a server
//	larger send buffers    at most M/24: SendBuffers, for responses that do not fit
//	calls                  of a process with a single HTTP server, which has no peers: M/4 as above, or one call alone, up to M/2
//	the process at rest    the rest, with what the garbage collector has not freed; its limit is set by the program
//
// Of the descriptors, reservedDescriptors are left to files, a third to connections to servers, and the listeners share the rest, so
// that no listener can take those of another.
//
// # What happens at a bound
//
// A new connection takes the place of another one that is of less use: one that is being closed, the one that has been idle for longest, or
// one that is stalled or slow. If there is none, it takes that of the IP address with the most connections whose request has been arriving
// for longest. If there is none either it gets 503 and is closed. An address that has more than half of all connections puts out no others
// that are idle or slow, and none gets more than seven eighths of all.
//
// A message for which no memory is left takes that of others that are stalled and then of the slowest; if there are none it is refused.
//
// A message is stalled if it has brought less than minProgressBytesPerSecond on average after progressGrace, or less than recentBytes in the
// last recentInterval; it is slow if it has brought less than slowBytesPerSecond on average after slowGrace. Below the bounds nobody is put
// out, however slow.
//
// A client that sends on after a refusal can read the response while net/http keeps the connection; what it sends stays within the
// kernel's queue.
package clientlimit
