// Package share divides a limit of the whole fleet into parts that end by themselves: requests to a server that is cold, probes, calls of
// discovery. It is pure: no I/O, no clock, no log. A Divider stands beside the leader of the coordinators and gives; a Taker stands in
// each member and spends. Neither knows what a unit is.
//
// A unit is one use. A limit has so many units a period. What was given counts from when it was given until a period has passed by the
// divider's clock, spent or not; what a member says it will not spend comes back at once.
//
// # Never more than the limit
//
// Claim: at every moment, the units that members believe they may still spend or have spent of parts that have not ended, and the floors
// of all members, are at most the limit's units, as long as any two steady clocks differ in rate by no more than lease.Drift and there
// are no more members than the limit says. As in package lease each moment is one of true time and each length is of the clock named.
//
//  1. A part is given by a leader that a majority has confirmed after the question came, and only as far as what it has given and has not
//     ended leaves room beside the floors. (Divider.Ask; without the room TestNeverOverTheLimit finds more than the limit,
//     without the confirmation TestSharesOfAGroup of package replica)
//  2. The leader counts it for a period from when it gave it, which is after the member asked; the member, who counts from when it
//     asked, believes for period/(1+Drift), hence for less. (Taker.Told; without the margin the same test finds it)
//  3. A leader gives nothing in its first period: what the one before gave, until the confirmation that its last answer needed, has ended
//     by then. (Lead; without the wait the same test finds it)
//  4. What comes back is told as what was spent of a part, at the end: the member spends no more of it before it says so, and to hear it
//     twice is to hear it once. (Taker.Ask, Divider.Ask; where it comes back before, the same test finds it)
//     The member takes an answer that is heard twice for one part. (Taker.Told; TestSharesOfAGroup)
//  5. A limit that gets lower counts from the next question on: what is out ends within a period, and nothing is given until what is out
//     is below it. So the bound after a change is the larger of both limits for one period at most. (Divider.Change)
//  6. Floors do not change under a name, and need no word of anybody: a member that is told nothing uses its floor, alone or with all.
//
// # What that bounds
//
// A unit that is given at a moment is spent within the period after it. So in any time w the fleet spends what was given in w and the
// period before: at most the limit's units times w/period+1, rounded up; floors one use a member more, for each may have one in hand.
//
// # Who gets what
//
// Fair by weight, never more than asked for (max-min). A member is due its fair part of each period, whole units of it are given when it
// asks, the rest stays due; so where there are fewer units than members all have one in turn. What others leave is given at once.
package share
