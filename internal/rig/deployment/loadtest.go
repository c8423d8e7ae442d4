package deployment

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"petrelhook/internal/common/await"
	"petrelhook/internal/coordination/release"
	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/load"
	"petrelhook/internal/rig/rehearse"
	"petrelhook/internal/rig/scenario"
)

// loadScenario is the scenario of a load test, by length, number of sidecars, deadline, window of keys and requests a second. Faults are
// appended.
const loadScenario = `length %[1]s
sidecars %[2]d cores=1 memory=64 sockets=512
class look share=60 effect=safe   work=2ms..3ms io=4ms..6ms aim=100ms deadline=%[3]v worth=3 late=0.3
class book share=25 effect=keyed group=cell window=%[4]v work=2ms..3ms io=4ms..6ms aim=100ms deadline=%[3]v worth=3 late=0.3
class void share=15 effect=unsafe work=2ms..3ms io=4ms..6ms aim=100ms deadline=%[3]v worth=3 late=0.3
clients patience=80%%..100%% retries=2 wait=80ms
tenant acme share=100
fleet 9 cells=3 cores=1 speed=1 queue=48
arrive poisson %[5]d/s
`

// maxLoadLength is the length of a load that the test does not end before.
const maxLoadLength = "30m"

// LoadTest is a deployment under load, in three zones. Its methods are called from the test's goroutine.
type LoadTest struct {
	*Deployment
	t        testing.TB
	Settings []byte // of the initial release, for all sidecars
	Initial  release.ID
	outcome  chan *rehearse.Outcome // nil is sent if the load has failed
	endLoad  context.CancelFunc
}

// Load is what a load test begins with.
type Load struct {
	Sidecars  int
	Rate      int               // requests a second
	Deadline  time.Duration     // of requests; 0: a second. With a long one a machine that is busy with something else breaks no rule
	Faults    string            // statements of a scenario
	Configure func(*Deployment) // changes the deployment before its sidecars start; may be nil
}

// StartLoadTest starts a deployment and a load on it, which ends with End or Check. It returns once requests are answered.
func StartLoadTest(t testing.TB, platform Platform, load Load) *LoadTest {
	t.Helper()
	s := &LoadTest{Deployment: New(t, platform, 3), t: t, outcome: make(chan *rehearse.Outcome, 1)}
	s.Zones = []string{"a", "b", "c"}
	s.InitialRelease = func(settings []byte) release.ID {
		s.Settings = settings
		s.Initial = s.AddProgram(Program{}, settings)
		return s.Initial
	}
	if load.Configure != nil {
		load.Configure(s.Deployment)
	}
	deadline := cmp.Or(load.Deadline, time.Second)
	parsed, err := scenario.Parse("app", strings.NewReader(fmt.Sprintf(loadScenario, maxLoadLength, load.Sidecars, deadline, 2*deadline, load.Rate)+load.Faults))
	if err != nil {
		t.Fatal(err)
	}
	s.startLoad(parsed)
	return s
}

// startLoad starts the load in a goroutine that ends with the test, and waits until requests are answered.
func (s *LoadTest) startLoad(parsed *scenario.Scenario) {
	s.t.Helper()
	ctx, cancel := context.WithCancel(s.t.Context())
	s.endLoad = cancel
	began := make(chan struct{})
	var operations atomic.Int64
	rehearsal := &rehearse.Rehearsal{Scenario: parsed, Network: s.platform.network(), Sidecars: s.Deployment, MaxLag: time.Minute,
		OnStart: sync.OnceFunc(func() { close(began) }), OnOperation: func(load.Operation) { operations.Add(1) }}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		out, err := rehearsal.Run(ctx)
		if err != nil {
			s.t.Error(err)
		}
		s.outcome <- out
	}()
	select {
	case <-began:
	case <-time.After(30 * time.Second):
		s.t.Fatal("the load did not start within 30 s")
	}
	s.t.Cleanup(func() { cancel(); <-ended }) // before the sidecars that agents leave running are killed
	await.Eventually(s.t, "requests are answered", func() bool { return operations.Load() > 50 })
}

// End ends the load, the agents and the sidecars, and returns what the rehearsal found. A test that has restarted an agent has to call it:
// the processes that the agent has started since end here. It is called once.
func (s *LoadTest) End() *rehearse.Outcome {
	s.t.Helper()
	s.endLoad()
	out := <-s.outcome
	if out == nil {
		s.t.FailNow()
	}
	return out
}

// Check ends the load as End does, and checks the four rules of the audit, and that no client was refused a connection or lost a
// request.
func (s *LoadTest) Check() *rehearse.Outcome {
	s.t.Helper()
	out := s.End()
	if !out.Audit.OK() {
		s.t.Errorf("rules: %v", out.Audit.Breaches)
	}
	n := map[audit.Result]int{}
	for _, c := range out.Records.Calls {
		n[c.Result]++
	}
	s.t.Logf("%d calls: %d served, %d refused, %d failed, %d lost, %d unreached",
		len(out.Records.Calls), n[audit.Served], n[audit.Refused], n[audit.Failed], n[audit.Lost], n[audit.Unreached])
	if n[audit.Lost] > 0 || n[audit.Unreached] > 0 {
		s.t.Errorf("%d lost, %d unreached", n[audit.Lost], n[audit.Unreached])
	}
	return out
}
