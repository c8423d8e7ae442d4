package quota

import "time"

// RetryBudget bounds one sidecar's part of the sends of requests beyond their first, for each service. It needs no
// coordination: a fraction of the sidecar's own requests, and its part of the slack.
type RetryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration
	fleet  int
	used   map[string]*usage
}

type usage struct {
	slots [retrySlots]retrySlot
}

type retrySlot struct {
	number            int64
	requests, retries int
}

const retrySlots = 10

// ownPart of the ratio and of the slack is used: windows slide, and a sidecar that starts anew has forgotten its use.
const ownPart = 0.5

// NewRetryBudget makes a budget of a sidecar that starts at time 0.
func NewRetryBudget(ratio, slack float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, window: window, fleet: 1, used: map[string]*usage{}}
}

// SetFleetSize takes in how many sidecars there are.
func (b *RetryBudget) SetFleetSize(n int) { b.fleet = max(1, n) }

func (b *RetryBudget) slot(service string, now time.Duration) (*usage, *retrySlot) {
	u := b.used[service]
	if u == nil {
		u = &usage{}
		b.used[service] = u
	}
	number := int64(now / (b.window / retrySlots))
	s := &u.slots[number%retrySlots]
	if s.number != number {
		*s = retrySlot{number: number}
	}
	return u, s
}

// Request counts a client's request for a service.
func (b *RetryBudget) Request(service string, now time.Duration) {
	_, s := b.slot(service, now)
	s.requests++
}

// Retry takes leave for one more send, or says no.
func (b *RetryBudget) Retry(service string, now time.Duration) bool {
	u, s := b.slot(service, now)
	requests, retries := 0, 0
	for _, one := range u.slots {
		if s.number-one.number < retrySlots {
			requests += one.requests
			retries += one.retries
		}
	}
	slack := b.slack / float64(b.fleet)
	if now < b.window { // how many there are is not sure yet
		slack = 0
	}
	if float64(retries+1) > ownPart*(b.ratio*float64(requests)+slack) {
		return false
	}
	s.retries++
	return true
}
