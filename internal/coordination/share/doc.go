// Package share divides a limit of the whole fleet into allocations that expire by themselves. Such limits are for requests to a server
// that is warming up, health checks and calls of discovery. The package does no I/O, reads no clock and keeps no log. An Allocator runs
// beside the leader of the coordinators and allocates units; a Consumer runs in each member of the fleet and spends them. Neither knows
// what a unit stands for. No type is safe for concurrent use.
//
// A unit is one use. A limit allows a number of units per period. Allocated units count, spent or not, from when they were allocated
// until a period has passed by the allocator's clock. Units that a member reports as unspent are free at once.
//
// # Never more than the limit
//
// Claim: at every moment the units of all active allocations (those that have not expired), spent or not, and the floors of all members
// are together at most the limit's units, as long as the rates of any two steady clocks differ by no more than lease.MaxDrift and there
// are no more members than the limit allows. As in package lease each moment is one of true time and each duration is measured by the
// clock that is named.
//
//  1. Units are allocated by a leader that a majority has confirmed after the request arrived, and only as far as its active allocations
//     leave units free beside the floors. (Allocator.Allocate; without that bound TestNeverOverTheLimit exceeds the limit, without the
//     confirmation TestSharesOfAGroup of package replica does)
//  2. The leader counts an allocation for a period from when it made it, which is after the member sent its request. The member counts from
//     when it sent the request, and only for period/(1+MaxDrift), so that it stops earlier. (Consumer.ApplyAllocation; without the margin
//     TestNeverOverTheLimit fails)
//  3. A leader allocates nothing in its first period. Every allocation of an earlier leader needed a confirmation before the new leader was
//     elected, so it has expired by the end of that period. (NewAllocator; without the wait TestNeverOverTheLimit fails)
//  4. A member returns units by a report of how much it spent of an allocation in all. From the moment it creates the report it spends no
//     more of the allocation, and a report that arrives twice counts once. (Consumer.NewRequest, Allocator.Allocate; if spent units are
//     returned too, or returned units are spent, TestNeverOverTheLimit fails) A response that arrives twice is one allocation for the member.
//     (Consumer.ApplyAllocation; TestSharesOfAGroup)
//  5. A lower limit applies from the next request on: existing allocations expire within a period, and nothing is allocated until they are
//     below the limit. So for at most one period after a change, the bound is the larger of the two limits. (Allocator.SetUnits)
//  6. Floors do not change under a name, and need no message: a member that gets no response uses its floor, even if no member gets one.
//
// # Bound over a time
//
// A unit is spent within one period after it is allocated. So in any time w the fleet spends only units that were allocated within w and
// the period before it: at most the limit's units times w/period+1, rounded up. Floors add one use per member, because each member may
// have one saved.
//
// # Fairness
//
// Units are divided max-min fairly by weight, and a member gets no more than its demand. A member is entitled to its fair share of each
// period. When it sends a request it gets the complete units of its entitlement, and stays entitled to the rest, so that members take turns
// if there are fewer units than members. What some members do not want is available to the others at once.
package share
