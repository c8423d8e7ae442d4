// Package driver drives rolling changes: it polls the agents, appends what happened to the coordinators' log, has the counts judged, and
// delivers the orders of the log's state to the agents. It holds a lease whose fencing token goes with all that it sends; coordinators and
// agents refuse a driver with an older one. It persists nothing: a driver that takes over continues from the log and the agents' reports.
//
// It makes no decisions of its own: rollout.State says what is ordered, judge.Judge what is worse, and rollout.Fence what an agent accepts.
//
// The package also reads plan files and begins changes, for the operators' tool.
package driver
