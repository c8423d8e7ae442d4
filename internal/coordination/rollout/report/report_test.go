package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"

	"petrelhook/internal/coordination/rollout"
)

// newChange returns a change of four sidecars in two stages after the given events, as read from a restored register.
func newChange(t *testing.T, events ...rollout.Event) *rollout.Change {
	t.Helper()
	r := rollout.NewRegister()
	start := &rollout.Start{Plan: rollout.Plan{Application: "a<b>", From: "old", To: "new", MaxConcurrent: 1, MaxUnavailable: 1, ProgressTimeout: time.Hour, Judge: rollout.JudgeConfig{FalseStopRate: 0.01, MissedStopRate: 0.05, MinEffect: 0.02},
		Stages: []rollout.Stage{{Selector: rollout.Selector{Count: 2}, ControlCount: 1, MinBakeTime: time.Minute}, {Selector: rollout.Selector{Share: 1}}}}}
	for i := range 4 {
		start.Members = append(start.Members, rollout.Member{Name: fmt.Sprint("n", i)})
		start.Reports = append(start.Reports, rollout.Report{Sidecar: fmt.Sprint("n", i), Release: "old", Ready: true})
	}
	command := rollout.Command{Application: "a<b>", Change: "c", Start: start}
	for i := range len(events) + 1 {
		if err := command.Check(); err != nil {
			t.Fatal(err)
		}
		if response := r.Apply(command); response.Error != "" {
			t.Fatal(i, response.Error)
		}
		if i < len(events) {
			command = rollout.Command{Application: "a<b>", Change: "c", KnownEvents: uint64(i), AtMillis: int64(1e12 + 1000*i), Events: events[i : i+1]}
			if e := events[i]; e.Abort == "" && e.Pause == "" && !e.Resume {
				command.Token = 1
			}
		}
	}
	kept, err := rollout.RestoreRegister(r.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var app rollout.Application
	if err := json.Unmarshal(kept.Application("a<b>", true), &app); err != nil {
		t.Fatal(err)
	}
	return app.Current
}

func done(name, release string, order uint64) rollout.Event {
	return rollout.Event{Report: &rollout.Report{Sidecar: name, Release: release, Ready: true, CompletedOrder: order}}
}

// verdict returns a verdict on the first stage whose cells have 100*n requests of each group, with new*n and control*n hits.
func verdict(kind string, n, new, control float64) rollout.Event {
	return rollout.Event{Verdict: &rollout.Verdict{Stage: 1, Worse: kind == "worse", NoWorse: kind == "no worse", Reason: kind, Cells: []rollout.CellResult{
		{Class: "look", Zone: "*", Metric: "failed", Verdict: kind, NewHits: new * n, NewTotal: 100 * n, ControlHits: control * n, ControlTotal: 100 * n, Odds: 2, MaxDifference: 0.3},
		{Class: "look", Zone: "z", Metric: "slow", Advisory: true, Verdict: "no worse", NewTotal: 5, ControlTotal: 5}}}}
}

var firstStageChanged = []rollout.Event{done("n0", "new", 1), done("n1", "new", 2), done("n3", "old", 3)}

func afterFirstStage(more ...rollout.Event) []rollout.Event {
	return append(slices.Clone(firstStageChanged), more...)
}

// Explain returns each reason why a change may wait, with its rule and its details.
func TestExplain(t *testing.T) {
	down := rollout.Event{Report: &rollout.Report{Sidecar: "n2", Release: "old"}}
	for name, c := range map[string]struct {
		events []rollout.Event
		want   []string
	}{
		"begun":          {nil, []string{"ordered n0 carries out order 1, to new", "limit-at-once 1 more sidecars wait: max_concurrent is 1, and these are changing: n0", "evidence-none stage 1: nothing was counted yet"}},
		"one is down":    {[]rollout.Event{down, done("n0", "new", 1)}, []string{"not-ready n2 runs old", "limit-unavailable 1 more sidecars wait: max_unavailable is 1, and these are out of service: n2"}},
		"evidence":       {afterFirstStage(verdict("not enough evidence", 1, 1, 1)), []string{"evidence-missing failed of class look in zone *: new 1 of 100", "more requests to the new release are needed at these rates"}},
		"never":          {afterFirstStage(verdict("not enough evidence", 1, 9, 1)), []string{"evidence-never failed of class look"}},
		"time":           {afterFirstStage(verdict("no worse", 9, 0, 0)), []string{"time-least stage 1 is no worse; it is observed for at least 1m0s"}},
		"worse":          {afterFirstStage(verdict("worse", 1, 50, 0)), []string{"taking-back rolling back from stage 1: worse", "worse failed of class look in zone *: new 50 of 100, control 0 of 100: worse, odds 2"}},
		"paused":         {afterFirstStage(rollout.Event{Pause: "lunch"}), []string{"paused paused in stage 1: lunch", "resume rollout resume a<b>"}},
		"left alone":     {[]rollout.Event{done("n0", "new", 1), {Abort: "x"}, {Report: &rollout.Report{Sidecar: "n1", Release: "old", Ready: true, CompletedOrder: 2}}, {Report: &rollout.Report{Sidecar: "n0", Release: "new", CompletedOrder: 3, FailureReason: "no disk"}}}, []string{"stopped stopped in stage 1: x", "left-alone n0 was abandoned at new: order 3: no disk"}},
		"the last stage": {afterFirstStage(verdict("no worse", 9, 0, 0), rollout.Event{Elapsed: time.Minute}), []string{"ordered n2 carries out order 4", "no-control the last stage has no control group"}},
	} {
		var text strings.Builder
		for _, l := range Explain(newChange(t, c.events...)) {
			fmt.Fprintln(&text, l.Rule, l.Text)
		}
		for _, want := range c.want {
			if !strings.Contains(text.String(), want) {
				t.Errorf("%s: no %q in\n%s", name, want, text.String())
			}
		}
	}
}

// The page shows when and why a change was stopped, refers to no other files, and escapes names. The Parquet file contains the rows of the
// change. The number of samples of a long stage is bounded.
func TestReport(t *testing.T) {
	events := afterFirstStage()
	for i := range 3000 {
		events = append(events, verdict("not enough evidence", float64(1+i%2000), 2, 1), rollout.Event{Elapsed: time.Second / 4})
	}
	c := newChange(t, append(events, verdict("worse", 2001, 2, 1))...)
	if n := len(c.Results[0].Course); n < 1000 || n > 2000 {
		t.Errorf("%d samples", n)
	}
	passed := newChange(t, afterFirstStage(verdict("not enough evidence", 1, 0, 0), rollout.Event{Elapsed: 2 * time.Minute}, verdict("no worse", 9, 0, 0))...)
	if course := passed.Results[0].Course; passed.State.Stage != 2 || course[len(course)-1].StageElapsed != 2*time.Minute {
		t.Errorf("stage %d: %+v", passed.State.Stage, course)
	}
	var text bytes.Buffer
	if err := WritePage(&text, c); err != nil {
		t.Fatal(err)
	}
	page := text.String()
	for _, want := range []string{"taking back in stage 1 of 2: worse", "2001-09-09 03:26:", "a&lt;b&gt;", "0.0200 of 200100", "Restarted with the old release as the control group: n3", "<svg"} {
		if !strings.Contains(page, want) {
			t.Errorf("no %q", want)
		}
	}
	for _, forbidden := range []string{"<b>", "src=", "href=", "NaN"} {
		if strings.Contains(page, forbidden) {
			t.Errorf("the page contains %q", forbidden)
		}
	}
	text.Reset()
	if err := WriteParquet(&text, c); err != nil {
		t.Fatal(err)
	}
	rows, err := parquet.Read[Row](bytes.NewReader(text.Bytes()), int64(text.Len()))
	if want := Rows(c); err != nil || len(rows) != len(want) || !slices.Equal(rows, want) {
		t.Errorf("%v, %d rows of %d: %+v, %+v", err, len(rows), len(want), rows[0], want[0])
	}
}
