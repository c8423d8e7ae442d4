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

// The committed page must have exactly the tables that the committed files yield.
func TestCapacityPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile(capacityPage)
	if err != nil {
		t.Fatal(err)
	}
	copyPath := writeFile(t, "page.md", string(page))
	if code, _, stderr := call(t.Context(), "capacity", "--assume", assumedFile, "--measured", measuredFile,
		"--write", copyPath); code != 0 {
		t.Fatal(stderr)
	}
	updated, err := os.ReadFile(copyPath)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(updated, page) {
		t.Error("docs/CAPACITY-sidecars.md is out of date; run petrelhookctl capacity --write docs/CAPACITY-sidecars.md")
	}
	r, _, err := capacityReport(assumedFile, measuredFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, table := range r.Tables() { // the page must leave none out
		if !regexp.MustCompile(`(?m)^<!-- tables: begin.* ` + table.Name + `\b.* -->$`).Match(page) {
			t.Errorf("the page has no table %s", table.Name)
		}
	}
}

var (
	tablesPattern = regexp.MustCompile(`(?s)<!-- tables: begin.*?<!-- tables: end -->`)
	codePattern   = regexp.MustCompile(`(?m)^    .*$`)
	// estimatesPattern matches the section that may have figures of its own, each with its source.
	estimatesPattern = regexp.MustCompile(`(?s)\n## What follows, on paper\n.*?\n## `)
	figurePattern    = regexp.MustCompile(`[0-9][0-9,.]*`)
)

// The prose of the page may mention only figures that its tables have.
func TestCapacityProseHasNoFiguresOfItsOwn(t *testing.T) {
	page, err := os.ReadFile(capacityPage)
	if err != nil {
		t.Fatal(err)
	}
	known := figurePattern.FindAllString(strings.Join(tablesPattern.FindAllString(string(page), -1), "\n"), -1)
	prose := estimatesPattern.ReplaceAllString(codePattern.ReplaceAllString(tablesPattern.ReplaceAllString(string(page), ""), ""), "\n")
	for _, figure := range figurePattern.FindAllString(prose, -1) {
		if !slices.Contains(known, strings.Trim(figure, ".,")) {
			t.Errorf("the prose has %s, which is in no table", figure)
		}
	}
}

func TestCapacity(t *testing.T) {
	missingFile := filepath.Join(t.TempDir(), "none.json")
	points, err := json.Marshal(capacity.Measured{FitUpTo: 10, Points: []capacity.Point{
		{Workload: "calls", Role: "sidecar", Metric: "look_added_p99_us_at_250_s", Size: 1, Run: 1, Value: 400}}})
	if err != nil {
		t.Fatal(err)
	}
	onePoint := writeFile(t, "points.json", string(points))
	for _, c := range []struct {
		name, measured, output string
		want                   []string
	}{
		{"nothing measured", missingFile, "text", []string{"latency added to a call, p99, at the mean rate", "not measured",
			"Not measured: there is no file of points."}},
		{"a point", onePoint, "text", []string{"400 us", "fits by 1.25 times",
			"point calls/sidecar/look_added_p99_us_at_250_s at 1"}},
		{"markdown", onePoint, "markdown", []string{"### What does not fit\n\n| situation | role |", "| fits by 1.25 times |"}},
		{"json", onePoint, "json", []string{`"verdict": "fits by 1.25 times"`, `"ranking": [`}},
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
	bad := writeFile(t, "bad.yaml", strings.Replace(string(text), "servers: 12000", "servers: few", 1))
	incomplete := writeFile(t, "odd.json", `{"points": [{}]}`)
	noMarkers := writeFile(t, "empty.md", "prose\n")
	for _, c := range []struct {
		args, want string
		code       int
	}{
		{"--assume " + bad, bad + `:4:12: target.servers: "few"; write a number`, 1},
		{"--assume " + missingFile, "none.json: no such file", 1},
		{"--assume " + assumedFile + " --measured " + incomplete, incomplete + ": points[0]: workload, role or metric is missing", 1},
		{"--assume " + assumedFile + " --measured " + missingFile + " --write " + noMarkers, noMarkers + ": no markers; write a line",
			1},
		{"--assume " + assumedFile + " --measured " + missingFile + " --write " + missingFile, "none.json: no such file", 1},
		{"--output xml", `--output: "xml": write text, json or markdown`, 2},
		{"more", "unknown command", 2},
	} {
		code, stdout, stderr := call(t.Context(), append([]string{"capacity"}, strings.Fields(c.args)...)...)
		if code != c.code || stdout != "" || !strings.Contains(stderr, c.want) || strings.Count(stderr, "\n") != 1 {
			t.Errorf("%s: %d %q %q", c.args, code, stdout, stderr)
		}
	}
}
