// Package scale asks what a fleet of some size costs, and answers with figures of real processes seen from outside.
// It starts coordinators (petrelhook-coordinator) and, beside them, hollow members, many to a process: they make and answer the
// very calls that real ones do, by the product's own client code over loopback, and leave out only the work behind
// the calls.
//
//	Options, layout   what is run, and how many descriptors that takes (pure)
//	Run               sizes, runs and budgets; each run starts everything anew and leaves nothing behind
//	family, group     processes that end with this one; three of them are coordinators
//	Members           the other side of the run's pipe: the process of hollow members
//	sessions, agents  the members: of the lease client, and of machines with a sidecar each
//	watchers          members that wait for versions of a configuration, by the client of agents
//	machines, minder  real members: an agent and a sidecar each, and who ends the sidecars that agents leave
//	serving, reals    what real sidecars serve, judged by the rules; when versions are in force there, what calls take
//	published         how long versions took to all members, and that each got its own, in order (pure)
//	relay             what is seen from outside: processor time, memory, descriptors, and the bytes between coordinators
//
// Figures are rates over a window of some seconds that begins when all members have joined. Of the roles that are
// processes of their own (leader, driver, follower) a figure is of one process, or the mean of the two followers; of
// those that share a process (member, agent) it is that of all of them, divided by how many there are. A message is
// one request or one answer.
//
// Invariants: loopback only; no limit is raised; what would not fit into the limit of descriptors fails before
// anything is started; what passes the budget of memory or time stops itself; every process that is started has ended
// when Run returns, and also where the process that called it was killed.
package scale
