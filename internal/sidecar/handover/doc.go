// Package handover transfers the listening socket and the state of one process of a sidecar to its successor. The process in
// service answers the successor's request at a Unix socket, and the connection stays open as a link between the two while both
// run. The package does not interpret the state or the lines of the link.
//
// The descriptor of the listening socket itself is passed, so that both processes share one accept queue and no connection is
// lost when the predecessor closes its descriptor.
//
//	successor                               process in service
//	connects, "petrelhook handover 1\n"
//	                                        "petrelhook handover 1 LENGTH CRC\n", with the socket, and LENGTH bytes
//	"ready\n" once it serves
//	lines from either side, at any time
//	a closed connection means that the other process has ended
//
// Invariants: a hand-over that is incomplete, has another version or fails its checksum is an error, and no part of it is used. A
// request never stops the process in service, and a successor never waits for an answer longer than its timeout.
package handover
