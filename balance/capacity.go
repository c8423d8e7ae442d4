package balance

import "math"

// capacityModel holds the learned corrections to the capacities of the server list. A server's correction is
// a factor on Server.Capacity: the exponential of the sum of its own logarithm, that of its kind and that of
// its zone. A new server thus starts with what was learned from similar servers.
type capacityModel struct {
	kinds, zones map[int]float64 // logarithms, by Server.Kind and Server.Zone
	samples      float64         // number of calls of learnCapacity for warm servers
	meanStep     float64         // exponential moving average of the steps
}

// learnCapacity adjusts learned capacities so that answers come to take equally long at all servers. latency
// is the latency of an answer as a multiple of its class's mean; an error counts as 3. The mean step is
// subtracted: what all servers have in common is load, not capacity. A server that is warming up is ignored,
// as its latency does not reflect its capacity.
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
