package quota

import "time"

// Bounds defines the guarantee that limits have to meet: in any interval of length Window, a tenant is granted at most
// (rate × Window + burst) × (1 + Overshoot) + Slack units.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// The difference between the bound of a window and what the rate brings in this time is available for bursts, less the
// units that may be spent elsewhere during the window.
const (
	transitSeconds          = 0.5  // of the rate: units acquired for requests that have not reached a server yet
	isolatedSeconds         = 0.75 // of the rate: spent by partitioned routers from their leases, 0.3 of the fleet for 2.5 s
	slackFraction           = 0.42 // of the slack; the rest covers the one request by which each lease may be overdrawn
	overdraftFraction       = 0.25 // of the slack, within slackFraction: the amount by which a request may overdraw a non-empty bucket
	minBurstFraction        = 0.25 // of a tenant's burst: the minimum capacity
	takeoverInitialFraction = 0.4  // of the capacity: the initial content of buckets at a new primary
	startupInitialFraction  = 1.0  // the same if the process has just started: then hardly any router holds a lease
)

// TokenBuckets holds the primary's token buckets of all tenants, from which routers acquire the units of their requests.
// NewTokenBuckets creates it when a router becomes primary.
type TokenBuckets struct {
	bounds          Bounds
	termStart       time.Duration
	initialFraction float64 // of the capacity: the initial content of buckets
	limits          map[string]Limit
	buckets         map[string]*tokenBucket // by tenant, for tenants with requests in this term
	refillFraction  float64                 // of the rate: what the reserve for routers that do not reach the primary leaves
}

// tokenBucket is one tenant's bucket. Its content may be negative, see Acquire.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// NewTokenBuckets returns the buckets of a primary's term that begins now; started tells that the process has just
// started. Buckets initially hold a fraction of their capacity, because routers may hold leases of the previous term.
func NewTokenBuckets(b Bounds, started bool, now time.Duration) *TokenBuckets {
	initialFraction := takeoverInitialFraction
	if started {
		initialFraction = startupInitialFraction
	}
	return &TokenBuckets{
		bounds:          b,
		termStart:       now,
		initialFraction: initialFraction,
		limits:          map[string]Limit{},
		buckets:         map[string]*tokenBucket{},
		refillFraction:  1,
	}
}

// SetLimits replaces the tenants' limits by those of a configuration. TokenBuckets keeps the map; the caller must not
// change it afterwards.
func (t *TokenBuckets) SetLimits(limits map[string]Limit) { t.limits = limits }

// SetReserve sets the fraction of each limit that is left to routers that do not reach the primary. It reduces the
// refill of the buckets.
func (t *TokenBuckets) SetReserve(fraction float64) { t.refillFraction = 1 - fraction }

// Capacity returns the capacity of the bucket of a tenant with this limit: the units that it can acquire at once after
// having acquired none for a while.
func (t *TokenBuckets) Capacity(l Limit) float64 {
	window := t.bounds.Window.Seconds()
	bound := (l.Rate*window+l.Burst)*(1+t.bounds.Overshoot) + (slackFraction-overdraftFraction)*t.bounds.Slack
	return max(minBurstFraction*l.Burst, bound-l.Rate*(window+transitSeconds+isolatedSeconds))
}

// Acquire grants the units that a request needs, and up to extra further units if the bucket holds more. If the bucket
// holds too little, it grants none and returns how long to wait before another attempt. A request may overdraw a
// bucket that is not empty: otherwise small requests would use up the refill, and large ones would never find enough
// units.
func (t *TokenBuckets) Acquire(tenant string, need, extra float64, now time.Duration) (granted float64, wait time.Duration) {
	limit, ok := t.limits[tenant]
	if !ok || limit.Rate == 0 {
		return need, 0
	}
	capacity := t.Capacity(limit)
	bucket := t.buckets[tenant]
	if bucket == nil {
		bucket = &tokenBucket{tokens: t.initialFraction * capacity, refilledAt: t.termStart}
		t.buckets[tenant] = bucket
	}
	bucket.tokens = min(capacity, bucket.tokens+float64(earnedUnits(limit.Rate, now-bucket.refilledAt)*t.refillFraction))
	bucket.refilledAt = now
	required := max(0, min(need, capacity)-overdraftFraction*t.bounds.Slack)
	if bucket.tokens < required {
		return 0, waitFor(required-bucket.tokens, limit.Rate)
	}
	granted = need + max(0, min(extra, (bucket.tokens-need)/2))
	bucket.tokens -= granted
	return granted, 0
}
