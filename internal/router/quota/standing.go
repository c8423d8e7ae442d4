package quota

import "time"

// A router that has had no answer of a primary for longer than its lease keeps a standing share of each limit:
// standingFraction of what would be its part if all had equal parts. It is less where the router spends alone and its
// last lease was smaller, and all of it in a pool. A primary leaves that much to each router without contact, for as
// long as the router may still be running.
const (
	standingFraction = 0.95
	standingPeriod   = 12 * time.Second // after the lease; the fleet counts as large as it was for longer than that
	// standingLateFactor is what is left of the share after standingPeriod: few routers are partitioned for so long, and the
	// limit's overshoot has room for them.
	standingLateFactor = 1.0 / 3
)

// ReservedFraction returns the fraction of the limits that a primary leaves to the routers that do not reach it, of a
// fleet of fleetSize. It is 0 at the beginning of a term: those that do not reach it may still have leases of the term
// before, for which its buckets leave room.
func ReservedFraction(fleetSize, activeClients int, termAge time.Duration) float64 {
	if fleetSize <= 0 || activeClients >= fleetSize || termAge < LeaseDuration+clockMargin {
		return 0
	}
	return standingFraction * float64(fleetSize-activeClients) / float64(fleetSize)
}
