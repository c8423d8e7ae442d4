package balance

import "math"

// capacityModel holds what is learned of capacities beyond what the list says. A server's learned capacity
// is a factor on Server.Capacity: the exponential of its own logarithm and of those of its kind and its
// zone, so that a new server begins with what others like it have shown.
type capacityModel struct {
	kinds, zones map[int]float64 // logarithms, by Server.Kind and Server.Zone
	samples      float64         // how often learnCapacity was called for a server that is warm
	meanStep     float64         // decayed mean of the steps
}

// learnCapacity moves learned capacities until answers take equally long everywhere. latency is how long an
// answer took as a multiple of its class's mean; an error counts as 3. The mean step is taken off: what all
// servers have in common is load, not capacity. While a server warms up it shows nothing of its capacity.
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
