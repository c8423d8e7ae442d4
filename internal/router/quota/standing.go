package quota

import "time"

// A router whose lease expired without an answer from a primary keeps a standing share of each limit: standingFraction
// of an equal part. A router that spends it on its own uses less if its last lease was smaller than an equal part; a
// router that deposits it with a pool deposits all of it. A primary reserves a standing share for each router that does
// not reach it, as long as that router may still be running.
const (
	standingFraction = 0.95
	// standingPeriod begins at the end of the lease. A router that no longer reports counts as part of the fleet for longer
	// than that.
	standingPeriod = 12 * time.Second
	// standingLateFactor is the factor of the standing share after standingPeriod. Few routers are partitioned for so long,
	// and the overshoot of the limit covers them.
	standingLateFactor = 1.0 / 3
)

// ReservedFraction returns the fraction of the limits that a primary leaves to the routers that do not reach it;
// activeClients of the fleetSize routers reach it. The fraction is 0 at the beginning of a term: the other routers may
// still hold leases of the previous term, for which the token buckets leave room.
func ReservedFraction(fleetSize, activeClients int, termAge time.Duration) float64 {
	if fleetSize <= 0 || activeClients >= fleetSize || termAge < LeaseDuration+clockMargin {
		return 0
	}
	return standingFraction * float64(fleetSize-activeClients) / float64(fleetSize)
}
