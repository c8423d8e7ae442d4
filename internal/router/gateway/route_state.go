package gateway

import (
	"slices"
	"time"

	"petrelhook/internal/router/rotation"
	"petrelhook/internal/router/routetable"
)

// routeState is the gateway's state of one route. It is kept for as long as the route is in the configuration.
type routeState struct {
	backendWeights []rotation.CurrentWeight // by backend, for a route that is split over several services
	timeouts       recentDurations          // timeouts that clients sent
	firstEvents    recentDurations          // times from the start of an attempt to the first event of its stream
}

// routeState returns the state of a route, and creates it at the first use. The caller holds the lock.
func (g *Gateway) routeState(route string) *routeState {
	state := g.routes[route]
	if state == nil {
		state = &routeState{}
		g.routes[route] = state
	}
	return state
}

// chooseService returns the service for the next request of a route. A route with several backends rotates among them by their
// weights. The caller holds the lock.
func (g *Gateway) chooseService(route *routetable.CompiledRoute) string {
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

// recentSamples is the number of samples that are kept of a route's durations, and the number required for a typical value.
const recentSamples = 64

// typicalQuantile is the quantile of the recent samples that is used as the typical value. Of clients' timeouts it gives that of
// a first attempt, because later attempts are fewer and have less time left.
const typicalQuantile = 0.75

// recentDurations holds the last recentSamples durations of one kind on a route.
type recentDurations struct {
	samples [recentSamples]time.Duration
	count   int
}

func (r *recentDurations) add(sample time.Duration) {
	r.samples[r.count%recentSamples] = sample
	r.count++
}

// typical returns the typicalQuantile of the recent samples; 0 while there are fewer than recentSamples.
func (r *recentDurations) typical() time.Duration {
	if r.count < recentSamples {
		return 0
	}
	sorted := r.samples
	slices.Sort(sorted[:])
	return sorted[int(typicalQuantile*recentSamples)]
}
