package quota

import "time"

// RetryBounds defines the guarantee that retries have to meet: in any interval of length Window, all routers together
// send a service at most Ratio × requests + Slack retries.
type RetryBounds struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// RetryBudget bounds the retries of one router for each service, that is the attempts beyond the first of each request.
// It needs no coordination between routers: the bound is a fraction of the router's own requests plus its part of the
// slack.
type RetryBudget struct {
	bounds    RetryBounds
	fleetSize int
	usage     map[string]*retryUsage // by service
}

// retryUsage counts the requests and retries of the last window, in a ring of slots.
type retryUsage struct {
	slots [retrySlots]retrySlot
}

// retrySlot counts the requests and retries of one slot of time. Slots are numbered from time 0; the number tells whether
// an element of the ring is still within the window.
type retrySlot struct {
	number            int64
	requests, retries int
}

const retrySlots = 10

// usableFraction is the fraction of the ratio and of the slack that is used. The rest covers windows that do not coincide
// with slots, and routers that restarted and lost their counts.
const usableFraction = 0.5

// NewRetryBudget returns the RetryBudget of a router that starts at time 0.
func NewRetryBudget(b RetryBounds) *RetryBudget {
	return &RetryBudget{bounds: b, fleetSize: 1, usage: map[string]*retryUsage{}}
}

// SetFleetSize sets the number of routers that share the slack.
func (b *RetryBudget) SetFleetSize(n int) { b.fleetSize = max(1, n) }

// currentSlot returns a service's usage, and in it the slot of the time now.
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

// AcquireRetry reports whether the budget permits one more retry, and if so counts it. A permit cannot be returned: a
// retry that is then not made counts too.
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
	if now < b.bounds.Window { // after its start a router may not know the number of routers yet
		slack = 0
	}
	if float64(retries+1) > usableFraction*(b.bounds.Ratio*float64(requests)+slack) {
		return false
	}
	current.retries++
	return true
}
