package balance

import (
	"maps"
	"math"
)

// State for the next process of a sidecar: it neither learns anew nor gives a second slow-start budget.

// Snapshot is what a balancer has learned. Another process of the same sidecar goes on with it; it has
// nothing of single requests. Points in time are of the clock that all events have. Its JSON form
// passes between processes of different versions: the tags are fixed. See TestRecordedSnapshot.
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

// ServerSnapshot is what a Snapshot has of one server.
type ServerSnapshot struct {
	ID          ServerID `json:"ID"`
	CapacityLog float64  `json:"Size"` // learned logarithm of capacity, beyond its kind's and zone's
	HealthState
	WarmingUp bool `json:"Cold"`
	SlowStartState
	CurrentWeight float64 `json:"Running"` // in smooth weighted round robin
}

// HealthState is what attempts and probes have shown of a server.
type HealthState struct {
	Errors         float64 `json:"Errors"` // consecutive ones
	LastErrorAt    float64 `json:"LastError"`
	CooldownUntil  float64 `json:"RestUntil"` // 0: no cooldown since it last answered
	AnsweredAt     float64 `json:"Answered"`  // the last time
	Cooldowns      int     `json:"Rests"`     // since it last answered
	ProbeFailed    bool    `json:"Dark"`      // the last probe got no answer
	ConnectionLost bool    `json:"Down"`      // a request was lost with one, and no answer came since
}

// SlowStartState is a server's last start, and the budget of sends to it while it warms up. In a snapshot it
// is zero for a server that is warm.
type SlowStartState struct {
	SlowStartAt float64 `json:"ColdSince"` // -Inf: before this process knew the server
	Tokens      float64 `json:"Tokens"`    // sends that were left at TokensAt
	TokensAt    float64 `json:"TokensAt"`
}

// ClassSnapshot is how long answers of a class take, in milliseconds: how many answers the mean and the mean
// deviation are of, at most 300, and the longest time that a client had left for a request.
type ClassSnapshot struct {
	Count        float64 `json:"Count"`
	Mean         float64 `json:"Mean"`
	Deviation    float64 `json:"Deviation"`
	MaxRemaining float64 `json:"Longest"`
}

// Snapshot returns what was learned. Its maps are the balancer's own: they may be read until the next
// event, in the goroutine that hands in events.
func (b *Balancer) Snapshot() Snapshot {
	requests, answers := &b.traffic.requestRate, &b.traffic.answerRate
	snapshot := Snapshot{
		StartedAt: b.startedAt, Kinds: b.capacities.kinds, Zones: b.capacities.zones,
		CapacitySamples: b.capacities.samples, MeanCapacityStep: b.capacities.meanStep,
		ShedFraction: b.shedding.lasting, MeanLatency: b.latencies.mean,
		LatencySamples: b.latencies.samples, MinLatency: b.latencies.min, RetryBudget: b.retryBudget,
		RequestsRecent: requests.recent, RequestsLatest: requests.latest, RequestsAt: requests.updated,
		AnswersRecent: answers.recent, AnswersLatest: answers.latest, AnswersAt: answers.updated,
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

// Restore goes on with what another process of this sidecar learned. It is called after the first ServerList
// and before the first Request: what is of servers that are not listed is dropped, and so are classes beyond
// those of this process.
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
