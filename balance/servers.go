package balance

import (
	"slices"
	"sort"
)

// serverTable holds the servers that are listed.
type serverTable struct {
	all         []*server // in order of ID
	ring        []*server // by ringPosition; see Balancer.subset
	subset      []*server // what Balancer.subset returned last; its space is used again
	byID        map[ServerID]*server
	totalWeight float64 // sum of the weights of the candidates at the last first send
}

// server is what this sidecar knows of one server.
type server struct {
	Server
	ringPosition uint64  // place in this sidecar's order of servers, a hash
	capacityLog  float64 // learned logarithm of capacity, beyond its kind's and zone's
	rotationState
	HealthState
	SlowStartState
	loadState
}

// rotationState is a server's part in smooth weighted round robin. All but the current weight is set anew
// at each pick.
type rotationState struct {
	currentWeight float64
	weight        float64 // 0: not a candidate
	affinity      float64 // to the key of the request, in rotations; see keys.go
	loadKnown     bool    // its load is known as well as that of any candidate
}

// loadState is what is known of a server's present work.
type loadState struct {
	inFlight     int     // attempts of this sidecar
	weightedLoad float64 // sum over them of 1 / latency target
	probing      bool    // a probe is in flight
	reported     float64 // requests in flight by its last load report
	reportedAt   float64 // when that came; 0: there was none
	sentSince    float64 // sends of this sidecar since that report
}

// countAttempt counts an attempt that the server works on from now on (change 1) or no longer (-1).
func (s *server) countAttempt(change int, r *request) {
	s.inFlight += change
	s.weightedLoad += float64(change) / r.class.LatencyTarget
	s.sentSince += float64(max(0, change))
}

// resetHealth forgets a server's errors and cooldowns, after an answer or a restart.
func (s *server) resetHealth() {
	s.HealthState = HealthState{LastErrorAt: s.LastErrorAt, AnsweredAt: s.AnsweredAt}
}

// markUnlistedRemoved marks as removed what a full list does not name.
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

// dropRemoved takes removed servers out of the table and sorts the others. Attempts in flight keep theirs.
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

// openLoad returns the weighted load at servers that had no cooldown since they last answered, and at the
// others.
func (t *serverTable) openLoad() (healthy, suspect float64) {
	for _, s := range t.all {
		if s.CooldownUntil == 0 {
			healthy += s.weightedLoad
		} else {
			suspect += s.weightedLoad
		}
	}
	return healthy, suspect
}
