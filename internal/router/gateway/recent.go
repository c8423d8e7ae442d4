package gateway

import (
	"slices"
	"time"
)

// recentSamples is how many times of a route are remembered, and how many have to be there before anything is said of them.
const recentSamples = 64

// recentTimes are the last times of some kind that were seen on a route.
type recentTimes struct {
	samples [recentSamples]time.Duration
	count   int
}

func (r *recentTimes) add(t time.Duration) {
	r.samples[r.count%recentSamples] = t
	r.count++
}

// quantile is the time that a part of the last ones do not exceed; 0 while too few were seen.
func (r *recentTimes) quantile(part float64) time.Duration {
	if r == nil || r.count < recentSamples {
		return 0
	}
	sorted := r.samples
	slices.Sort(sorted[:])
	return sorted[int(part*recentSamples)]
}

// recentOf is the times of a route, which begin empty.
func recentOf(all map[string]*recentTimes, route string) *recentTimes {
	seen := all[route]
	if seen == nil {
		seen = &recentTimes{}
		all[route] = seen
	}
	return seen
}
