package quota

import "time"

// RetryBounds are the figures that retries are verified by: in any window, all routers together send a service at most
// Ratio times its requests, and Slack, retries.
type RetryBounds struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// RetryBudget bounds one router's retries of requests to each service: the attempts beyond their first. It needs no
// coordination: the bound is a fraction of the router's own requests, and its part of the slack. It is for one
// goroutine at a time.
type RetryBudget struct {
	bounds    RetryBounds
	fleetSize int
	usage     map[string]*retryUsage // by service
}

// retryUsage counts requests and retries of the last window, in a ring of slots.
type retryUsage struct {
	slots [retrySlots]retrySlot
}

// retrySlot counts those of one slot; number is the slot's, counted from time 0, and tells old slots from present ones.
type retrySlot struct {
	number            int64
	requests, retries int
}

const retrySlots = 10

// usableFraction of the ratio and of the slack is used: windows slide, and a router that restarted has forgotten its
// use.
const usableFraction = 0.5

// NewRetryBudget returns the budget of a router that starts at time 0.
func NewRetryBudget(b RetryBounds) *RetryBudget {
	return &RetryBudget{bounds: b, fleetSize: 1, usage: map[string]*retryUsage{}}
}

// SetFleetSize sets the number of routers, which share the slack.
func (b *RetryBudget) SetFleetSize(n int) { b.fleetSize = max(1, n) }

// currentSlot returns a service's usage and the slot of now in it.
func (b *RetryBudget) currentSlot(service string, now time.Duration) (*retryUsage, *retrySlot) {
	usage := b.usage[service]
	if usage == nil {
		usage = &retryUsage{}
		b.usage[service] = usage
	}
	number := int64(now / (b.bounds.Window / retrySlots))
	slot := &usage.slots[number%retrySlots]
	if slot.number != number {
		*slot = retrySlot{number: number}
	}
	return usage, slot
}

// RecordRequest counts a client's request to a service.
func (b *RetryBudget) RecordRequest(service string, now time.Duration) {
	_, slot := b.currentSlot(service, now)
	slot.requests++
}

// AcquireRetry acquires a permit for one more attempt and counts it, or returns false. A permit is not given back: an
// attempt that is not made counts too.
func (b *RetryBudget) AcquireRetry(service string, now time.Duration) bool {
	usage, current := b.currentSlot(service, now)
	requests, retries := 0, 0
	for _, slot := range usage.slots {
		if current.number-slot.number < retrySlots {
			requests += slot.requests
			retries += slot.retries
		}
	}
	slack := b.bounds.Slack / float64(b.fleetSize)
	if now < b.bounds.Window { // the number of routers is not certain yet
		slack = 0
	}
	if float64(retries+1) > usableFraction*(b.bounds.Ratio*float64(requests)+slack) {
		return false
	}
	current.retries++
	return true
}
