// Package rig describes the rehearsal rig and has no code of its own. The rig answers one question: do the sidecars keep the four
// rules, and what do clients get, when a fleet has given faults? It is no part of the product: outside internal/rig only the operators'
// tool and tests import it.
//
// Rehearsals of sidecars:
//
//	statement  parses one line of a scenario's file; knows no verb
//	scenario   what is rehearsed: a file's fleet, classes, arrivals and faults. Imports statement only.
//	standin    stand-in servers and a discovery that have the faults of a scenario, and record what they observe
//	arrival    the schedule of requests: shapes of load, merged streams, traces replayed and recorded
//	load       sends the schedule, whatever is answered; latency counts from scheduled times
//	audit      the four rules, checked on the records of all sides: a pure function of scenario and records
//	rehearse   one run: stand-ins, sidecars (processes, or in this process), load, faults, verdict, report
//	chain      sidecars behind one another, up to 15 deep: what one adds to a call, and how retries multiply
//	loopback   a network of sockets on 127.0.0.0/8, with machines that can be isolated
//	memnet     a network in memory, for complete runs in virtual time
//
// Coordinators and agents:
//
//	group           a group of coordinators and its clients in virtual time, from one seed: the replicas alone
//	coordinator     coordinators for tests, in this process or as processes with links between them
//	simcoordinator  the same coordinators in memory and in virtual time: the whole program but for its command line
//	driverlog       which coordinator drives rolling changes, by their logs
//	deployment      coordinators, agents and sidecars, as processes or in memory, for tests of rolling changes and versions
//	simhost         a machine in memory on which agents start sidecars: processes, signals, hand-overs
//	contend      processes that contend for a lease; belief checks their records
//	scale        what a fleet of a given size costs each role: real coordinators with hollow members
//
// Used by these:
//
//	link, process, usage   a TCP relay with faults; processes of tests; resources of a process
//	bubble, racedetector   virtual time for a test, also with the race detector; whether it is there
//	sidecarlog             the address and the last lines of a sidecar's log
//	provenance             the revision and the machine of a measurement
//	engines                routing policies before simulated model servers, in virtual time
//	mutate                 the product with a piece of its source replaced, to show that checks can fail
//
// Imports point from rehearse to the packages of its list, and from all of them to scenario; the two networks import none of them. A
// run needs two things from its caller: a network (loopback or memnet) and a Starter of sidecars. A new kind of fault changes scenario
// (its syntax), standin (its effect) and, if a rule depends on it, audit.
package rig
