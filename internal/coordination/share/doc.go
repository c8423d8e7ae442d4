// Package share divides a limit of the whole fleet into allocations that end by themselves: requests to a server that is warming up,
// health checks, calls of discovery. It is pure: no I/O, no clock, no log. An Allocator is kept beside the leader of the coordinators and
// allocates; a Consumer is kept in each member and spends. Neither knows what a unit is. No type is safe for concurrent use.
//
// A unit is one use. A limit has so many units a period. Allocated units count from when they were allocated until a period has passed
// by the allocator's clock, spent or not; what a member reports that it will not spend comes back at once.
//
// # Never more than the limit
//
// Claim: at every moment, the units of allocations that have not ended, which members may still spend or have spent, and the floors of
// all members, are at most the limit's units, as long as any two steady clocks differ in rate by no more than lease.MaxDrift and there
// are no more members than the limit says. As in package lease each moment is one of true time and each length is of the clock named.
//
//  1. Units are allocated by a leader that a majority has confirmed after the request came, and only as far as its allocations that have
//     not ended leave units free beside the floors. (Allocator.Allocate; without that bound TestNeverOverTheLimit finds more than the
//     limit, without the confirmation TestSharesOfAGroup of package replica)
//  2. The leader counts an allocation for a period from when it made it, which is after the member sent its request; the member, which
//     counts from when it sent it, believes for period/(1+MaxDrift), hence for less. (Consumer.ApplyAllocation; without the margin the
//     same test finds it)
//  3. A leader allocates nothing in its first period: what the one before it allocated, until the confirmation that its last response
//     needed, has ended by then. (NewAllocator; without the wait the same test finds it)
//  4. Units come back by a report of what was spent of an allocation in the end: the member spends no more of it before it reports that,
//     and a report that arrives twice counts once. (Consumer.NewRequest, Allocator.Allocate; where units come back before, the same test
//     finds it) The member takes a response that arrives twice for one allocation. (Consumer.ApplyAllocation; TestSharesOfAGroup)
//  5. A lower limit counts from the next request on: what is allocated ends within a period, and nothing is allocated until less than the
//     limit is. So the bound after a change is the larger of both limits for one period at most. (Allocator.SetUnits)
//  6. Floors do not change under a name, and need no message: a member that gets no response uses its floor, alone or with all others.
//
// # What that bounds
//
// A unit that is allocated at a moment is spent within the period after it. So in any time w the fleet spends what was allocated in w and
// the period before: at most the limit's units times w/period+1, rounded up; floors one use a member more, for each may have one saved.
//
// # Fairness
//
// Units are divided max-min fairly by weight, never more than the demand. A member is entitled to its fair share of each period; it gets
// complete units of it when it asks, and stays entitled to the rest, so where there are fewer units than members they take turns. What
// some do not want is available to the others at once.
package share
