// Package quota enforces the limits that all routers keep together: tenants' quotas and the budget of retries. It is
// pure: time is handed in, nothing is sent. Each type is for one goroutine at a time.
//
// It does not decide what a request costs, and it does not send the messages between routers and the primary.
//
// While a primary answers, routers acquire units from its TokenBuckets. For the time in which none answers, each
// tenant's limit is divided into shares. The primary's Allocator allocates them by demand, as leases that expire by
// themselves; each router spends its share from a bucket of its own, see Client. Routers in contact with each other may
// leave their shares to a Pool. A router whose lease has expired keeps a standing share, see ReservedFraction.
//
// Invariant: at every moment the shares that routers believe to have add up to no more than 1 for each tenant. A lease
// counts for its router from before it was requested, for the primary from when it was granted. The largest share that
// a router was allocated counts as allocated until the lease expires, even where a smaller one followed, unless the
// router's next request reports that it holds less. A new primary first allocates nothing but the shares that routers
// report to hold, for as long as it takes all that reach it to report. Shares held by routers that do not reach it are
// unknown to it; they expire within a lease, and the part of the limit's slack that the buckets leave unused covers
// them.
package quota
