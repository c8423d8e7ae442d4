package quota

import (
	"math"
	"time"
)

// earnedUnits returns the units that a rate in units per second brings in a period. The explicit conversion rounds the
// product: without it, a processor that fuses multiplication and addition returns another sum when the result is added.
func earnedUnits(rate float64, period time.Duration) float64 {
	return float64(period.Seconds() * rate)
}

// waitFor returns the time in which a rate in units per second brings the missing units, rounded up to a nanosecond: after
// that time the units are there.
func waitFor(missing, rate float64) time.Duration {
	wait := time.Duration(math.Ceil(missing / rate * float64(time.Second)))
	if earnedUnits(rate, wait) < missing {
		wait++
	}
	return wait
}
