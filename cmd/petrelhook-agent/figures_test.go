package main

import (
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/deployment"
)

// Measures the fraction of requests that a faulty release harms within a fixed time under the same load on 12 sidecars, if it is rolled out
// in stages with a judge, in stages of a fixed duration, and on all sidecars at once.
func TestFiguresOfHarm(t *testing.T) {
	peertest.SkipUnlessMeasuring(t)
	const horizon = 40 * time.Second
	s := startProcesses(t, 12, 360, nil)
	bad := s.FaultyRelease(deployment.FaultOneClass)
	start := time.Now()
	var startOffsets []time.Duration
	names := []string{"judged stages", "timed stages", "all at once"}
	for i, plan := range []string{
		"max_concurrent: 2\nstages:\n  - {count: 1, control: 1, min_bake_time: 10s}\n  - {share: 0.25, control: 2, min_bake_time: 10s}\n  - {share: 1}\n",
		"max_concurrent: 2\njudge: none\nstages:\n  - {count: 1, min_bake_time: 10s}\n  - {share: 0.25, min_bake_time: 10s}\n  - {share: 1}\n",
		"max_concurrent: 12\njudge: none\nstages:\n  - {share: 1}\n",
	} {
		startOffset := time.Since(start)
		startOffsets = append(startOffsets, startOffset)
		if _, err := s.Begin(deployment.PlanText(s.Initial, bad, plan)); err != nil {
			t.Fatal(err)
		}
		<-time.After(horizon)
		c := s.Application().Current
		t.Logf("%s: %v in stage %d after %v: %s", names[i], c.State.Phase, c.State.Stage, horizon, c.State.Reason)
		if !c.State.Phase.Over() {
			s.SendEvent(rollout.Event{Abort: "measured"})
		}
		if c := s.AwaitEnd(time.Minute); c.State.Phase == rollout.Done {
			if _, err := s.Begin(deployment.PlanText(bad, s.Initial, "max_concurrent: 12\njudge: none\nstages:\n  - {share: 1}\n")); err != nil {
				t.Fatal(err)
			}
			s.AwaitEnd(time.Minute)
		}
	}
	began := time.Since(start)
	outcome := s.Check()
	clockOffset := outcome.Records.Calls[len(outcome.Records.Calls)-1].ScheduledAt - began // approximate offset of the records' clock from this one
	for i, startOffset := range startOffsets {
		total, affected := 0, 0
		for _, c := range outcome.Records.Calls {
			if c.ScheduledAt < startOffset+clockOffset || c.ScheduledAt > startOffset+clockOffset+horizon {
				continue
			}
			if total++; c.Result != audit.Served {
				affected++
			}
		}
		t.Logf("%s: %d of %d requests were harmed within %v: %.4f", names[i], affected, total, horizon, float64(affected)/float64(total))
	}
}

// Twenty changes of 12 sidecars in three stages alternate between two equivalent releases. None may be stopped, and no request may be
// affected.
func TestFiguresOfGoodChanges(t *testing.T) {
	peertest.SkipUnlessMeasuring(t)
	s := startProcesses(t, 12, 1500, nil)
	current, next := s.Initial, s.Renamed("another-name")
	for i := range 20 {
		began := time.Now()
		if _, err := s.Begin(deployment.PlanText(current, next, "max_concurrent: 4\nmax_unavailable: 4\nprogress_timeout: 3m\njudge: {min_effect: 0.2}\nstages:\n  - {count: 2, control: 2}\n  - {count: 4, control: 2}\n  - {share: 1}\n")); err != nil {
			t.Fatal(err)
		}
		c := s.AwaitEnd(3 * time.Minute)
		t.Logf("change %d: %v after %v", i+1, c.State.Phase, time.Since(began).Round(100*time.Millisecond))
		if c.State.Phase != rollout.Done {
			t.Fatal(c.State.Reason)
		}
		current, next = next, current
	}
	s.Check()
}

// A release that leaks memory must be stopped in its first stage.
func TestFiguresOfALeak(t *testing.T) {
	peertest.SkipUnlessMeasuring(t)
	s := startProcesses(t, 6, 240, nil)
	s.CheckWorseReleases(s.Initial, []deployment.WorseRelease{{Program: deployment.Program{Name: deployment.FaultLeaks, Fault: deployment.FaultLeaks}, Reason: "of class * in zone *",
		Plan: "max_concurrent: 2\nprogress_timeout: 1m\njudge: {min_effect: 0.15}\nstages:\n  - {count: 2, control: 2, min_bake_time: 50s}\n  - {share: 1}\n"}})
}
