package gateway

import (
	"slices"
	"time"

	"petrelhook/internal/router/rotation"
	"petrelhook/internal/router/routetable"
)

// routeState is what a gateway remembers of a route while the route is in the configuration.
type routeState struct {
	backendWeights []rotation.CurrentWeight // of a route that is split over several services
	deadlines      recentTimes              // that clients gave
	firstEvents    recentTimes              // from an attempt's start to the first event of the stream
}

// routeState returns a route's state, which is empty at first. The lock is held.
func (g *Gateway) routeState(route string) *routeState {
	state := g.routes[route]
	if state == nil {
		state = &routeState{}
		g.routes[route] = state
	}
	return state
}

// chooseService chooses the service of a route that may be split over several. The lock is held.
func (g *Gateway) chooseService(route *routetable.Compiled) string {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	state := g.routeState(route.Name)
	if len(state.backendWeights) != len(route.Backends) {
		state.backendWeights = make([]rotation.CurrentWeight, len(route.Backends))
	}
	candidates := make([]rotation.Candidate, len(route.Backends))
	for i := range candidates {
		candidates[i] = rotation.Candidate{Current: &state.backendWeights[i], Weight: route.Backends[i].Weight}
	}
	return route.Backends[rotation.Pick(candidates)].Service
}

// recentSamples is how many times of a route are remembered, and how many are needed before any conclusion.
const recentSamples = 64

// usualQuantile is the quantile of recent times that counts as usual. Of clients' deadlines it is a first attempt's:
// later attempts have less time left, and are fewer.
const usualQuantile = 0.75

// recentTimes are the last times of some kind on a route.
type recentTimes struct {
	samples [recentSamples]time.Duration
	count   int
}

func (r *recentTimes) add(t time.Duration) {
	r.samples[r.count%recentSamples] = t
	r.count++
}

// usual is the time that usualQuantile of the last ones do not exceed; 0 while there are too few.
func (r *recentTimes) usual() time.Duration {
	if r.count < recentSamples {
		return 0
	}
	sorted := r.samples
	slices.Sort(sorted[:])
	return sorted[int(usualQuantile*recentSamples)]
}
