package quota

import "time"

// Bounds are the figures of the rule that the limits are judged by.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// What the bound of a window leaves beyond the rate is for bursts, less what others may spend meanwhile.
const (
	transit     = 0.5  // seconds in which what was acquired may still arrive at a server
	astray      = 0.75 // seconds of the whole rate: leases of sidecars that are cut off, 0.3 of the fleet for 2.5 s
	slackPart   = 0.42 // the rest is for the one request that each lease may overdraw
	overPart    = 0.25 // of the slack, out of slackPart: by so much a request may overdraw a bucket that is not empty
	leastBurst  = 0.25
	atFirstPart = 0.4 // of the capacity that a new primary begins with
	restartPart = 1.0 // ... where it has just started itself: then hardly anybody holds a lease
)

// TokenBuckets is the tokens of all tenants, at the primary. Sidecars acquire what their requests need.
type TokenBuckets struct {
	bounds Bounds
	since  time.Duration
	first  float64 // part of the capacity that levels begin with
	limits map[string]Limit
	levels map[string]*level
	refill float64 // part of the rates
}

type level struct {
	tokens float64
	at     time.Duration
}

// NewTokenBuckets begins a primary's term; started says that the process has just started.
func NewTokenBuckets(b Bounds, started bool, now time.Duration) *TokenBuckets {
	first := atFirstPart
	if started {
		first = restartPart
	}
	return &TokenBuckets{bounds: b, first: first, since: now, refill: 1, limits: map[string]Limit{}, levels: map[string]*level{}}
}

// SetLimits takes in the tenants of a configuration.
func (t *TokenBuckets) SetLimits(limits map[string]Limit) { t.limits = limits }

// SetReserve takes in what part of the limits is left to sidecars that are not heard.
func (t *TokenBuckets) SetReserve(part float64) { t.refill = 1 - part }

// Capacity is how much a tenant may acquire at once after a rest.
func (t *TokenBuckets) Capacity(l Limit) float64 {
	window := t.bounds.Window.Seconds()
	bound := (l.Rate*window+l.Burst)*(1+t.bounds.Overshoot) + (slackPart-overPart)*t.bounds.Slack
	return max(leastBurst*l.Burst, bound-l.Rate*(window+transit+astray))
}

// Acquire gives what is needed and, where there is more, up to extra; or nothing, and when to come back. A bucket that is not
// empty may be overdrawn: else what drips in would go to small requests, and large ones would be refused before them.
func (t *TokenBuckets) Acquire(tenant string, need, extra float64, now time.Duration) (given float64, wait time.Duration) {
	limit, ok := t.limits[tenant]
	if !ok || limit.Rate == 0 {
		return need, 0
	}
	capacity := t.Capacity(limit)
	one := t.levels[tenant]
	if one == nil {
		one = &level{tokens: t.first * capacity, at: t.since}
		t.levels[tenant] = one
	}
	one.tokens = min(capacity, one.tokens+(now-one.at).Seconds()*limit.Rate*t.refill)
	one.at = now
	least := max(0, min(need, capacity)-overPart*t.bounds.Slack)
	if one.tokens < least {
		return 0, time.Duration((least - one.tokens) / limit.Rate * float64(time.Second))
	}
	given = need + max(0, min(extra, (one.tokens-need)/2))
	one.tokens -= given
	return given, 0
}
