// Package streams plays streams of events through routers: servers that behave in all the ways in which a server may, clients that read the
// streams and continue them, and a checker that knows what each stream must consist of.
//
// Each event says which run of a server produced it, and after which event that run began. The checker therefore needs to know nothing of the
// routers: a stream may go on with the events of another run only where that run began after the last event.
package streams
