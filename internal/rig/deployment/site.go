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

	"petrelhook/internal/coordination/release"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/load"
	"petrelhook/internal/rig/loopback"
	"petrelhook/internal/rig/process"
	"petrelhook/internal/rig/rehearse"
	"petrelhook/internal/rig/scenario"
)

const app = `length %s
sidecars %d cores=1 memory=64 sockets=512
class look share=60 effect=safe   work=2ms..3ms io=4ms..6ms aim=100ms deadline=1s worth=3 late=0.3
class book share=25 effect=keyed group=cell window=2s work=2ms..3ms io=4ms..6ms aim=100ms deadline=1s worth=3 late=0.3
class void share=15 effect=unsafe work=2ms..3ms io=4ms..6ms aim=100ms deadline=1s worth=3 late=0.3
clients patience=80%%..100%% retries=2 wait=80ms
tenant acme share=100
fleet 9 cells=3 cores=1 speed=1 queue=48
arrive poisson %d/s
`

// Site is a deployment under load.
type Site struct {
	*Deployment
	t        testing.TB
	Settings []byte // of the first release, for all sidecars
	Old      release.ID
	outcome  chan *rehearse.Outcome
	end      context.CancelFunc
}

// NewSite starts a deployment and a load on it, which ends with Check.
func NewSite(t testing.TB, reserved func() string, sidecars, rate int, faults string, change func(*Deployment)) *Site {
	t.Helper()
	s := &Site{Deployment: New(t, 3), t: t, outcome: make(chan *rehearse.Outcome, 1)}
	s.Reserved = reserved
	s.Zones = []string{"a", "b", "c"}
	s.First = func(settings []byte) release.ID {
		s.Settings = settings
		s.Old = s.Add(s.Program("petrelhook"), settings)
		return s.Old
	}
	if change != nil {
		change(s.Deployment)
	}
	sc, err := scenario.Parse("app", strings.NewReader(fmt.Sprintf(app, "30m", sidecars, rate)+faults))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	s.end = cancel
	began := make(chan struct{})
	var live atomic.Int64
	r := &rehearse.Rehearsal{Scenario: sc, Network: loopback.New(), Sidecars: s.Deployment, MaxLag: time.Minute,
		Began: sync.OnceFunc(func() { close(began) }), Live: func(load.Operation) { live.Add(1) }}
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
		t.Fatal("the load does not begin")
	}
	t.Cleanup(func() { cancel(); <-ended }) // before what the agents have left is killed
	process.Until(t, "load", func() bool { return live.Load() > 50 })
	return s
}

// End ends the load and all that serves it. It has to be called where a test has started an agent again.
func (s *Site) End() *rehearse.Outcome {
	s.t.Helper()
	s.end()
	out := <-s.outcome
	if out == nil {
		s.t.FailNow()
	}
	return out
}

// Check ends the load and judges: the four rules, and that no client met a refused connection or lost a request.
func (s *Site) Check() *rehearse.Outcome {
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

// Plan is a plan's text.
func Plan(from, to release.ID, more string) string {
	return fmt.Sprintf("from: %s\nto: %s\n%s", from, to, more)
}

// Running counts sidecars by what they run, as agents report.
func Running(c *rollout.Change, id release.ID) (n int) {
	for _, s := range c.State.Sidecars() {
		if s.Release == string(id) {
			n++
		}
	}
	return n
}

// BadRelease is one whose program is the test's own.
func (s *Site) BadRelease(kind string) release.ID {
	s.t.Helper()
	self, err := filepath.Abs(os.Args[0])
	if err != nil {
		s.t.Fatal(err)
	}
	return s.Script(strings.ReplaceAll(kind, " ", "-"), fmt.Sprintf("%s=%q exec %s", BadVariable, kind, self), s.Settings)
}

// Change is the settings with one text for another.
func (s *Site) Change(from, to string) []byte {
	return []byte(strings.Replace(string(s.Settings), from, to, 1))
}

// Worse is a release that is worse in one way: a script, or this test's program; and what has to be found.
type Worse struct{ Name, Script, Why, Plan string }

// Worse begins changes to worse releases, one after the other, and has each stopped and taken back.
func (s *Site) Worse(from release.ID, kinds []Worse) {
	s.t.Helper()
	for _, b := range kinds {
		var id release.ID
		if b.Script != "" {
			id = s.Script(strings.ReplaceAll(b.Name, " ", "-"), b.Script, s.Settings)
		} else {
			id = s.BadRelease(b.Name)
		}
		began := time.Now()
		if _, err := s.Begin(Plan(from, id, b.Plan)); err != nil {
			s.t.Fatal(b.Name, err)
		}
		stopped := s.Until(90*time.Second, b.Name+" is stopped", func(c *rollout.Change) bool { return c.State.Phase > rollout.Paused })
		took := time.Since(began)
		c := s.Over(time.Minute)
		s.t.Logf("%s: stopped after %v, back after %v: %s", b.Name, took.Round(100*time.Millisecond), time.Since(began).Round(100*time.Millisecond), c.State.Reason)
		if c.State.Phase != rollout.Stopped || stopped.State.Stage != 1 || Running(c, from) != 6 || !strings.Contains(c.State.Reason, b.Why) {
			text, _ := json.Marshal(c.State)
			s.t.Errorf("%s: %v in stage %d, %d run the one before: %s", b.Name, c.State.Phase, c.State.Stage, Running(c, from), text)
		}
	}
}
