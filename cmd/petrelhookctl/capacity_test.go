package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"petrelhook/internal/coordination/capacity"
)

const (
	assumedFile  = "../../deploy/capacity.yaml"
	measuredFile = "../../deploy/capacity-measured.json"
	capacityPage = "../../docs/CAPACITY-sidecars.md"
)

// The page has the tables that the committed files give.
func TestCapacityPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile(capacityPage)
	if err != nil {
		t.Fatal(err)
	}
	copied := write(t, "page.md", string(page))
	if code, _, stderr := call(t.Context(), "capacity", "--assume", assumedFile, "--measured", measuredFile,
		"--write", copied); code != 0 {
		t.Fatal(stderr)
	}
	now, err := os.ReadFile(copied)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(now, page) {
		t.Error("docs/CAPACITY-sidecars.md is not what the figures say: petrelhookctl capacity --write docs/CAPACITY-sidecars.md")
	}
	r, _, err := capacityReport(assumedFile, measuredFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, table := range r.Tables() { // none is left out
		if !regexp.MustCompile(`(?m)^<!-- tables: begin.* ` + table.Name + `\b.* -->$`).Match(page) {
			t.Errorf("the page has no table %s", table.Name)
		}
	}
}

var (
	tablesOf = regexp.MustCompile(`(?s)<!-- tables: begin.*?<!-- tables: end -->`)
	codeOf   = regexp.MustCompile(`(?m)^    .*$`)
	// has figures of its own, each with where it is from
	paperOf  = regexp.MustCompile(`(?s)\n## What follows, on paper\n.*?\n## `)
	figureOf = regexp.MustCompile(`[0-9][0-9,.]*`)
)

// The prose of the page has no figure that its tables have not.
func TestCapacityProseHasNoFiguresOfItsOwn(t *testing.T) {
	page, err := os.ReadFile(capacityPage)
	if err != nil {
		t.Fatal(err)
	}
	known := figureOf.FindAllString(strings.Join(tablesOf.FindAllString(string(page), -1), "\n"), -1)
	prose := paperOf.ReplaceAllString(codeOf.ReplaceAllString(tablesOf.ReplaceAllString(string(page), ""), ""), "\n")
	for _, figure := range figureOf.FindAllString(prose, -1) {
		if !slices.Contains(known, strings.Trim(figure, ".,")) {
			t.Errorf("%s is in no table", figure)
		}
	}
}

func TestCapacity(t *testing.T) {
	none := filepath.Join(t.TempDir(), "none.json")
	points, err := json.Marshal(capacity.Measured{FitUpTo: 10, Points: []capacity.Point{
		{Workload: "calls", Role: "sidecar", Metric: "look_added_p99_us_at_250_s", Size: 1, Run: 1, Value: 400}}})
	if err != nil {
		t.Fatal(err)
	}
	some := write(t, "points.json", string(points))
	for _, c := range []struct {
		name, measured, output string
		want                   []string
	}{
		{"nothing measured", none, "text", []string{"latency added to a call, p99, at the mean rate", "not measured",
			"Not measured: there is no file of points."}},
		{"a point", some, "text", []string{"400 us", "fits by 1.25 times",
			"point calls/sidecar/look_added_p99_us_at_250_s at 1"}},
		{"markdown", some, "markdown", []string{"### What does not fit\n\n| situation | role |", "| fits by 1.25 times |"}},
		{"json", some, "json", []string{`"verdict": "fits by 1.25 times"`, `"ranking": [`}},
	} {
		code, stdout, stderr := call(t.Context(), "capacity", "--assume", assumedFile, "--measured", c.measured,
			"--output", c.output)
		if code != 0 || stderr != "" {
			t.Errorf("%s: %d %s", c.name, code, stderr)
		}
		for _, want := range c.want {
			if !strings.Contains(stdout, want) {
				t.Errorf("%s: no %q", c.name, want)
			}
		}
	}
	text, err := os.ReadFile(assumedFile)
	if err != nil {
		t.Fatal(err)
	}
	bad := write(t, "bad.yaml", strings.Replace(string(text), "servers: 12000", "servers: few", 1))
	odd := write(t, "odd.json", `{"points": [{}]}`)
	empty := write(t, "empty.md", "prose\n")
	for _, c := range []struct {
		args, want string
		code       int
	}{
		{"--assume " + bad, bad + `:4:12: target.servers: "few"; write a number`, 1},
		{"--assume " + none, "none.json: no such file", 1},
		{"--assume " + assumedFile + " --measured " + odd, odd + ": points[0]: workload, role or metric is missing", 1},
		{"--assume " + assumedFile + " --measured " + none + " --write " + empty, empty + ": no markers; write a line",
			1},
		{"--assume " + assumedFile + " --measured " + none + " --write " + none, "none.json: no such file", 1},
		{"--output xml", `--output: "xml": write text, json or markdown`, 2},
		{"more", "unknown command", 2},
	} {
		code, stdout, stderr := call(t.Context(), append([]string{"capacity"}, strings.Fields(c.args)...)...)
		if code != c.code || stdout != "" || !strings.Contains(stderr, c.want) || strings.Count(stderr, "\n") != 1 {
			t.Errorf("%s: %d %q %q", c.args, code, stdout, stderr)
		}
	}
}
