package quota

import "time"

// leaseBurst bounds what of a lease, of a standing share or of a pool may be spent at once: what its rate brings in this
// time.
const leaseBurst = time.Second

// overdraft is a token bucket of which one request may take more than there is: what a router or a pool is refilled
// with of a small tenant's limit is less than a request.
type overdraft struct{ units float64 }

// refill adds units, up to what a rate brings in leaseBurst.
func (o *overdraft) refill(units, rate float64) {
	o.units = min(o.units+units, leaseBurst.Seconds()*rate)
}

// spend takes units, unless an earlier request's debt is not yet paid off; then it returns how long that takes at the
// rate of the refill.
func (o *overdraft) spend(units, rate float64) (v Verdict, wait time.Duration) {
	if rate <= 0 {
		return Rejected, 0
	}
	if o.units < 0 {
		return Rejected, time.Duration(-o.units / rate * float64(time.Second))
	}
	o.units -= units
	return Granted, 0
}
