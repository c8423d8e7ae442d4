// Package scale measures what a fleet of a given size costs each role, on real processes observed from outside. It starts
// coordinators (petrelhook-coordinator) and, beside them, hollow members, many to a process: they send and serve the same
// calls as real members, with the product's own client code over loopback, and leave out only the work behind the calls.
//
//	Options, layout                   what is run, and how many descriptors that takes (pure)
//	Run, series, run                  sizes, runs and limits; each run starts everything anew and leaves nothing behind
//	processGroup, coordinatorGroup    processes that end with this one; three of them are coordinators
//	memberProcesses, ServeMembers     the two ends of the pipes between a run and its processes of hollow members
//	sessions, agents                  hollow members: clients of leases, and agents with a sidecar each
//	subscribers                       hollow members that wait for versions of a configuration, with the agents' client
//	realMachines, MindSidecars        real members: an agent and a sidecar each; and the process that ends leftover sidecars
//	serving, realversions.go          the load on real sidecars and its audit; when versions are in force there
//	published                         how long versions took to all members, and that each got its own, in order (pure)
//	relay, observation, rates         processor time, memory, descriptors, and bytes between coordinators
//	comparison.go                     whether a hollow member costs the coordinators the same as a real one
//
// Figures are rates over a window of some seconds that begins when all members have joined. For a role that is a process of its
// own (leader, driver, follower) a figure is of one process, or the mean of the two followers; for roles that share a process
// (member, agent) it is that of all of them divided by their number. A message is one request or one response.
//
// Invariants: loopback only; no limit is raised; a run that does not fit into the limit of descriptors fails before anything is
// started; one that exceeds its limit of memory or time stops itself; every process that was started has ended when Run returns,
// and also when the process that called it was killed.
package scale

import ()
