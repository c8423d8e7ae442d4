package deployment

import (
	"strings"
	"testing"
	"time"

	"petrelhook/internal/coordination/rollout"
)

// short is a plan with two stages, the first of which is judged.
const short = "max_concurrent: 2\nprogress_timeout: 3m\njudge: {min_effect: 0.15}\nstages:\n  - {count: 2, control: 2}\n  - {share: 1}\n"

// worse is a release that is bad in one way, for the plan with two stages.
func worse(program Program, why string) WorseRelease {
	return WorseRelease{Program: program, Reason: why, Plan: short}
}

// faulty is a release whose sidecar has a fault, for the plan with two stages.
func faulty(fault, why string) WorseRelease {
	return worse(Program{Name: fault, Fault: fault}, why)
}

// A release that is the old one under another name passes its stages while a third of the servers is slow; releases that are worse in one
// way each are stopped in the first stage and rolled back. No request is affected by a change alone.
func TestReleases(t *testing.T) { simulate(t, testReleases) }

func testReleases(t *testing.T) {
	s := newLoadTest(t, 6, 240, "at 2s cell:1 slow x4 for 10s\n", nil)
	good := s.Renamed("another-name")
	if _, err := s.Begin(PlanText(s.Initial, good, short)); err != nil {
		t.Fatal(err)
	}
	c := s.AwaitEnd(2 * time.Minute)
	t.Logf("a good one: %v, %d events", c.State.Phase, c.EventCount)
	if c.State.Phase != rollout.Done || CountRunning(c, good) != 6 {
		t.Fatalf("%v: %s", c.State.Phase, c.State.Reason)
	}
	fiftieth := faulty(FaultRejectsFiftieth, "of class")
	fiftieth.Plan = strings.Replace(short, "0.15", "0.02", 1)
	kinds := []WorseRelease{faulty(FaultOneClass, "failed of class void"), faulty(FaultSlow, "slow of class"), worse(Program{Name: "never ready", NeverServes: true}, "not ready in"),
		faulty(FaultNoConnections, "of class"), faulty(FaultInZone+"a", "zone"), fiftieth}
	s.CheckWorseReleases(good, kinds)
	s.Check()
}

// A release uses up capacity of the servers that the old sidecars need: those do worse than before, and the change pauses. An invalid
// plan is refused before anything changes.
func TestAReleaseThatHarmsOthers(t *testing.T) { simulate(t, testAReleaseThatHarmsOthers) }

func testAReleaseThatHarmsOthers(t *testing.T) {
	s := newLoadTest(t, 6, 240, "", nil)
	id := s.FaultyRelease(FaultGreedy)
	for text, want := range map[string]string{
		PlanText(s.Initial, "0123456789abcdef0123456789abcdef", short):                                                        "there is no such release here",
		PlanText(id, s.Initial, short):                                                                                        "n00 runs",
		PlanText(s.Initial, id, "stages: [{count: 7}]"):                                                                       "count: 7, and 6 are left",
		PlanText(s.Initial, s.AddProgram(Program{}, []byte(`{"x": 1}`)), short):                                               "have no fields in settings",
		PlanText(s.Initial, s.AddProgram(Program{}, s.ReplaceSetting(`"hard_limit_ms":1000`, `"hard_limit_ms":2000`)), short): "must not run side by side",
		PlanText(s.Initial, s.Add("/etc/hostname", s.Settings), short):                                                        "does not take its settings",
	} {
		if _, err := s.Begin(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	if _, err := s.Begin(PlanText(s.Initial, id, "baseline_period: 5s\n"+strings.Replace(short, "0.15", "0.1", 1))); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Begin(PlanText(s.Initial, id, short)); err == nil || !strings.Contains(err.Error(), "is running") {
		t.Errorf("two changes at once: %v", err)
	}
	c := s.AwaitChange(90*time.Second, "it does not go on", func(c *rollout.Change) bool { return c.State.Phase != rollout.Running })
	t.Logf("%v: %s", c.State.Phase, c.State.Reason)
	if c.State.Stage != 1 || c.State.Phase != rollout.Paused || !strings.Contains(c.State.Reason, "old sidecars do worse") {
		t.Errorf("%v in stage %d: %s", c.State.Phase, c.State.Stage, c.State.Reason)
	}
	s.SendEvent(rollout.Event{Abort: "seen"})
	if c := s.AwaitEnd(time.Minute); CountRunning(c, s.Initial) != 6 {
		t.Errorf("%d are back", CountRunning(c, s.Initial))
	}
}

// Releases whose processes end by themselves. The requests that they had accepted end with them.
func TestReleasesThatEnd(t *testing.T) { simulate(t, testReleasesThatEnd) }

func testReleasesThatEnd(t *testing.T) {
	s := newLoadTest(t, 6, 120, "", nil)
	s.CheckWorseReleases(s.Initial, []WorseRelease{worse(Program{Name: "dies at start", ExitsAtStart: true}, "ended before it was ready"), worse(Program{Name: "dies in its trial", KilledAfter: 500 * time.Millisecond}, "ended in its trial"),
		worse(Program{Name: "dies later", KilledAfter: 4 * time.Second}, "it ended")})
}

// A release that is bad under load alone is not stopped while there is little load; it is stopped in its first stage once the load rises.
func TestAReleaseThatIsBadUnderLoad(t *testing.T) { simulate(t, testAReleaseThatIsBadUnderLoad) }

func testAReleaseThatIsBadUnderLoad(t *testing.T) {
	began := time.Now()
	const rises = 18 * time.Second // after the load began
	s := newLoadTest(t, 6, 240, "arrive step 1/s..600/s at=18s poisson\n", nil)
	if _, err := s.Begin(PlanText(s.Initial, s.FaultyRelease(FaultUnderLoad), strings.Replace(short, "control: 2", "control: 2, min_bake_time: 60s", 1))); err != nil {
		t.Fatal(err)
	}
	s.AwaitChange(time.Minute, "it is stopped", func(c *rollout.Change) bool { return c.State.Phase > rollout.Paused })
	stopped := time.Since(began)
	c := s.AwaitEnd(time.Minute)
	t.Logf("stopped after %v, the load rose after %v: %s", stopped.Round(time.Second), rises, c.State.Reason)
	if stopped < rises || c.State.Stage != 1 || CountRunning(c, s.Initial) != 6 || !strings.Contains(c.State.Reason, "worse") {
		t.Errorf("%v in stage %d: %s", c.State.Phase, c.State.Stage, c.State.Reason)
	}
	s.Check()
}

// A good release is not stopped for the faults of others: while it is rolled out, servers are deployed, discovery is down, and load doubles.
func TestAGoodReleaseInBadTimes(t *testing.T) { simulate(t, testAGoodReleaseInBadTimes) }

func testAGoodReleaseInBadTimes(t *testing.T) {
	s := newLoadTest(t, 6, 240, "rules cold-from=50% cold-time=2s\nat 3s all roll batch=2 every=3s drain=500ms down=500ms cold=50% warm=2s\nat 5s discovery down for 6s\narrive step 1/s..240/s at=8s poisson\n", nil)
	good := s.Renamed("another-name")
	if _, err := s.Begin(PlanText(s.Initial, good, short)); err != nil {
		t.Fatal(err)
	}
	c := s.AwaitEnd(90 * time.Second)
	t.Logf("%v, %d events", c.State.Phase, c.EventCount)
	if c.State.Phase != rollout.Done || CountRunning(c, good) != 6 {
		t.Errorf("%v: %s", c.State.Phase, c.State.Reason)
	}
	s.Check()
}
