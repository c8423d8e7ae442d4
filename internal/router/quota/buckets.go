package quota

import "time"

// Bounds are the figures that the limits are verified by: in any window a tenant is granted at most
// (rate × Window + burst) × (1 + Overshoot) + Slack units.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// What the bound of a window leaves beyond the rate is for bursts, less what others may spend meanwhile.
const (
	transitSeconds            = 0.5  // of the rate: what was acquired and may still arrive at a server
	isolatedSeconds           = 0.75 // of the rate: the leases of routers that are cut off, 0.3 of the fleet for 2.5 s
	slackFraction             = 0.42 // of the slack; the rest is for the one request by which each lease may be overdrawn
	overdraftFraction         = 0.25 // of the slack, within slackFraction: by so much a request may overdraw a bucket that is not empty
	minBurstFraction          = 0.25 // of a tenant's burst: the smallest capacity
	initialFraction           = 0.4  // of the capacity that a new primary begins with
	initialFractionAfterStart = 1.0  // the same where the process has just started itself: then hardly any router holds a lease
)

// TokenBuckets are the token buckets of all tenants, at the primary. Routers acquire from them what their requests
// need. Make them by NewTokenBuckets when a router becomes primary. They are for one goroutine at a time.
type TokenBuckets struct {
	bounds         Bounds
	termStart      time.Duration
	initial        float64 // fraction of the capacity that buckets begin with
	limits         map[string]Limit
	buckets        map[string]*tokenBucket // by tenant, of those that were used in this term
	refillFraction float64                 // of the rates
}

// tokenBucket is one tenant's bucket. It may be negative, see Acquire.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// NewTokenBuckets returns the buckets of a primary's term that begins now; started says that the process has just
// started. Buckets begin with a fraction of their capacity, since routers may hold leases of the term before.
func NewTokenBuckets(b Bounds, started bool, now time.Duration) *TokenBuckets {
	initial := initialFraction
	if started {
		initial = initialFractionAfterStart
	}
	return &TokenBuckets{
		bounds:         b,
		termStart:      now,
		initial:        initial,
		limits:         map[string]Limit{},
		buckets:        map[string]*tokenBucket{},
		refillFraction: 1,
	}
}

// SetLimits replaces the tenants' limits by those of a configuration; the map is kept and must not be changed.
func (t *TokenBuckets) SetLimits(limits map[string]Limit) { t.limits = limits }

// SetReserve sets the fraction of every limit that is left to routers without contact: buckets are refilled by so much
// less.
func (t *TokenBuckets) SetReserve(fraction float64) { t.refillFraction = 1 - fraction }

// Capacity returns the most units that a tenant with a limit may acquire at once after it acquired nothing for a while.
func (t *TokenBuckets) Capacity(l Limit) float64 {
	window := t.bounds.Window.Seconds()
	bound := (l.Rate*window+l.Burst)*(1+t.bounds.Overshoot) + (slackFraction-overdraftFraction)*t.bounds.Slack
	return max(minBurstFraction*l.Burst, bound-l.Rate*(window+transitSeconds+isolatedSeconds))
}

// Acquire grants the units that a request needs and, where there are more, up to extra; or none, and how long to wait
// before another attempt. A bucket that is not empty may be overdrawn: otherwise what it is refilled with would go to
// small requests, and large ones would never find enough.
func (t *TokenBuckets) Acquire(tenant string, need, extra float64, now time.Duration) (granted float64, wait time.Duration) {
	limit, ok := t.limits[tenant]
	if !ok || limit.Rate == 0 {
		return need, 0
	}
	capacity := t.Capacity(limit)
	bucket := t.buckets[tenant]
	if bucket == nil {
		bucket = &tokenBucket{tokens: t.initial * capacity, refilledAt: t.termStart}
		t.buckets[tenant] = bucket
	}
	bucket.tokens = min(capacity, bucket.tokens+(now-bucket.refilledAt).Seconds()*limit.Rate*t.refillFraction)
	bucket.refilledAt = now
	required := max(0, min(need, capacity)-overdraftFraction*t.bounds.Slack)
	if bucket.tokens < required {
		return 0, time.Duration((required - bucket.tokens) / limit.Rate * float64(time.Second))
	}
	granted = need + max(0, min(extra, (bucket.tokens-need)/2))
	bucket.tokens -= granted
	return granted, 0
}
