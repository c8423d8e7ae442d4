// Package fleet is the process around one replica: it carries out what package replica says, on a disk and over the network, and
// answers clients. It decides nothing about leases. The network is connectrpc.com/connect over HTTP/1.1 with messages in JSON; there is
// no sign-in and no TLS: whoever reaches the address may ask, so it listens on loopback unless its file says otherwise.
//
// Invariants: one goroutine owns the replica; nothing is sent or answered before what it rests on is on the disk; an error of the
// disk ends the process; a peer that is slow or gone costs the others nothing but a bounded queue.
package fleet
