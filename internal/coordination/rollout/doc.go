// Package rollout implements the state machine of a rolling change from one release to another in stages: the plan, the state, the events
// that change the state, and the orders that result. It does no I/O and reads no clock. The coordinators' replicated log orders the events
// (Register), a driver that holds a lease delivers the orders to agents, and the agents report the results. Comparing the releases is left
// to package judge.
//
// The phases of a change:
//
//	Running      stage after stage, sidecars are changed and the plan's number of old ones is restarted as a control group; then the stage
//	             waits for the judge's verdict and for the plan's minimum time
//	Paused       no further sidecar is changed; changed sidecars keep the new release
//	RollingBack  no further sidecar is changed, and the changed ones go back to the old release, within the same limits
//	Done         all sidecars are changed
//	Stopped      the change was rolled back, except for abandoned sidecars, or the plan keeps what was changed
//
// Durations are measured by the driver and reported as events (Event.Elapsed), so that a driver that takes over continues from what the
// last one reported.
//
// Invariants:
//
//   - An order is issued only if, as far as is known, no more sidecars than the plan allows are then out of service, and no more are then
//     changing. The rollback of a sidecar that is out of service already is exempt from the first limit.
//   - A sidecar has at most one open order, and the numbers of orders grow.
//   - After a stop no sidecar is ordered to run the new release.
//   - A sidecar that cannot be rolled back is marked as abandoned, with the reason, and never ordered again.
//   - The same events produce the same states and orders, including the reasons in a state. Replicas of different versions apply the same
//     log, so these texts must not change.
//
// OpenOrders returns the orders that are open, so that a driver that takes over can repeat them.
//
// No type is safe for concurrent use.
package rollout
