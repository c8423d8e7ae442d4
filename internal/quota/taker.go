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

// Bounds are the figures of the rule that the limits are judged by.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// floorPart of the rate is every sidecar's by itself, divided by the size of the fleet. It lies within the overshoot.
const floorPart = 0.06

// Taker is one sidecar's part of all limits.
type Taker struct {
	bounds  Bounds
	fleet   float64
	buckets map[string]*bucket
	nonce   uint64
	asked   time.Duration
	until   time.Duration // of the lease
}

type bucket struct {
	limit  Limit
	share  float64
	tokens float64
	filled time.Duration
	demand float64 // units a second, smoothed
	wanted float64 // units since the last measure
	at     time.Duration
}

// roomPart of what the rule leaves beyond the rate is given to buckets; the rest is for leases that a new primary
// does not know of.
const roomPart = 0.6

// NewTaker makes a taker without any share.
func NewTaker(b Bounds) *Taker { return &Taker{bounds: b, fleet: 1, buckets: map[string]*bucket{}} }

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
		t.fill(b, now)
		b.limit = limit
		b.tokens = min(b.tokens, t.capacity(b, now))
	}
}

// SetFleet takes in how many sidecars there are.
func (t *Taker) SetFleet(n int) { t.fleet = float64(max(1, n)) }

// effective is the part of a limit that this sidecar may use now.
func (t *Taker) effective(b *bucket, now time.Duration) float64 {
	part := floorPart / t.fleet
	if now < t.until {
		part += b.share
	}
	return part
}

// capacity: what the rule leaves beyond the rate of a window is divided like the rate.
func (t *Taker) capacity(b *bucket, now time.Duration) float64 {
	window := t.bounds.Window.Seconds()
	bound := (b.limit.Rate*window+b.limit.Burst)*(1+t.bounds.Overshoot) + t.bounds.Slack
	room := bound - b.limit.Rate*(1+floorPart)*window
	return roomPart * max(0, room) * min(1, t.effective(b, now)/(1+floorPart))
}

func (t *Taker) fill(b *bucket, now time.Duration) {
	passed := (now - b.filled).Seconds()
	b.filled = now
	part := t.effective(b, now)
	b.tokens = min(t.capacity(b, now), b.tokens+passed*b.limit.Rate*part)
}

// Take spends units of a tenant's limit; where there are not enough it says when there may be.
func (t *Taker) Take(tenant string, units float64, now time.Duration) (ok bool, wait time.Duration) {
	b := t.buckets[tenant]
	if b == nil {
		return true, 0
	}
	t.fill(b, now)
	b.wanted += units
	capacity := t.capacity(b, now)
	if b.tokens >= units || units > capacity && b.tokens >= 0.95*capacity {
		b.tokens -= units
		return true, 0
	}
	rate := b.limit.Rate * max(t.effective(b, now), 1e-6)
	seconds := min((min(units, capacity)-b.tokens)/rate, 10)
	return false, time.Duration(seconds * float64(time.Second))
}

// Return gives back what was taken for a request that did not run.
func (t *Taker) Return(tenant string, units float64) {
	if b := t.buckets[tenant]; b != nil {
		b.tokens += units
	}
}

// Ask begins a question: what is wanted and held goes to the primary.
func (t *Taker) Ask(now time.Duration) (nonce uint64, demand, held map[string]float64) {
	t.nonce++
	t.asked = now
	demand, held = map[string]float64{}, map[string]float64{}
	for name, b := range t.buckets {
		if passed := (now - b.at).Seconds(); passed > 0 {
			weight := 1 - math.Exp(-passed/2)
			b.demand += weight * (b.wanted/passed - b.demand)
			b.wanted, b.at = 0, now
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
	for _, b := range t.buckets {
		t.fill(b, now)
	}
	expired := now >= t.until
	t.until = t.asked + Lease
	for name, b := range t.buckets {
		share, ok := shares[name]
		if !ok && expired {
			share = 0
		} else if !ok {
			share = b.share
		}
		b.share = share
		b.tokens = min(b.tokens, t.capacity(b, now))
	}
}
