// Package admission decides which client connections of a sidecar stay open: whether a new one is admitted, and which idle
// one is evicted for it when the maximum is reached. It is pure: events and times go in, decisions come out; package connlimit
// opens and closes the connections. Whether a request is served is not decided here but by the decision module.
//
// A connection is valued by the probability that it sends another request soon. The probability is learned from what
// connections with the same history did after the same idle time: those that never sent a request, sent one, a few, or many.
// Observations decay exponentially, so a change in the clients' behaviour is learned within seconds.
//
// Invariants: a connection is in exactly one list from Admit to Closed; no more than MaxConnections are open; one with a
// request in progress is never evicted; of two connections with the same history the one that has been idle for longer is
// evicted first.
package admission
