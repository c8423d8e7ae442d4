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
	stockGood    = 400 * time.Millisecond // for which units that were acquired ahead may be spent
	stockAhead   = 100 * time.Millisecond // of demand is acquired ahead
	stockLeast   = 3                      // requests in that time from which it is worth it
	demandSmooth = 2 * time.Second
	pressedFor   = time.Second // after a refusal
	leastDemand  = 0.01        // units a second that are told of
	leaseBurst   = time.Second // of a lease or a standing share may be spent at once
	depositFor   = 600 * time.Millisecond

	overdraftAgain = 8 * time.Second // after a deposit a sidecar's own requests may take ahead again
)

// Verdict is what a client says of a request.
type Verdict int

// The verdicts.
const (
	Granted Verdict = iota
	Rejected
	NeedsPrimary // the primary has to be asked
)

// Client is one sidecar's part of all limits: what it acquired of the primary, and its leases for when that is silent.
type Client struct {
	buckets map[string]*bucket
	nonce   uint64
	asked   time.Duration
	until   time.Duration // of the leases
	pooled  time.Duration // until when a pool spends what this sidecar has
	fleet   int
}

type bucket struct {
	limit   Limit
	stock   float64 // acquired ahead
	stockAt time.Duration

	share  float64   // of the lease
	lease  overdraft // of the lease, since the primary was silent
	filled time.Duration

	pressed time.Duration // until when it asks for more than its limit, as far as is known

	demand float64 // units a second, smoothed
	wanted float64 // units since the last measure
	at     time.Duration
}

// NewClient makes a client without any share. Its questions are numbered from a number that is drawn at each start of the process, so that
// no answer to the one before fits.
func NewClient(life uint64) *Client {
	return &Client{nonce: life, buckets: map[string]*bucket{}, fleet: math.MaxInt}
}

// SetFleetSize takes in how many sidecars there are.
func (t *Client) SetFleetSize(n int) { t.fleet = max(1, n) }

// SetLimits takes in the tenants of a configuration.
func (t *Client) SetLimits(limits map[string]Limit, now time.Duration) {
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

// Reserve begins a request of a tenant: it is granted from what was acquired ahead, or the primary has to be asked for what it
// needs and for extra.
func (t *Client) Reserve(tenant string, units float64, now time.Duration) (v Verdict, extra float64) {
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
	return NeedsPrimary, extra
}

// ApplyAcquired takes in what the primary gave, and spends units of it where there are enough.
func (t *Client) ApplyAcquired(tenant string, given, units float64, now time.Duration) Verdict {
	b := t.buckets[tenant]
	if b == nil {
		return Granted
	}
	b.lease, b.filled = overdraft{}, now // leases count from when the primary falls silent
	if given < units {
		b.pressed = now + pressedFor
		return Rejected
	}
	b.stock += given - units
	b.stockAt = now
	return Granted
}

// ReserveFromLease spends of a lease, where the primary is silent. One request may go below nothing: a lease of a small
// tenant is less than a request.
func (t *Client) ReserveFromLease(tenant string, units float64, now time.Duration) (v Verdict, wait time.Duration) {
	b := t.buckets[tenant]
	if b == nil {
		return Granted, 0
	}
	if now < t.pooled {
		return Rejected, t.pooled - now
	}
	rate := t.silentRate(b, now)
	t.earn(b, rate, now)
	if t.pooled > 0 && now < t.pooled+overdraftAgain && units > b.lease.units {
		return Rejected, 0 // the pool had what a request may take ahead
	}
	return b.lease.take(units, rate)
}

// earn adds what dripped in since the last time; while a pool has the share that is nothing.
func (t *Client) earn(b *bucket, rate float64, now time.Duration) {
	from := max(b.filled, t.pooled)
	if now <= from {
		return
	}
	b.lease.earn((now-from).Seconds()*rate, rate)
	b.filled = now
}

// Deposit leaves what this sidecar may spend without the primary to a pool, and what its requests took ahead.
func (t *Client) Deposit(now time.Duration) Deposit {
	d := Deposit{For: depositFor, Debts: map[string]float64{}}
	for name, b := range t.buckets {
		t.earn(b, t.silentRate(b, now), now)
		if b.lease.units < 0 {
			d.Debts[name] = -b.lease.units
			b.lease.units = 0
		}
	}
	if now < t.until {
		d.For = min(d.For, t.until-now)
		d.Shares = map[string]float64{}
		for name, b := range t.buckets {
			if b.share > 0 {
				d.Shares[name] = b.share
			}
		}
	} else {
		d.Standing = t.standing(now)
	}
	t.pooled = now + d.For
	return d
}

// PooledUntil is until when a pool spends what this sidecar may spend.
func (t *Client) PooledUntil() time.Duration { return t.pooled }

// silentRate is what may be spent a second while the primary is silent: of the lease, and once that has ended the standing share, which
// the primary leaves to each sidecar that it does not hear.
func (t *Client) silentRate(b *bucket, now time.Duration) float64 {
	if now < t.until {
		return b.limit.Rate * b.share
	}
	return b.limit.Rate * t.standing(now) * min(1, b.share*float64(t.fleet))
}

// standing is the part of every limit that this sidecar is left without a lease; a client that never had one has nothing.
func (t *Client) standing(now time.Duration) float64 {
	if t.until == 0 {
		return 0
	}
	part := standingPart / float64(t.fleet)
	if now >= t.until+standingFor {
		return part * standingLater
	}
	return part
}

// OverLimit reports whether the primary refused a request of a tenant just now: it asks for more than its limit.
func (t *Client) OverLimit(tenant string, now time.Duration) bool {
	b := t.buckets[tenant]
	return b != nil && now < b.pressed
}

// Refund gives back what was taken for a request that did not run.
func (t *Client) Refund(tenant string, units float64, now time.Duration) {
	if b := t.buckets[tenant]; b != nil {
		if now-b.stockAt > stockGood {
			b.stock = 0
		}
		b.stock += units
		b.stockAt = now
	}
}

// RequestShares begins a question for leases: what is wanted and held goes to the primary.
func (t *Client) RequestShares(now time.Duration) (nonce uint64, demand, held map[string]float64) {
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

// ApplyShares takes in the answer to the last question.
func (t *Client) ApplyShares(nonce uint64, shares map[string]float64, now time.Duration) {
	if nonce != t.nonce || now-t.asked >= LeaseDuration {
		return
	}
	for name, b := range t.buckets {
		if now < t.until {
			b.lease.units += (now - max(b.filled, min(now, t.pooled))).Seconds() * b.limit.Rate * b.share
		}
		b.filled = now
		b.share = shares[name]
	}
	t.until = t.asked + LeaseDuration
}
