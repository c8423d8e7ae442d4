package balance

import (
	"slices"
	"sort"
)

// serverTable holds the servers of the list.
type serverTable struct {
	all         []*server // in order of ID
	ring        []*server // by ringPosition; see Balancer.subset
	subset      []*server // last result of Balancer.subset; the slice is reused
	byID        map[ServerID]*server
	totalWeight float64 // sum of the weights of the candidates at the last first send
}

// server holds what this sidecar knows about one server.
type server struct {
	Server
	ringPosition uint64  // position in this sidecar's order of servers, a hash
	capacityLog  float64 // learned logarithm of capacity, in addition to its kind's and zone's
	rotationState
	HealthState
	SlowStartState
	loadState
}

// rotationState is a server's state in smooth weighted round robin. All but the current weight is set anew at
// each pick.
type rotationState struct {
	currentWeight float64
	weight        float64 // 0: not a candidate
	affinity      float64 // to the key of the request, in rotations; see keys.go
	loadKnown     bool    // it has a fresh load report, or no candidate has one
}

// loadState is the known load of a server.
type loadState struct {
	inFlight     int     // attempts of this sidecar
	weightedLoad float64 // sum over them of 1 / latency target
	probing      bool    // a probe is in flight
	reported     float64 // requests in flight according to its last load report
	reportedAt   float64 // when that report arrived; 0: there was none
	sentSince    float64 // sends of this sidecar since that report
}

// countAttempt adds an attempt to the server's load (change 1) or removes it (-1).
func (s *server) countAttempt(change int, r *request) {
	s.inFlight += change
	s.weightedLoad += float64(change) / r.class.LatencyTarget
	s.sentSince += float64(max(0, change))
}

// resetHealth clears a server's errors and cooldowns, after an answer or a restart.
func (s *server) resetHealth() {
	s.HealthState = HealthState{LastErrorAt: s.LastErrorAt, AnsweredAt: s.AnsweredAt}
}

// markUnlistedRemoved marks the servers as removed that a complete list does not name.
func (t *serverTable) markUnlistedRemoved(entries []Server) {
	listed := make(map[ServerID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for _, s := range t.all {
		if !listed[s.ID] {
			s.State = Removed
		}
	}
}

// dropRemoved deletes removed servers from the table and sorts the others. Attempts in flight still refer to
// deleted servers.
func (t *serverTable) dropRemoved() {
	t.all = slices.DeleteFunc(t.all, func(s *server) bool {
		if s.State == Removed {
			delete(t.byID, s.ID)
		}
		return s.State == Removed
	})
	sort.Slice(t.all, func(i, j int) bool { return t.all[i].ID < t.all[j].ID })
	t.ring = append(t.ring[:0], t.all...)
	sort.SliceStable(t.ring, func(i, j int) bool { return t.ring[i].ringPosition < t.ring[j].ringPosition })
}

// loadByHealth returns the sum of weightedLoad over the servers without a cooldown since their last answer,
// and over the others.
func (t *serverTable) loadByHealth() (healthy, suspect float64) {
	for _, s := range t.all {
		if s.CooldownUntil == 0 {
			healthy += s.weightedLoad
		} else {
			suspect += s.weightedLoad
		}
	}
	return healthy, suspect
}
