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

// servedScenario is the load on real sidecars, by number and rate: reads, keyed writes (a cell drops repeats), and writes that must
// not run twice, with a fleet of servers without faults.
const servedScenario = `length 2h
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
	busyCallsPerSecond = 10   // for each sidecar, while versions are published
	idleCallsPerSecond = 0.05 // the same while none is: the cost of a sidecar is then that of its control
)

// serving is a rehearsal with the real sidecars that goes on during the run.
type serving struct {
	cancel  context.CancelFunc
	ended   chan struct{}
	outcome *rehearse.Outcome // valid once ended is closed, as err is
	err     error
	began   time.Time

	mu         sync.Mutex
	operations []load.Operation
}

// serve starts the machines' sidecars and the load, and returns when all are ready. failed is called if the rehearsal ends by
// itself with an error.
func (m *realMachines) serve(
	ctx context.Context, number int, rate float64, failed context.CancelCauseFunc,
) (*serving, error) {
	s, err := scenario.Parse("served", strings.NewReader(fmt.Sprintf(servedScenario, number, rate*float64(number))))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	v := &serving{cancel: cancel, ended: make(chan struct{})}
	began := make(chan struct{})
	r := &rehearse.Rehearsal{Scenario: s, Network: loopback.New(), Sidecars: m, MaxLag: time.Minute,
		OnStart: func() { v.began = time.Now(); close(began) },
		OnOperation: func(o load.Operation) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.operations = append(v.operations, o)
		}}
	go func() {
		defer close(v.ended)
		if v.outcome, v.err = r.Run(ctx); v.err != nil && ctx.Err() == nil {
			failed(fmt.Errorf("the real sidecars' load: %w", v.err))
		}
	}()
	select {
	case <-began:
		return v, nil
	case <-v.ended:
		cancel()
		return nil, errors.Join(context.Cause(ctx), v.err)
	}
}

// stop ends the load and the sidecars. It is an error if a rule was broken.
func (v *serving) stop() error {
	v.cancel()
	<-v.ended
	if v.err != nil {
		return v.err
	}
	return judge(v.outcome)
}

// judge returns an error if a rule was broken or a request got no response.
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

// latencies are the latencies of the calls scheduled from one time up to another that were served, in seconds, ascending; and the
// number that were not served.
func (v *serving) latencies(from, to time.Time) (latencies []float64, notServed int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, o := range v.operations {
		if at := v.began.Add(o.ScheduledAt); at.Before(from) || !at.Before(to) {
			continue
		}
		if o.Result != audit.Served {
			notServed++
			continue
		}
		latencies = append(latencies, o.Latency.Seconds())
	}
	slices.Sort(latencies)
	return latencies, notServed
}
