package balance

import (
	"maps"
	"math"
)

// State for the next process of a sidecar: it neither learns anew nor gives a second slow-start budget.

// Snapshot returns what was learned. Its maps are the balancer's own: they may be read until the next event.
func (b *Balancer) Snapshot() Snapshot {
	requests, answers := &b.traffic.requestRate, &b.traffic.answerRate
	snapshot := Snapshot{
		StartedAt: b.startedAt, Kinds: b.capacities.kinds, Zones: b.capacities.zones,
		CapacitySamples: b.capacities.samples, MeanCapacityStep: b.capacities.meanStep,
		ShedFraction: b.shedding.lasting, MeanLatency: b.latencies.mean,
		LatencySamples: b.latencies.samples, MinLatency: b.latencies.min, RetryBudget: b.retryBudget,
		RequestsRecent: requests.recent, RequestsLatest: requests.latest, RequestsAt: requests.at,
		AnswersRecent: answers.recent, AnswersLatest: answers.latest, AnswersAt: answers.at,
	}
	for _, s := range b.servers.all {
		one := ServerSnapshot{
			ID: s.ID, CapacityLog: s.capacityLog, HealthState: s.HealthState, CurrentWeight: s.currentWeight,
		}
		if one.WarmingUp = b.warmingUp(s); one.WarmingUp {
			one.SlowStartState = s.SlowStartState
		}
		snapshot.Servers = append(snapshot.Servers, one)
	}
	for i := range b.traffic.classes {
		snapshot.Classes = append(snapshot.Classes, b.traffic.classes[i].ClassSnapshot)
	}
	return snapshot
}

// Restore goes on with what another process of this sidecar learned; the server list must be known already.
func (b *Balancer) Restore(from Snapshot) {
	t := &b.traffic
	b.startedAt, b.retryBudget = math.Min(from.StartedAt, b.now), from.RetryBudget
	b.shedding.lasting = from.ShedFraction
	b.latencies.mean, b.latencies.samples = from.MeanLatency, from.LatencySamples
	b.latencies.min = from.MinLatency
	b.capacities.samples, b.capacities.meanStep = from.CapacitySamples, from.MeanCapacityStep
	maps.Copy(b.capacities.kinds, from.Kinds)
	maps.Copy(b.capacities.zones, from.Zones)
	t.requestRate = rateMeter{from.RequestsRecent, from.RequestsLatest, math.Min(from.RequestsAt, b.now)}
	t.answerRate = rateMeter{from.AnswersRecent, from.AnswersLatest, math.Min(from.AnswersAt, b.now)}
	for i, c := range from.Classes[:min(len(from.Classes), len(t.classes))] {
		t.classes[i].ClassSnapshot = c
	}
	for _, one := range from.Servers {
		s := b.servers.byID[one.ID]
		if s == nil {
			continue
		}
		s.capacityLog, s.HealthState, s.currentWeight = one.CapacityLog, one.HealthState, one.CurrentWeight
		if one.WarmingUp {
			s.SlowStartState = one.SlowStartState
		}
	}
}
