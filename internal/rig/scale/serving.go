package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/load"
	"petrelhook/internal/rig/loopback"
	"petrelhook/internal/rig/rehearse"
	"petrelhook/internal/rig/scenario"
)

// served is what real sidecars serve: reads, keyed writes that one cell drops repeats of, and what must not run twice,
// at a fleet that nothing happens to.
const served = `length 2h
sidecars %d cores=1 memory=64 sockets=512
class look share=60 effect=safe   work=2ms..3ms io=4ms..6ms aim=100ms deadline=1s worth=3 late=0.3
class book share=25 effect=keyed group=cell window=2s work=2ms..3ms io=4ms..6ms aim=100ms deadline=1s worth=3 late=0.3
class void share=15 effect=unsafe work=2ms..3ms io=4ms..6ms aim=100ms deadline=1s worth=3 late=0.3
clients patience=80%%..100%% retries=2 wait=80ms
tenant one share=100
fleet 12 cells=3 cores=1 speed=1 queue=48
arrive poisson %g/s
`

const (
	busyCalls = 10   // a second and sidecar, while versions are on their way
	restCalls = 0.05 // ... at rest: what a sidecar spends then is spent on control
)

// serving is a rehearsal of the real sidecars that goes on beside everything else.
type serving struct {
	end   context.CancelFunc
	over  chan struct{}
	out   *rehearse.Outcome // once it is over
	err   error
	began time.Time

	mu   sync.Mutex
	done []load.Operation
}

// serve starts the machines' sidecars and the load, and returns when all are ready. failed is told where it ends by
// itself.
func (m *machines) serve(
	ctx context.Context, number int, rate float64, failed context.CancelCauseFunc,
) (*serving, error) {
	s, err := scenario.Parse("served", strings.NewReader(fmt.Sprintf(served, number, rate*float64(number))))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	v := &serving{end: cancel, over: make(chan struct{})}
	began := make(chan struct{})
	r := &rehearse.Rehearsal{Scenario: s, Network: loopback.New(), Sidecars: m, MaxLag: time.Minute,
		Began: func() { v.began = time.Now(); close(began) },
		Live: func(o load.Operation) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.done = append(v.done, o)
		}}
	go func() {
		defer close(v.over)
		if v.out, v.err = r.Run(ctx); v.err != nil && ctx.Err() == nil {
			failed(fmt.Errorf("the real sidecars' load: %w", v.err))
		}
	}()
	select {
	case <-began:
		return v, nil
	case <-v.over:
		cancel()
		return nil, errors.Join(context.Cause(ctx), v.err)
	}
}

// stop ends the load and the sidecars; it says what was against the rules.
func (v *serving) stop() error {
	v.end()
	<-v.over
	if v.err != nil {
		return v.err
	}
	return judge(v.out)
}

// judge is an error where a rule was broken, or a request had no answer.
func judge(out *rehearse.Outcome) error {
	n := map[audit.Result]int{}
	for _, c := range out.Records.Calls {
		n[c.Result]++
	}
	switch {
	case !out.Audit.OK():
		return fmt.Errorf("rules were broken by real sidecars: %v", out.Audit.Breaches)
	case n[audit.Lost] > 0 || n[audit.Unreached] > 0:
		return fmt.Errorf("of %d calls of real sidecars %d were lost and %d did not reach one", len(out.Records.Calls),
			n[audit.Lost], n[audit.Unreached])
	}
	return nil
}

// latencies are those of the calls that were due between two moments and were served, the shortest first, in seconds;
// and how many were not served.
func (v *serving) latencies(from, to time.Time) (took []float64, not int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, o := range v.done {
		if at := v.began.Add(o.ScheduledAt); at.Before(from) || !at.Before(to) {
			continue
		}
		if o.Result != audit.Served {
			not++
			continue
		}
		took = append(took, o.Latency.Seconds())
	}
	slices.Sort(took)
	return took, not
}
