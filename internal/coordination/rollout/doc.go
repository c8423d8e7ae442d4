// Package rollout is a change of a release in stages: a plan, what is so far, events in, orders out. It is pure: a replicated log keeps
// its events in order, a driver that holds a lease carries its orders to agents, agents report. It compares nothing (package judge) and
// starts nothing.
//
//	Running    stage after stage; in each, sidecars are changed, and as many old ones restarted as their control; then it waits for
//	           the judge and for the time that the plan wants
//	Paused     nothing further is changed; what is changed stays
//	TakingBack no further sidecar is changed, and those that were go back, within the same limits
//	Done, Stopped (taken back, or held), each with what was left alone
//
// Time is what a driver has watched of a stage (Elapsed): a driver that takes over begins with what the last one had told.
//
// Invariants: as far as is known, no more sidecars than the plan allows are out of service when one is ordered to change, nor more than
// it allows at once; a sidecar has one order at a time, and orders have numbers that grow; after a stop nobody is ordered to the new
// release; what fails to go back is left alone and named, and never ordered again; equal events make equal states and equal orders, and
// Orders gives those that are open, so that a driver that takes over says them once more.
package rollout
