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
	transit     = 0.5  // seconds in which what was drawn may still arrive at a server
	astray      = 0.75 // seconds of the whole rate: leases of sidecars that are cut off, 0.3 of the fleet for 2.5 s
	slackPart   = 0.5  // the rest is for the one request that each lease may overdraw
	overPart    = 0.25 // of the slack, out of slackPart: by so much a request may overdraw a reservoir that is not empty
	leastBurst  = 0.25
	atFirstPart = 0.4 // of the capacity that a new primary begins with
	restartPart = 1.0 // ... where it has just started itself: then hardly anybody holds a lease
)

// Reservoir is the tokens of all tenants, at the primary. Sidecars draw what their requests need.
type Reservoir struct {
	bounds Bounds
	since  time.Duration
	first  float64 // part of the capacity that levels begin with
	limits map[string]Limit
	levels map[string]*level
}

type level struct {
	tokens float64
	at     time.Duration
}

// NewReservoir begins a primary's term; started says that the process has just started.
func NewReservoir(b Bounds, started bool, now time.Duration) *Reservoir {
	first := atFirstPart
	if started {
		first = restartPart
	}
	return &Reservoir{bounds: b, first: first, since: now, limits: map[string]Limit{}, levels: map[string]*level{}}
}

// SetLimits takes in the tenants of a configuration.
func (r *Reservoir) SetLimits(limits map[string]Limit) { r.limits = limits }

// Capacity is how much a tenant may draw at once after a rest.
func (r *Reservoir) Capacity(l Limit) float64 {
	window := r.bounds.Window.Seconds()
	bound := (l.Rate*window+l.Burst)*(1+r.bounds.Overshoot) + (slackPart-overPart)*r.bounds.Slack
	return max(leastBurst*l.Burst, bound-l.Rate*(window+transit+astray))
}

// Draw gives what is needed and, where there is more, up to extra; or nothing, and when to come back. A reservoir that is not
// empty may be overdrawn: else what drips in would go to small requests, and large ones would be refused before them.
func (r *Reservoir) Draw(tenant string, need, extra float64, now time.Duration) (given float64, wait time.Duration) {
	limit, ok := r.limits[tenant]
	if !ok || limit.Rate == 0 {
		return need, 0
	}
	capacity := r.Capacity(limit)
	one := r.levels[tenant]
	if one == nil {
		one = &level{tokens: r.first * capacity, at: r.since}
		r.levels[tenant] = one
	}
	one.tokens = min(capacity, one.tokens+(now-one.at).Seconds()*limit.Rate)
	one.at = now
	least := max(0, min(need, capacity)-overPart*r.bounds.Slack)
	if one.tokens < least {
		return 0, time.Duration((least - one.tokens) / limit.Rate * float64(time.Second))
	}
	given = need + max(0, min(extra, (one.tokens-need)/2))
	one.tokens -= given
	return given, 0
}
