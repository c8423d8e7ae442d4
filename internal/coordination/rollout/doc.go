// Package rollout defines a rolling change of a release in stages: its plan, its state, the events that change the state, and the orders
// that follow. It is pure. The coordinators' replicated log keeps the events in order (Register), a driver that holds a lease delivers the
// orders to agents, and agents report. The package compares nothing (package judge does) and starts nothing.
//
// The phases of a change:
//
//	Running      stage after stage: sidecars are changed, and as many old ones restarted as their control; then the stage waits for the
//	             judge and for the plan's time
//	Paused       nothing further is changed; what is changed stays
//	RollingBack  no further sidecar is changed, and those that were go back, within the same limits
//	Done         all sidecars are changed
//	Stopped      the change was rolled back or kept as it was, except for sidecars that were abandoned
//
// Time is what a driver has watched of a stage (Event.Elapsed): a driver that takes over continues from what the last one reported.
//
// Invariants: as far as is known, no more sidecars than the plan allows are out of service when another is ordered to change, and no
// more than it allows change at the same time; a sidecar has one open order at a time, and the numbers of orders grow; after a stop no
// sidecar is ordered to the new release; a sidecar that fails to go back is abandoned, named, and never ordered again; equal events make
// equal states and equal orders, also the reasons in a state: replicas of different versions apply the same log, so that these texts
// must not change. OpenOrders returns the orders that are open, so that a driver that takes over repeats them.
//
// Nothing here is safe for concurrent use.
package rollout
