package main

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/rig/deployment"
)

// The test's program is also the sidecar of a bad release.
func TestMain(m *testing.M) {
	if kind := os.Getenv(deployment.FaultVariable); kind != "" {
		if err := deployment.RunFaultySidecar(kind); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	code := m.Run()
	deployment.RemoveBuilt()
	os.Exit(code)
}

// newLoadTest is a deployment under load. The programs that it starts are built without the race detector, which would see the rig alone: one
// test is run under it, the others are not.
func newLoadTest(t *testing.T, sidecars, rate int, faults string, change func(*deployment.Deployment)) *deployment.LoadTest {
	if raced && t.Name() != "TestStoppedProcesses" {
		t.Skip("the programs are not built with the race detector")
	}
	return deployment.StartLoadTest(t, func() string { return peertest.ReserveAddr(t) }, sidecars, rate, faults, change)
}

// short is a plan with two stages, the first of which is judged.
const short = "max_concurrent: 2\nprogress_timeout: 3m\njudge: {min_effect: 0.15}\nstages:\n  - {count: 2, control: 2}\n  - {share: 1}\n"

// worse is a release that is bad in one way, for the plan with two stages.
func worse(name, script, why string) deployment.WorseRelease {
	return deployment.WorseRelease{Name: name, Script: script, Reason: why, Plan: short}
}

// A release that is the old one under another name passes its stages while a third of the servers is slow; releases that are worse in one
// way each are stopped in the first stage and rolled back. No request is affected by a change alone.
func TestReleases(t *testing.T) {
	s := newLoadTest(t, 6, 240, "at 2s cell:1 slow x4 for 10s\n", nil)
	good := s.Script("another-name", `exec $REAL "$@"`, s.Settings)
	if _, err := s.Begin(deployment.PlanText(s.Initial, good, short)); err != nil {
		t.Fatal(err)
	}
	c := s.AwaitEnd(2 * time.Minute)
	t.Logf("a good one: %v, %d events", c.State.Phase, c.EventCount)
	if c.State.Phase != rollout.Done || deployment.CountRunning(c, good) != 6 {
		t.Fatalf("%v: %s", c.State.Phase, c.State.Reason)
	}
	fiftieth := worse(deployment.FaultRejectsFiftieth, "", "of class")
	fiftieth.Plan = strings.Replace(short, "0.15", "0.02", 1)
	kinds := []deployment.WorseRelease{worse(deployment.FaultOneClass, "", "failed of class void"), worse(deployment.FaultSlow, "", "slow of class"), worse("never ready", "exec sleep 60", "not ready in"),
		worse(deployment.FaultNoConnections, "", "of class"), worse(deployment.FaultInZone+"a", "", "zone"), fiftieth}
	if os.Getenv("FIGURES") != "" {
		kinds = append(kinds, deployment.WorseRelease{Name: deployment.FaultLeaks, Reason: "of class * in zone *", Plan: strings.Replace(strings.Replace(short, "3m", "1m", 1), "control: 2", "control: 2, min_bake_time: 50s", 1)})
	}
	s.CheckWorseReleases(good, kinds)
	s.Check()
}

// A release uses up capacity of the servers that the old sidecars need: those do worse than before, and the change pauses. An invalid
// plan is refused before anything changes.
func TestAReleaseThatHarmsOthers(t *testing.T) {
	s := newLoadTest(t, 6, 240, "", nil)
	id := s.FaultyRelease(deployment.FaultGreedy)
	for text, want := range map[string]string{
		deployment.PlanText(s.Initial, "0123456789abcdef0123456789abcdef", short):                                                               "there is no such release here",
		deployment.PlanText(id, s.Initial, short):                                                                                               "n00 runs",
		deployment.PlanText(s.Initial, id, "stages: [{count: 7}]"):                                                                              "count: 7, and 6 are left",
		deployment.PlanText(s.Initial, s.Add(s.Program("petrelhook"), []byte(`{"x": 1}`)), short):                                               "have no fields in settings",
		deployment.PlanText(s.Initial, s.Add(s.Program("petrelhook"), s.ReplaceSetting(`"hard_limit_ms":1000`, `"hard_limit_ms":2000`)), short): "must not run side by side",
		deployment.PlanText(s.Initial, s.Add("/etc/hostname", s.Settings), short):                                                               "does not take its settings",
	} {
		if _, err := s.Begin(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	if _, err := s.Begin(deployment.PlanText(s.Initial, id, "baseline_period: 5s\n"+strings.Replace(short, "0.15", "0.1", 1))); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Begin(deployment.PlanText(s.Initial, id, short)); err == nil || !strings.Contains(err.Error(), "is running") {
		t.Errorf("two changes at once: %v", err)
	}
	c := s.AwaitChange(90*time.Second, "it does not go on", func(c *rollout.Change) bool { return c.State.Phase != rollout.Running })
	t.Logf("%v: %s", c.State.Phase, c.State.Reason)
	if c.State.Stage != 1 || c.State.Phase != rollout.Paused || !strings.Contains(c.State.Reason, "old sidecars do worse") {
		t.Errorf("%v in stage %d: %s", c.State.Phase, c.State.Stage, c.State.Reason)
	}
	s.SendEvent(rollout.Event{Abort: "seen"})
	if c := s.AwaitEnd(time.Minute); deployment.CountRunning(c, s.Initial) != 6 {
		t.Errorf("%d are back", deployment.CountRunning(c, s.Initial))
	}
}

// Releases whose processes end by themselves. The requests that they had accepted end with them.
func TestReleasesThatEnd(t *testing.T) {
	s := newLoadTest(t, 6, 120, "", nil)
	s.CheckWorseReleases(s.Initial, []deployment.WorseRelease{worse("dies at start", "exit 1", "ended before it was ready"), worse("dies in its trial", `(sleep 0.5; kill -9 $$) & exec $REAL "$@"`, "ended in its trial"),
		worse("dies later", `(sleep 4; kill -9 $$) & exec $REAL "$@"`, "it ended")})
}

// A release that is bad under load alone is not stopped while there is little load; it is stopped in its first stage once the load rises.
func TestAReleaseThatIsBadUnderLoad(t *testing.T) {
	began := time.Now()
	const rises = 18 * time.Second // after the load began
	s := newLoadTest(t, 6, 240, "arrive step 1/s..600/s at=18s poisson\n", nil)
	if _, err := s.Begin(deployment.PlanText(s.Initial, s.FaultyRelease(deployment.FaultUnderLoad), strings.Replace(short, "control: 2", "control: 2, min_bake_time: 60s", 1))); err != nil {
		t.Fatal(err)
	}
	s.AwaitChange(time.Minute, "it is stopped", func(c *rollout.Change) bool { return c.State.Phase > rollout.Paused })
	stopped := time.Since(began)
	c := s.AwaitEnd(time.Minute)
	t.Logf("stopped after %v, the load rose after %v: %s", stopped.Round(time.Second), rises, c.State.Reason)
	if stopped < rises || c.State.Stage != 1 || deployment.CountRunning(c, s.Initial) != 6 || !strings.Contains(c.State.Reason, "worse") {
		t.Errorf("%v in stage %d: %s", c.State.Phase, c.State.Stage, c.State.Reason)
	}
	s.Check()
}

// A good release is not stopped for the faults of others: while it is rolled out, servers are deployed, discovery is down, and load doubles.
func TestAGoodReleaseInBadTimes(t *testing.T) {
	s := newLoadTest(t, 6, 240, "rules cold-from=50% cold-time=2s\nat 3s all roll batch=2 every=3s drain=500ms down=500ms cold=50% warm=2s\nat 5s discovery down for 6s\narrive step 1/s..240/s at=8s poisson\n", nil)
	good := s.Script("another-name", `exec $REAL "$@"`, s.Settings)
	if _, err := s.Begin(deployment.PlanText(s.Initial, good, short)); err != nil {
		t.Fatal(err)
	}
	c := s.AwaitEnd(90 * time.Second)
	t.Logf("%v, %d events", c.State.Phase, c.EventCount)
	if c.State.Phase != rollout.Done || deployment.CountRunning(c, good) != 6 {
		t.Errorf("%v: %s", c.State.Phase, c.State.Reason)
	}
	s.Check()
}
