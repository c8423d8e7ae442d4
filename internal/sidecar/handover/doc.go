// Package handover is how one process of a sidecar gives way to the next: a Unix socket through which the one in service
// hands over its listening socket and what it knows, and a link that both keep while both live. It knows nothing of what is
// handed over but its bytes and their checksum.
//
// With the socket itself there is one queue of connections for both, so that none is lost in the queue of the one that closes.
//
//	next                                    in service
//	connects, "petrelhook handover 1\n"
//	                                        "petrelhook handover 1 LENGTH CRC\n", with the socket, and LENGTH bytes
//	"ready\n" once it serves
//	a line of either side whenever it has something to say
//	the end of the connection is the end of the process
//
// Invariants: what is not whole, of another version or of another checksum is an error and hands over nothing; a process in
// service is never stopped by one that asks, and a start never waits for one that does not answer longer than it is told to.
package handover
