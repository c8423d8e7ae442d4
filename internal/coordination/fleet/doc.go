// Package fleet contains the coordinator's server, which runs one replica, and the clients of its calls. The server persists and
// sends what package replica returns, and answers clients. It makes no decisions about leases, limits or versions. The protocol
// is connectrpc.com/connect over HTTP/1.1 with messages in JSON. There is neither authentication nor TLS: anyone who can reach
// the address may send requests, so the server listens on a loopback address unless its settings allow others.
//
// Invariants: one goroutine owns the replica. The state on which a message or a response depends is on the disk before it is
// sent. A disk error ends the process. A slow or unreachable peer does not delay the others; it only occupies a bounded queue.
//
//	Server        one coordinator
//	Caller        sends requests to the coordinator that leads
//	Operator      the calls of the operators' tool, by a Caller
//	LimitClient   one member's allocations of one limit
package fleet
