package quota

import (
	"math"
	"time"
)

const (
	demandTimeConstant = 2 * time.Second // of the smoothing
	minDemand          = 0.01            // units a second from which demand is reported
)

// demandEstimate is an exponentially smoothed rate.
type demandEstimate struct {
	rate       float64 // units a second
	units      float64 // requested since measuredAt
	measuredAt time.Duration
}

// update includes the units since the last measurement in the rate.
func (d *demandEstimate) update(now time.Duration) {
	elapsed := now - d.measuredAt
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(demandTimeConstant))
	d.rate += weight * (d.units/elapsed.Seconds() - d.rate)
	d.units, d.measuredAt = 0, now
}
