package quota

import "time"

// A sidecar that hears no primary for longer than its lease is not left without anything: it has a standing share of each limit,
// standingPart of what would be its part if all were alike: less where it spends alone and its last lease was smaller, the whole of it
// in a pool. A primary that does not hear a sidecar leaves it that much, for as long as the sidecar may still be there.
const (
	standingPart  = 0.95
	standingFor   = 12 * time.Second // after the lease; the fleet counts as large as it was for longer than that
	standingLater = 1.0 / 3          // of it, from then on: few are cut off for so long, and the rule's overshoot has room for them
)

// ReservedFraction is the part of the limits that a primary leaves to sidecars that it does not hear, of a fleet of a size. In the first time of its
// term those that it has not heard may still have leases of the one before, for which its buckets leave room.
func ReservedFraction(fleet, heard int, term time.Duration) float64 {
	if fleet <= 0 || heard >= fleet || term < LeaseDuration+margin {
		return 0
	}
	return standingPart * float64(fleet-heard) / float64(fleet)
}
