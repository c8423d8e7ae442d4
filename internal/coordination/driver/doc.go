// Package driver executes rolling changes. A driver polls the agents, passes the counts to the judge, appends events to the coordinators'
// log, and delivers the open orders of the resulting state to the agents. It holds a lease and sends the lease's fencing token with every
// command; coordinators and agents refuse a driver with an older token. It persists nothing: a driver that takes over continues from the
// log and the agents' reports.
//
// The driver makes no decisions of its own: rollout.State decides what is ordered, judge.Judge whether the new release is worse, and
// rollout.Fence what an agent accepts.
//
// The package also reads plan files and begins changes, for petrelhookctl.
package driver
