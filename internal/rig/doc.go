// Package rig is the map of the rehearsal rig, which holds no code of its own. The rig answers one question: do the
// sidecars keep the four rules, and what do clients get, when a fleet goes wrong in a stated way? It is no part of the
// product: nothing outside internal/rig, but the operators' tool, imports it.
//
//	statement  one line of a scenario's file; knows no verb
//	scenario   what is rehearsed: a text file's fleet, classes, arrivals and faults. Imports statement only.
//	standin    servers and discovery that go wrong as a scenario says, and that write down what they saw
//	arrival    what is due when: shapes, merged streams, traces played and recorded
//	load       sends it on schedule, whatever comes back; latency counts from when a request was due
//	audit      the four rules, judged from the records of all sides: a pure function of scenario and records
//	chain      sidecars behind one another, up to 15 deep: what one adds to a call, and what repeats do over a depth
//	usage      what a process has taken, as the system says
//	scale      what a fleet of some size costs each role: real coordinators beside hollow members
//	rehearse   one run: stand-ins, sidecars (processes, or this process's own), load, faults, verdict, report
//	loopback   a network of sockets on 127.0.0.0/8, with machines that can be cut off
//	memnet     a network in memory, for whole runs in virtual time
//
// Imports point from rehearse to the others, and from all of them to scenario; the two networks know none of them. A run needs
// two things from outside: a network (loopback or memnet) and a starter of sidecars. Who adds a kind of fault touches
// scenario (its words), standin (what happens) and, where a rule is judged by it, audit.
package rig
