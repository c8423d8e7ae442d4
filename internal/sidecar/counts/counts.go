// Package counts counts the requests of a sidecar process by class and outcome, the latencies of the served ones, measured from
// arrival, and the use of the servers: attempts, connections and health checks. It compares nothing and decides nothing. The
// judge of releases (package judge) gets the counts from the agents.
//
// Counters belong to one process and only grow: a reader computes differences, and starts anew with another process. A request is
// counted once, when it ends. Latencies are counted in exponential buckets, four per factor of two. The counters of a class are
// read one after another, so a snapshot may be inconsistent by the requests that end in between.
package counts

import (
	"context"
	"errors"
	"math"
	"sync/atomic"
	"time"

	"petrelhook/internal/sidecar/front"
)

// Buckets is the number of latency buckets. The first ends at firstBucket, four more span each factor of two, and the last has no
// upper bound.
const Buckets = 64

const firstBucket = 250 * time.Microsecond

// Bucket returns the index of the bucket for a latency.
func Bucket(latency time.Duration) int {
	if latency <= firstBucket {
		return 0
	}
	return min(Buckets-1, int(math.Ceil(4*math.Log2(float64(latency)/float64(firstBucket)))))
}

// Class holds the counters of one class of requests, as they are reported to operators and agents.
type Class struct {
	Name       string          `json:"name"`
	Served     uint64          `json:"served"`
	Refused    uint64          `json:"refused"`
	Failed     uint64          `json:"failed"`
	ClientGone uint64          `json:"gone"` // requests whose clients disconnected before the response
	Latency    [Buckets]uint64 `json:"took"` // number of served requests by latency bucket
}

// Front is a front.Core that counts the requests that it passes to another front.Core.
type Front struct {
	front.Core
	classes []class
}

type class struct {
	name                                string
	served, refused, failed, clientGone atomic.Uint64
	latency                             [Buckets]atomic.Uint64
}

// New returns a Front that passes requests to core and counts those of the given classes.
func New(core front.Core, classes []front.Class) *Front {
	f := &Front{core, make([]class, len(classes))}
	for i, c := range classes {
		f.classes[i].name = c.Name
	}
	return f
}

// Answer passes a request to the core and counts its outcome.
func (f *Front) Answer(ctx context.Context, r front.Request) (front.Answer, error) {
	a, err := f.Core.Answer(ctx, r)
	if r.Class < 0 || r.Class >= len(f.classes) {
		return a, err
	}
	c := &f.classes[r.Class]
	switch {
	case err != nil && ctx.Err() != nil, errors.Is(err, front.ErrClientGone):
		c.clientGone.Add(1)
	case err != nil: // the request was not accepted, or the core has ended
	case a.Verdict == front.Served:
		c.served.Add(1)
		c.latency[Bucket(time.Since(r.Arrived))].Add(1)
	case a.Verdict == front.Refused:
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
	return a, err
}

// Snapshot returns the counters of all classes.
func (f *Front) Snapshot() []Class {
	all := make([]Class, len(f.classes))
	for i := range f.classes {
		c := &f.classes[i]
		all[i] = Class{Name: c.name, Served: c.served.Load(), Refused: c.refused.Load(), Failed: c.failed.Load(), ClientGone: c.clientGone.Load()}
		for bucket := range c.latency {
			all[i].Latency[bucket] = c.latency[bucket].Load()
		}
	}
	return all
}
