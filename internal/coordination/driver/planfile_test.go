package driver

import (
	"strings"
	"testing"
)

// Slips in a plan's file are errors with their place.
func TestBadPlanFiles(t *testing.T) {
	good := "application: a\nfrom: x\nto: y\nagents: [\"127.0.0.1:1\"]\nstages:\n  - {count: 1}\n"
	if f, err := ParsePlan("p", []byte(good)); err != nil || f.Plan.MaxUnavailable != 1 || f.Plan.EvidenceTimeout != defaultEvidenceTimeout {
		t.Fatal(f, err)
	}
	for text, want := range map[string]string{
		"":                                 "p:1:1: write fields",
		good + "x: 1\n":                    "p:7:1: x: unknown field",
		good + "at_once: many\n":           `p:7:10: at_once: "many"`,
		good + "patience: 1ms\n":           "p:7:11: patience: ",
		good + "judge: {effect: 2}\n":      "p:7:8: judge: effect: 2",
		good + "judge: 1\n":                "p:7:8: judge: write none, or fields",
		good + "to: z\n":                   "p:7:1: to: comes twice",
		good + "  - {cuont: 1}\n":          "p:7:6: stages[1].cuont: unknown field",
		good + "  - {least: long}\n":       "p:7:13: stages[1].least: ",
		"application: a\n":                 "p:1:1: application, from, to",
		"application: a\nfrom: x\nto: y\n": "p:1:1: agents: missing",
		strings.Replace(good, `["127.0.0.1:1"]`, "[here]", 1): `p:4:10: agents: "here" is no address`,
		strings.Replace(good, "\n  - {count: 1}", " all", 1):  "p:5:9: stages: write a list",
	} {
		if _, err := ParsePlan("p", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}
