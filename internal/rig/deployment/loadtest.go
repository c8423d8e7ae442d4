package deployment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"petrelhook/internal/common/await"
	"petrelhook/internal/coordination/release"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/load"
	"petrelhook/internal/rig/loopback"
	"petrelhook/internal/rig/rehearse"
	"petrelhook/internal/rig/scenario"
)

// siteScenario is the load on a site, by length, number of sidecars and rate. Faults are appended.
const siteScenario = `length %s
sidecars %d cores=1 memory=64 sockets=512
class look share=60 effect=safe   work=2ms..3ms io=4ms..6ms aim=100ms deadline=1s worth=3 late=0.3
class book share=25 effect=keyed group=cell window=2s work=2ms..3ms io=4ms..6ms aim=100ms deadline=1s worth=3 late=0.3
class void share=15 effect=unsafe work=2ms..3ms io=4ms..6ms aim=100ms deadline=1s worth=3 late=0.3
clients patience=80%%..100%% retries=2 wait=80ms
tenant acme share=100
fleet 9 cells=3 cores=1 speed=1 queue=48
arrive poisson %d/s
`

// LoadTest is a deployment under load, in three zones.
type LoadTest struct {
	*Deployment
	t        testing.TB
	Settings []byte // of the initial release, for all sidecars
	Initial  release.ID
	outcome  chan *rehearse.Outcome
	endLoad  context.CancelFunc
}

// StartLoadTest starts a deployment and a load on it, which ends with End or Check. faults are statements of a scenario; configure, if not
// nil, changes the deployment before its sidecars start.
func StartLoadTest(t testing.TB, reserveAddr func() string, sidecars, rate int, faults string, configure func(*Deployment)) *LoadTest {
	t.Helper()
	s := &LoadTest{Deployment: New(t, 3), t: t, outcome: make(chan *rehearse.Outcome, 1)}
	s.ReserveAddr = reserveAddr
	s.Zones = []string{"a", "b", "c"}
	s.InitialRelease = func(settings []byte) release.ID {
		s.Settings = settings
		s.Initial = s.Add(s.Program("petrelhook"), settings)
		return s.Initial
	}
	if configure != nil {
		configure(s.Deployment)
	}
	sc, err := scenario.Parse("app", strings.NewReader(fmt.Sprintf(siteScenario, "30m", sidecars, rate)+faults))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	s.endLoad = cancel
	began := make(chan struct{})
	var live atomic.Int64
	r := &rehearse.Rehearsal{Scenario: sc, Network: loopback.New(), Sidecars: s.Deployment, MaxLag: time.Minute,
		OnStart: sync.OnceFunc(func() { close(began) }), OnOperation: func(load.Operation) { live.Add(1) }}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		out, err := r.Run(ctx)
		if err != nil {
			t.Error(err)
		}
		s.outcome <- out
	}()
	select {
	case <-began:
	case <-time.After(30 * time.Second):
		t.Fatal("the load did not start within 30 s")
	}
	t.Cleanup(func() { cancel(); <-ended }) // before the sidecars that agents leave running are killed
	await.Eventually(t, "load", func() bool { return live.Load() > 50 })
	return s
}

// End ends the load, the agents and the sidecars. A test that has restarted an agent has to call it.
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
	s.t.Logf("%d calls: %d served, %d refused, %d failed, %d lost, %d unreached", len(out.Records.Calls), n[audit.Served], n[audit.Refused], n[audit.Failed], n[audit.Lost], n[audit.Unreached])
	if n[audit.Lost] > 0 || n[audit.Unreached] > 0 {
		s.t.Errorf("%d lost, %d unreached", n[audit.Lost], n[audit.Unreached])
	}
	return out
}

// PlanText is the text of a plan between two releases, with further fields.
func PlanText(from, to release.ID, fields string) string {
	return fmt.Sprintf("from: %s\nto: %s\n%s", from, to, fields)
}

// CountRunning is the number of sidecars that run a release, as agents report.
func CountRunning(c *rollout.Change, id release.ID) (n int) {
	for _, s := range c.State.Sidecars() {
		if s.Release == string(id) {
			n++
		}
	}
	return n
}

// FaultyRelease adds a release whose program is the test's own, in the role of RunFaultySidecar.
func (s *LoadTest) FaultyRelease(fault string) release.ID {
	s.t.Helper()
	self, err := filepath.Abs(os.Args[0])
	if err != nil {
		s.t.Fatal(err)
	}
	return s.Script(strings.ReplaceAll(fault, " ", "-"), fmt.Sprintf("%s=%q exec %s", FaultVariable, fault, self), s.Settings)
}

// ReplaceSetting returns the settings with the first occurrence of a text replaced.
func (s *LoadTest) ReplaceSetting(from, to string) []byte {
	return []byte(strings.Replace(string(s.Settings), from, to, 1))
}

// WorseRelease is a release that is worse in one way: a Script, or FaultyRelease(Name) if that is empty. Reason is what the stop's
// reason has to contain; Plan are further fields of the plan.
type WorseRelease struct{ Name, Script, Reason, Plan string }

// CheckWorseReleases starts changes to worse releases, one after the other, and checks that each is stopped in its first stage, for
// its reason, and rolled back.
func (s *LoadTest) CheckWorseReleases(from release.ID, releases []WorseRelease) {
	s.t.Helper()
	for _, b := range releases {
		var id release.ID
		if b.Script != "" {
			id = s.Script(strings.ReplaceAll(b.Name, " ", "-"), b.Script, s.Settings)
		} else {
			id = s.FaultyRelease(b.Name)
		}
		began := time.Now()
		if _, err := s.Begin(PlanText(from, id, b.Plan)); err != nil {
			s.t.Fatal(b.Name, err)
		}
		stopped := s.AwaitChange(90*time.Second, b.Name+" is stopped", func(c *rollout.Change) bool { return c.State.Phase > rollout.Paused })
		took := time.Since(began)
		c := s.AwaitEnd(time.Minute)
		s.t.Logf("%s: stopped after %v, back after %v: %s", b.Name, took.Round(100*time.Millisecond), time.Since(began).Round(100*time.Millisecond), c.State.Reason)
		if c.State.Phase != rollout.Stopped || stopped.State.Stage != 1 || CountRunning(c, from) != 6 || !strings.Contains(c.State.Reason, b.Reason) {
			text, _ := json.Marshal(c.State)
			s.t.Errorf("%s: %v in stage %d, %d run the one before: %s", b.Name, c.State.Phase, c.State.Stage, CountRunning(c, from), text)
		}
	}
}
