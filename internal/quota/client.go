package quota

import (
	"math"
	"time"
)

// Limit is a tenant's limit over all sidecars.
type Limit struct {
	Rate  float64 // units a second; 0: none
	Burst float64
}

const (
	stockGood    = 400 * time.Millisecond // for which units that were drawn ahead may be spent
	stockAhead   = 100 * time.Millisecond // of demand is drawn ahead
	stockLeast   = 3                      // requests in that time from which it is worth it
	demandSmooth = 2 * time.Second
	pressedFor   = time.Second // after a refusal
	leastDemand  = 0.01        // units a second that are told of
)

// Verdict is what a taker says of a request.
type Verdict int

// The verdicts.
const (
	Granted Verdict = iota
	Refused
	Draw // the reservoir has to be asked
)

// Taker is one sidecar's part of all limits: what it drew from the reservoir, and its leases for when that is silent.
type Taker struct {
	buckets map[string]*bucket
	nonce   uint64
	asked   time.Duration
	until   time.Duration // of the leases
}

type bucket struct {
	limit   Limit
	stock   float64 // drawn ahead
	stockAt time.Duration

	share  float64 // of the lease
	tokens float64 // of the lease, since the reservoir was silent
	filled time.Duration

	pressed time.Duration // until when it asks for more than its limit, as far as is known

	demand float64 // units a second, smoothed
	wanted float64 // units since the last measure
	at     time.Duration
}

// NewTaker makes a taker without any share.
func NewTaker() *Taker { return &Taker{buckets: map[string]*bucket{}} }

// SetLimits takes in the tenants of a configuration.
func (t *Taker) SetLimits(limits map[string]Limit, now time.Duration) {
	for name := range t.buckets {
		if limits[name].Rate == 0 {
			delete(t.buckets, name)
		}
	}
	for name, limit := range limits {
		if limit.Rate == 0 {
			continue
		}
		b := t.buckets[name]
		if b == nil {
			b = &bucket{filled: now, at: now}
			t.buckets[name] = b
		}
		b.limit = limit
	}
}

// Take begins a request of a tenant: it is granted from what was drawn ahead, or the reservoir has to be asked for what it
// needs and for extra.
func (t *Taker) Take(tenant string, units float64, now time.Duration) (v Verdict, extra float64) {
	b := t.buckets[tenant]
	if b == nil {
		return Granted, 0
	}
	b.wanted += units
	if now-b.stockAt > stockGood {
		b.stock = 0
	}
	if b.stock >= units {
		b.stock -= units
		return Granted, 0
	}
	if ahead := b.demand * stockAhead.Seconds(); ahead >= stockLeast*units {
		extra = ahead
	}
	return Draw, extra
}

// Drawn takes in what the reservoir gave, and spends units of it where there are enough.
func (t *Taker) Drawn(tenant string, given, units float64, now time.Duration) Verdict {
	b := t.buckets[tenant]
	if b == nil {
		return Granted
	}
	b.tokens, b.filled = 0, now // leases count from when the reservoir falls silent
	if given < units {
		b.pressed = now + pressedFor
		return Refused
	}
	b.stock += given - units
	b.stockAt = now
	return Granted
}

// TakeLeased spends of a lease, where the reservoir is silent. One request may go below nothing: a lease of a small
// tenant is less than a request.
func (t *Taker) TakeLeased(tenant string, units float64, now time.Duration) (v Verdict, wait time.Duration) {
	b := t.buckets[tenant]
	if b == nil {
		return Granted, 0
	}
	if now >= t.until || b.share <= 0 {
		return Refused, 0
	}
	rate := b.limit.Rate * b.share
	b.tokens += (now - b.filled).Seconds() * rate
	b.filled = now
	if b.tokens < 0 {
		return Refused, time.Duration(-b.tokens / rate * float64(time.Second))
	}
	b.tokens -= units
	return Granted, 0
}

// Pressed reports whether the reservoir refused a request of a tenant just now: it asks for more than its limit.
func (t *Taker) Pressed(tenant string, now time.Duration) bool {
	b := t.buckets[tenant]
	return b != nil && now < b.pressed
}

// Return gives back what was taken for a request that did not run.
func (t *Taker) Return(tenant string, units float64, now time.Duration) {
	if b := t.buckets[tenant]; b != nil {
		if now-b.stockAt > stockGood {
			b.stock = 0
		}
		b.stock += units
		b.stockAt = now
	}
}

// Ask begins a question for leases: what is wanted and held goes to the primary.
func (t *Taker) Ask(now time.Duration) (nonce uint64, demand, held map[string]float64) {
	t.nonce++
	t.asked = now
	demand, held = map[string]float64{}, map[string]float64{}
	for name, b := range t.buckets {
		if passed := now - b.at; passed > 0 {
			weight := 1 - math.Exp(-float64(passed)/float64(demandSmooth))
			b.demand += weight * (b.wanted/passed.Seconds() - b.demand)
			b.wanted, b.at = 0, now
		}
		if b.demand < leastDemand { // most tenants are not seen by most sidecars
			b.share = 0
			continue
		}
		demand[name] = b.demand
		if now < t.until {
			held[name] = b.share
		}
	}
	return t.nonce, demand, held
}

// Granted takes in the answer to the last question.
func (t *Taker) Granted(nonce uint64, shares map[string]float64, now time.Duration) {
	if nonce != t.nonce || now-t.asked >= Lease {
		return
	}
	for name, b := range t.buckets {
		if now < t.until {
			b.tokens += (now - b.filled).Seconds() * b.limit.Rate * b.share
		}
		b.filled = now
		b.share = shares[name]
	}
	t.until = t.asked + Lease
}
