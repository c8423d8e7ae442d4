// Package admission decides which client connections of a sidecar stay open: whether a new connection is admitted, and which
// idle connection is evicted for a new one when the maximum is reached. It performs no I/O and reads no clock: its methods get
// events with their times and return decisions. Package connlimit opens and closes the connections. Package balance, the
// decision module, decides whether a request is served.
//
// The value of a connection is derived from the probability that it sends another request soon. The probability is learned
// from how connections with the same history (none, one, a few or many requests so far) behaved after the same idle time.
// Observations decay exponentially, so a change in the clients' behaviour is learned within seconds.
//
// Invariants: a connection is in exactly one list from Admit to Closed; no more than MaxConnections are open; a connection
// with a request in progress is never evicted; of two idle connections with the same history the one that has been idle for
// longer is evicted first.
package admission
