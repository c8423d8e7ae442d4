// Package quota enforces limits across all routers of a fleet: the tenants' quotas and the retry budget. It is pure: the
// caller passes the time and sends the messages. A value of any of its types must not be used by two goroutines at the
// same time.
//
// The package does not decide how many units a request costs.
//
// While a primary answers, routers acquire units from its TokenBuckets. For times without a primary, each tenant's limit
// is divided into shares. The Allocator of the primary allocates shares by demand, as leases that expire without a
// further message; each router spends its share from a token bucket of its own, see Client. Routers without a primary
// that reach each other may deposit their shares with a Pool. A router whose lease has expired keeps a standing share,
// see ReservedFraction.
//
// Invariant: at any time the leased shares that routers consider valid add up to at most 1 for each tenant. A router
// counts the duration of its lease from before its request, the primary from the grant, which is later. The largest
// share that a router was allocated counts as allocated until the lease expires, even if a smaller one was allocated
// since, unless the router's next request reports that it holds less. A new primary only renews the shares that routers
// report to hold, until all routers that reach it had time to report. It does not know the shares of routers that do not
// reach it. These shares expire within the duration of a lease; until then they are covered by the part of the limit's
// slack that the token buckets leave unused.
package quota
