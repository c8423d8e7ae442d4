package quota

import "time"

// leaseBurst bounds the burst of a leased share, a standing share or a pool: at most the units that its rate brings in
// this time.
const leaseBurst = time.Second

// overdraft is a token bucket that one request may overdraw, because a router's or pool's part of a small tenant's limit
// can be less than one request needs. The content is negative while a debt remains.
type overdraft struct{ units float64 }

// refill adds units, up to the number that the rate brings in leaseBurst.
func (o *overdraft) refill(units, rate float64) {
	o.units = min(o.units+units, leaseBurst.Seconds()*rate)
}

// spend takes units, even more than the bucket holds. It rejects the request while the debt of an earlier one is not paid
// off, and returns the time that this takes at the rate of the refill. With a rate of 0 it rejects all requests.
func (o *overdraft) spend(units, rate float64) (verdict Verdict, wait time.Duration) {
	if rate <= 0 {
		return Rejected, 0
	}
	if o.units < 0 {
		return Rejected, waitFor(-o.units, rate)
	}
	o.units -= units
	return Granted, 0
}
