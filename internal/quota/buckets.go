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
	transit     = 0.5             // seconds in which what was acquired may still arrive at a server
	astray      = 0.75            // seconds of the whole rate: leases of sidecars that are cut off, 0.3 of the fleet for 2.5 s
	slackPart   = 0.5             // the rest is for the one request that each lease may overdraw
	overPart    = 0.25            // of the slack, out of slackPart: by so much a request may overdraw a bucket that is not empty
	leastBurst  = 0.25            // of the burst
	learnFor    = 3 * time.Second // of a term: later histories are of those that have leases of this term
	learnPart   = 0.8             // of the fleet, from which what the others spent is worked out
	learnFactor = 1.3             // at the most
)

// TokenBuckets is the tokens of all tenants, at the primary. Sidecars acquire what their requests need.
//
// A bucket holds the limit's burst; and beside it no span as long as the rule's window is granted more than the rule's bound less what
// sidecars that are cut off may spend. A new primary learns what was spent
// before from the sidecars; it grants nothing until it has heard them.
type TokenBuckets struct {
	bounds  Bounds
	slot    time.Duration
	since   time.Duration
	started bool // the process has just started: what was spent before may be known to nobody
	limits  map[string]Limit
	levels  map[string]*level
	learned map[string]bool // sidecars
	settled bool            // enough of them
	refill  float64         // part of the rates
}

type level struct {
	tokens float64
	at     time.Duration
	spent  spending
}

// NewTokenBuckets begins a primary's term; started says that the process has just started.
func NewTokenBuckets(b Bounds, started bool, now time.Duration) *TokenBuckets {
	return &TokenBuckets{bounds: b, slot: slotOf(b.Window), started: started, since: now, refill: 1,
		limits: map[string]Limit{}, levels: map[string]*level{}, learned: map[string]bool{}}
}

// SetLimits takes in the tenants of a configuration.
func (t *TokenBuckets) SetLimits(limits map[string]Limit) { t.limits = limits }

// SetReserve takes in what part of the limits is left to sidecars that are not heard.
func (t *TokenBuckets) SetReserve(part float64) { t.refill = 1 - part }

// bound is how much the rule lets through in a window, less what requests of leases may overdraw.
func (t *TokenBuckets) bound(l Limit) float64 {
	return (l.Rate*t.bounds.Window.Seconds()+l.Burst)*(1+t.bounds.Overshoot) + (slackPart-overPart)*t.bounds.Slack
}

// guard is how much is granted in a window at the most.
func (t *TokenBuckets) guard(l Limit) float64 { return t.bound(l) - astray*l.Rate }

// Capacity is how much a tenant may acquire at once after a rest.
func (t *TokenBuckets) Capacity(l Limit) float64 {
	return max(l.Burst, t.restart(l))
}

// restart is what a bucket holds after a restart of all: what was acquired just before may be a whole capacity.
func (t *TokenBuckets) restart(l Limit) float64 {
	return max(leastBurst*l.Burst, t.guard(l)-l.Rate*(t.bounds.Window.Seconds()+transit))
}

// Learn takes in what a sidecar says that it spent before this term, once.
func (t *TokenBuckets) Learn(sidecar string, spent map[string]History, now time.Duration) {
	if t.learned[sidecar] || t.settled || now-t.since > learnFor {
		return
	}
	t.learned[sidecar] = true
	for tenant, history := range spent {
		limit, ok := t.limits[tenant]
		if !ok || limit.Rate == 0 {
			continue
		}
		one := t.level(tenant, limit, now)
		for i, units := range history {
			one.spent.slots[i] += units
		}
		refill := limit.Rate * t.slot.Seconds()
		one.tokens = min(one.tokens, one.spent.slots.level(t.Capacity(limit), refill))
	}
}

// Ready reports whether enough sidecars of a fleet have said what they spent before this term.
func (t *TokenBuckets) Ready(fleet int, now time.Duration) bool {
	if t.settled || t.started { // after a restart of all there is nobody to wait for
		return true
	}
	if float64(len(t.learned)) < learnPart*float64(fleet) && now-t.since < claims {
		return false
	}
	t.settled = true
	if len(t.learned) > 0 {
		t.scale(max(1, min(learnFactor, float64(fleet)/float64(len(t.learned)))))
	}
	return true
}

// scale takes those that were not heard to have spent what the others did: the primary before is one of them.
func (t *TokenBuckets) scale(factor float64) {
	for tenant, one := range t.levels {
		limit := t.limits[tenant]
		for i := range one.spent.slots {
			one.spent.slots[i] *= factor
		}
		one.tokens = min(one.tokens, one.spent.slots.level(t.Capacity(limit), limit.Rate*t.slot.Seconds()))
	}
}

// level is a tenant's bucket as of now.
func (t *TokenBuckets) level(tenant string, limit Limit, now time.Duration) *level {
	one := t.levels[tenant]
	if one == nil {
		one = &level{tokens: t.Capacity(limit), at: t.since}
		if t.started {
			one.tokens = t.restart(limit)
		}
		t.levels[tenant] = one
	}
	one.tokens = min(t.Capacity(limit), one.tokens+(now-one.at).Seconds()*limit.Rate*t.refill)
	one.at = now
	one.spent.roll(t.slot, now)
	return one
}

// Acquire gives what is needed and, where there is more, up to extra; or nothing, and when to come back. A bucket that is not
// empty may be overdrawn: else what drips in would go to small requests, and large ones would be refused before them.
func (t *TokenBuckets) Acquire(tenant string, need, extra float64, now time.Duration) (given float64, wait time.Duration) {
	limit, ok := t.limits[tenant]
	if !ok || limit.Rate == 0 {
		return need, 0
	}
	one := t.level(tenant, limit, now)
	least := max(0, min(need, t.Capacity(limit))-overPart*t.bounds.Slack)
	if one.tokens < least {
		return 0, time.Duration((least - one.tokens) / limit.Rate * float64(time.Second))
	}
	room := t.guard(limit) - one.spent.slots.sum()
	if room < min(need, t.Capacity(limit)) {
		return 0, t.slot
	}
	given = need + max(0, min(extra, (one.tokens-need)/2, room-need))
	one.tokens -= given
	one.spent.add(given, t.slot, now)
	return given, 0
}
