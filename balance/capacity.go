package balance

import "math"

// capacityModel holds the learned logarithms of capacity that servers of a kind or zone have in common.
type capacityModel struct {
	kinds, zones map[int]float64
	samples      float64 // how often learnCapacity was called for a server that is warm
	meanStep     float64
}

// learnCapacity moves learned capacities until answers take equally long everywhere; latency is relative to
// its class's mean. The mean step is taken off: what all servers have in common is load, not capacity.
func (b *Balancer) learnCapacity(s *server, latency float64) {
	if b.warmingUp(s) {
		return
	}
	model := &b.capacities
	step := math.Max(-2, 1-latency)
	model.meanStep += (step - model.meanStep) / 200
	model.samples++
	step = capacityLearnRate * (1 + initialLearnBoost/(1+model.samples/meanSpan)) * (step - model.meanStep)
	s.capacityLog = clamp(s.capacityLog+step, -maxCapacityLog, maxCapacityLog)
	model.kinds[s.Kind] = clamp(model.kinds[s.Kind]+step/2, -maxCapacityLog, maxCapacityLog)
	model.zones[s.Zone] = clamp(model.zones[s.Zone]+step/2, -maxCapacityLog, maxCapacityLog)
}
