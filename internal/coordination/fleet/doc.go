// Package fleet is the process around one replica of the coordinators, and the clients' side of its calls. The server carries out what
// package replica returns, on a disk and over the network, and answers clients. It decides nothing about leases, limits or versions.
// The network is connectrpc.com/connect over HTTP/1.1 with messages in JSON. There is no sign-in and no TLS: whoever reaches the address
// may send requests, so it listens on loopback unless its file says otherwise.
//
// Invariants: one goroutine owns the replica. Nothing is sent or answered before what it rests on is on the disk. An error of the disk
// ends the process. A peer that is slow or gone costs the others nothing but a bounded queue.
//
//	Server        one coordinator
//	Caller        sends requests to whichever coordinator leads
//	Operator      the calls of the operators' tool, with a Caller
//	LimitClient   one member's allocations of one limit
package fleet
