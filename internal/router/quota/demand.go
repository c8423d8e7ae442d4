package quota

import (
	"math"
	"time"
)

const (
	demandTimeConstant = 2 * time.Second // time constant of the exponential smoothing
	minDemand          = 0.01            // units per second; a lower demand is not reported
)

// demandEstimate is an exponentially smoothed rate of requested units.
type demandEstimate struct {
	rate       float64 // units per second
	units      float64 // requested since measuredAt, not yet in rate
	measuredAt time.Duration
}

// update adds the units requested since the last update to the smoothed rate.
func (d *demandEstimate) update(now time.Duration) {
	elapsed := now - d.measuredAt
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(demandTimeConstant))
	d.rate += weight * (d.units/elapsed.Seconds() - d.rate)
	d.units, d.measuredAt = 0, now
}
