package balance

import (
	"maps"
	"math"
)

// State for the next process of a sidecar, which thus neither learns anew nor gives a server a second budget
// for its slow start.

// Snapshot is the learned state of a balancer, with which another process of the same sidecar continues. It
// holds nothing about single requests. Points in time are on the clock of the events. Its JSON form passes
// between processes of different versions, so the tags must not change. See TestRecordedSnapshot.
type Snapshot struct {
	StartedAt        float64          `json:"Started"`
	Servers          []ServerSnapshot `json:"Servers"`
	Kinds            map[int]float64  `json:"Kinds"`       // capacityModel.kinds, by Server.Kind
	Zones            map[int]float64  `json:"Zones"`       // capacityModel.zones, by Server.Zone
	Classes          []ClassSnapshot  `json:"Classes"`     // in the order of Config.Classes
	ShedFraction     float64          `json:"Steady"`      // loadShedding.lasting
	MeanLatency      float64          `json:"Slowness"`    // latencyStats.mean
	LatencySamples   float64          `json:"Seen"`        // latencyStats.samples
	MinLatency       float64          `json:"Quickest"`    // latencyStats.min
	CapacitySamples  float64          `json:"Learned"`     // capacityModel.samples
	MeanCapacityStep float64          `json:"Drift"`       // capacityModel.meanStep
	RetryBudget      float64          `json:"Spare"`       // Balancer.retryBudget
	RequestsRecent   float64          `json:"AskedRecent"` // the fields of traffic.requestRate
	RequestsLatest   float64          `json:"AskedLatest"`
	RequestsAt       float64          `json:"AskedAt"`
	AnswersRecent    float64          `json:"ServedRecent"` // ... and of traffic.answerRate
	AnswersLatest    float64          `json:"ServedLatest"`
	AnswersAt        float64          `json:"ServedAt"`
}

// ServerSnapshot is the part of a Snapshot about one server.
type ServerSnapshot struct {
	ID          ServerID `json:"ID"`
	CapacityLog float64  `json:"Size"` // learned logarithm of capacity, in addition to its kind's and zone's
	HealthState
	WarmingUp bool `json:"Cold"`
	SlowStartState
	CurrentWeight float64 `json:"Running"` // in smooth weighted round robin
}

// HealthState is the health of a server according to attempts and probes.
type HealthState struct {
	Errors         float64 `json:"Errors"` // consecutive errors
	LastErrorAt    float64 `json:"LastError"`
	CooldownUntil  float64 `json:"RestUntil"` // 0: no cooldown since the last answer
	AnsweredAt     float64 `json:"Answered"`  // time of the last answer
	Cooldowns      int     `json:"Rests"`     // since the last answer
	ProbeFailed    bool    `json:"Dark"`      // the last probe got no answer
	ConnectionLost bool    `json:"Down"`      // a connection was lost with a request since the last answer
}

// SlowStartState is the last start of a server, and the token bucket for sends to it while it warms up. In a
// snapshot it is zero for a warm server.
type SlowStartState struct {
	SlowStartAt float64 `json:"ColdSince"` // -Inf: before this process knew the server
	Tokens      float64 `json:"Tokens"`    // permitted sends at TokensAt
	TokensAt    float64 `json:"TokensAt"`
}

// ClassSnapshot holds the latency statistics of a class, in milliseconds.
type ClassSnapshot struct {
	Count        float64 `json:"Count"`     // answers that the mean and the deviation cover, at most 300
	Mean         float64 `json:"Mean"`      // latency of answers
	Deviation    float64 `json:"Deviation"` // mean absolute deviation
	MaxRemaining float64 `json:"Longest"`   // longest Request.Remaining
}

// Snapshot returns the learned state. It shares its maps with the balancer: they may be read until the next
// event, in the goroutine that hands in events.
func (b *Balancer) Snapshot() Snapshot {
	requests, answers := &b.traffic.requestRate, &b.traffic.answerRate
	snapshot := Snapshot{
		StartedAt: b.startedAt, Kinds: b.capacities.kinds, Zones: b.capacities.zones,
		CapacitySamples: b.capacities.samples, MeanCapacityStep: b.capacities.meanStep,
		ShedFraction: b.shedding.integral, MeanLatency: b.latencies.mean,
		LatencySamples: b.latencies.samples, MinLatency: b.latencies.min, RetryBudget: b.retryBudget,
		RequestsRecent: requests.recent, RequestsLatest: requests.latest, RequestsAt: requests.updated,
		AnswersRecent: answers.recent, AnswersLatest: answers.latest, AnswersAt: answers.updated,
	}
	for _, s := range b.servers.all {
		entry := ServerSnapshot{
			ID: s.ID, CapacityLog: s.capacityLog, HealthState: s.HealthState, CurrentWeight: s.currentWeight,
		}
		if entry.WarmingUp = b.warmingUp(s); entry.WarmingUp {
			entry.SlowStartState = s.SlowStartState
		}
		snapshot.Servers = append(snapshot.Servers, entry)
	}
	for i := range b.traffic.classes {
		snapshot.Classes = append(snapshot.Classes, b.traffic.classes[i].ClassSnapshot)
	}
	return snapshot
}

// Restore sets the learned state to that of another process of this sidecar. It is called after the first
// ServerList and before the first Request. Servers that are not listed, and classes beyond those of this
// process, are ignored.
func (b *Balancer) Restore(saved Snapshot) {
	t := &b.traffic
	b.startedAt, b.retryBudget = math.Min(saved.StartedAt, b.now), saved.RetryBudget
	b.shedding.integral = saved.ShedFraction
	b.latencies.mean, b.latencies.samples = saved.MeanLatency, saved.LatencySamples
	b.latencies.min = saved.MinLatency
	b.capacities.samples, b.capacities.meanStep = saved.CapacitySamples, saved.MeanCapacityStep
	maps.Copy(b.capacities.kinds, saved.Kinds)
	maps.Copy(b.capacities.zones, saved.Zones)
	t.requestRate = rateMeter{saved.RequestsRecent, saved.RequestsLatest, math.Min(saved.RequestsAt, b.now)}
	t.answerRate = rateMeter{saved.AnswersRecent, saved.AnswersLatest, math.Min(saved.AnswersAt, b.now)}
	for i, c := range saved.Classes[:min(len(saved.Classes), len(t.classes))] {
		t.classes[i].ClassSnapshot = c
	}
	for _, from := range saved.Servers {
		s := b.servers.byID[from.ID]
		if s == nil {
			continue
		}
		s.capacityLog, s.HealthState, s.currentWeight = from.CapacityLog, from.HealthState, from.CurrentWeight
		if from.WarmingUp {
			s.SlowStartState = from.SlowStartState
		}
	}
}
