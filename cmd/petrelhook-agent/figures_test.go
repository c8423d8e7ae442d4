package main

import (
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/deployment"
)

// The harm that a bad release does within some time: judged in stages, in stages by the clock, and all at once; 12 sidecars, the same load.
func TestFiguresOfHarm(t *testing.T) {
	peertest.SkipUnlessMeasuring(t)
	const horizon = 40 * time.Second
	s := startProcesses(t, 12, 360, nil)
	bad := s.FaultyRelease(deployment.FaultOneClass)
	zero := time.Now()
	var froms []time.Duration
	names := []string{"judged", "by the clock", "at once"}
	for i, p := range []string{
		"max_concurrent: 2\nstages:\n  - {count: 1, control: 1, min_bake_time: 10s}\n  - {share: 0.25, control: 2, min_bake_time: 10s}\n  - {share: 1}\n",
		"max_concurrent: 2\njudge: none\nstages:\n  - {count: 1, min_bake_time: 10s}\n  - {share: 0.25, min_bake_time: 10s}\n  - {share: 1}\n",
		"max_concurrent: 12\njudge: none\nstages:\n  - {share: 1}\n",
	} {
		from := time.Since(zero)
		froms = append(froms, from)
		if _, err := s.Begin(deployment.PlanText(s.Initial, bad, p)); err != nil {
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
	began := time.Since(zero)
	out := s.Check()
	offset := out.Records.Calls[len(out.Records.Calls)-1].ScheduledAt - began // of the records' clock from this one, about
	for i, from := range froms {
		all, hurt := 0, 0
		for _, c := range out.Records.Calls {
			if c.ScheduledAt < from+offset || c.ScheduledAt > from+offset+horizon {
				continue
			}
			if all++; c.Result != audit.Served {
				hurt++
			}
		}
		t.Logf("%s: %d of %d requests hurt within %v: %.4f", names[i], hurt, all, horizon, float64(hurt)/float64(all))
	}
}

// Good changes of 12 sidecars in three stages, one after the other, forth and back: none is stopped, and no request is affected.
func TestFiguresOfGoodChanges(t *testing.T) {
	peertest.SkipUnlessMeasuring(t)
	s := startProcesses(t, 12, 1500, nil)
	now, next := s.Initial, s.Renamed("another-name")
	for i := range 20 {
		began := time.Now()
		if _, err := s.Begin(deployment.PlanText(now, next, "max_concurrent: 4\nmax_unavailable: 4\nprogress_timeout: 3m\njudge: {min_effect: 0.2}\nstages:\n  - {count: 2, control: 2}\n  - {count: 4, control: 2}\n  - {share: 1}\n")); err != nil {
			t.Fatal(err)
		}
		c := s.AwaitEnd(3 * time.Minute)
		t.Logf("change %d: %v after %v", i+1, c.State.Phase, time.Since(began).Round(100*time.Millisecond))
		if c.State.Phase != rollout.Done {
			t.Fatal(c.State.Reason)
		}
		now, next = next, now
	}
	s.Check()
}

// A release that leaks memory is stopped in its first stage.
func TestFiguresOfALeak(t *testing.T) {
	peertest.SkipUnlessMeasuring(t)
	s := startProcesses(t, 6, 240, nil)
	s.CheckWorseReleases(s.Initial, []deployment.WorseRelease{{Program: deployment.Program{Name: deployment.FaultLeaks, Fault: deployment.FaultLeaks}, Reason: "of class * in zone *",
		Plan: "max_concurrent: 2\nprogress_timeout: 1m\njudge: {min_effect: 0.15}\nstages:\n  - {count: 2, control: 2, min_bake_time: 50s}\n  - {share: 1}\n"}})
}
