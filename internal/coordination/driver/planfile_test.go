package driver

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// Mistakes in a plan file are errors that name their position.
func TestBadPlanFiles(t *testing.T) {
	good := "application: a\nfrom: x\nto: y\nagents: [\"127.0.0.1:1\"]\nstages:\n  - {count: 1}\n"
	if f, err := ParsePlan("p", []byte(good)); err != nil || f.Plan.MaxUnavailable != 1 || f.Plan.ProgressTimeout != defaultProgressTimeout {
		t.Fatal(f, err)
	}
	for text, want := range map[string]string{
		"":                                   "p:1:1: write fields",
		good + "x: 1\n":                      "p:7:1: x: unknown field",
		good + "max_concurrent: many\n":      `p:7:17: max_concurrent: "many"`,
		good + "progress_timeout: 1ms\n":     "p:7:19: progress_timeout: ",
		good + "judge: {min_effect: 2}\n":    "p:7:8: judge: min_effect: 2",
		good + "judge: 1\n":                  "p:7:8: judge: write none, or fields",
		good + "to: z\n":                     "p:7:1: to: comes twice",
		good + "  - {cuont: 1}\n":            "p:7:6: stages[1].cuont: unknown field",
		good + "  - {min_bake_time: long}\n": "p:7:21: stages[1].min_bake_time: ",
		"application: a\n":                   "p:1:1: application, from, to",
		"application: a\nfrom: x\nto: y\n":   "p:1:1: agents: missing",
		strings.Replace(good, `["127.0.0.1:1"]`, "[here]", 1): `p:4:10: agents: "here" is no address`,
		strings.Replace(good, "\n  - {count: 1}", " all", 1):  "p:5:9: stages: write a list",
	} {
		if _, err := ParsePlan("p", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// planFile is a plan file with all fields that have a deprecated name.
const planFile = `application: a
from: x
to: y
agents: ["127.0.0.1:1"]
max_concurrent: 2
max_unavailable: 3
baseline_period: 4s
progress_timeout: 5m
disable_rollback: true
judge:
  false_stop_rate: 0.06
  missed_stop_rate: 0.07
  min_effect: 0.08
stages:
  - {count: 1, min_bake_time: 9s}
  - {share: 1, min_bake_time: 10s}
`

// A field under its deprecated name is read like one under its current name, with one warning that states the current name. A file with
// both names is an error.
func TestDeprecatedPlanSettings(t *testing.T) {
	want, err := ParsePlan("p", []byte(planFile))
	if err != nil || len(want.Warnings) != 0 {
		t.Fatal(err, want)
	}
	for _, c := range []struct{ current, deprecated, warning string }{
		{"max_concurrent:", "at_once:", "p:5:10: at_once: this is called max_concurrent now; write that"},
		{"max_unavailable:", "unavailable:", "p:6:14: unavailable: this is called max_unavailable now; write that"},
		{"baseline_period:", "before:", "p:7:9: before: this is called baseline_period now; write that"},
		{"progress_timeout:", "patience:", "p:8:11: patience: this is called progress_timeout now; write that"},
		{"disable_rollback:", "hold:", "p:9:7: hold: this is called disable_rollback now; write that"},
		{"false_stop_rate:", "false_stops:", "p:11:16: judge.false_stops: this is called false_stop_rate now; write that"},
		{"missed_stop_rate:", "missed_stops:", "p:12:17: judge.missed_stops: this is called missed_stop_rate now; write that"},
		{"min_effect:", "effect:", "p:13:11: judge.effect: this is called min_effect now; write that"},
		{"min_bake_time:", "least:", "p:15:23: stages[0].least: this is called min_bake_time now; write that"},
	} {
		got, err := ParsePlan("p", []byte(strings.ReplaceAll(planFile, c.current, c.deprecated)))
		if err != nil {
			t.Errorf("%s %v", c.deprecated, err)
			continue
		}
		if !slices.Equal(got.Warnings, []string{c.warning}) {
			t.Errorf("%s warnings %q, want %q", c.deprecated, got.Warnings, c.warning)
		}
		if got.Warnings = nil; !reflect.DeepEqual(got, want) {
			t.Errorf("%s %+v, want %+v", c.deprecated, got, want)
		}
	}
	for _, c := range []struct{ current, both, problem string }{
		{"to: y\n", "to: y\nat_once: 2\n", "p:4:10: at_once: the file has max_concurrent as well; write max_concurrent alone"},
		{"share: 1, min_bake_time", "share: 1, least", "p:16:23: stages[1].least: the file has min_bake_time as well; write min_bake_time alone"},
		{"judge:\n", "judge:\n  effect: 0.08\n", "p:11:11: judge.effect: the file has min_effect as well; write min_effect alone"},
	} {
		if _, err := ParsePlan("p", []byte(strings.Replace(planFile, c.current, c.both, 1))); err == nil || err.Error() != c.problem {
			t.Errorf("%q: %v, want %q", c.both, err, c.problem)
		}
	}
}

// The example plan file in the deploy folder is valid and has no deprecated names.
func TestExamplePlan(t *testing.T) {
	if f, err := ReadPlan("../../../deploy/rollout.yaml"); err != nil || len(f.Warnings) != 0 {
		t.Error(err, f)
	}
}

// The JSON form of a plan, which is sent and stored, keeps the keys of the first versions, independent of the names in plan files.
func TestPlanOnTheWire(t *testing.T) {
	f, err := ParsePlan("p", []byte(planFile))
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(f.Plan)
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"Application":"a","From":"x","To":"y",` +
		`"Stages":[{"Select":{"Names":null,"Zone":"","Count":1,"Share":0},"Control":0,"Least":9000000000},` +
		`{"Select":{"Names":null,"Zone":"","Count":0,"Share":1},"Control":0,"Least":10000000000}],` +
		`"Before":4000000000,"AtOnce":2,"Unavailable":3,"Patience":300000000000,"Hold":true,` +
		`"Judge":{"None":false,"FalseStops":0.06,"MissedStops":0.07,"Effect":0.08}}`
	if string(text) != want {
		t.Errorf("%s\nwant\n%s", text, want)
	}
}
