// Package handover passes the listening socket and the state of one process of a sidecar to its successor, through a Unix socket at which
// the process in service answers requests, and keeps a link between the two while both live. It does not interpret the state or the lines
// of the link.
//
// The listening socket itself is passed on, so that both processes have the same queue of connections and none is lost when the predecessor
// closes its descriptor.
//
//	successor                               process in service
//	connects, "petrelhook handover 1\n"
//	                                        "petrelhook handover 1 LENGTH CRC\n", with the socket, and LENGTH bytes
//	"ready\n" once it serves
//	lines of either side, at any time
//	the end of the connection is the end of the process
//
// Invariants: a hand-over that is incomplete, of another version or of another checksum is an error, and nothing of it is used. A request
// never stops the process in service, and a successor never waits for an answer longer than its time-out.
package handover
