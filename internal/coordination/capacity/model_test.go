package capacity

import (
	"bytes"
	"encoding/json"
	"math"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// committedWith returns the committed assumptions with other values of some fields, by full name.
func committedWith(t *testing.T, values map[string]string) *Assumptions {
	t.Helper()
	path, text := committedFile(t)
	for name, value := range values {
		section, field, _ := strings.Cut(name, ".")
		re := regexp.MustCompile(`(?ms)(^` + section + `:.*?^  ` + field + `: )\S+`)
		if !re.MatchString(text) {
			t.Fatal(name)
		}
		text = re.ReplaceAllString(text, "${1}"+value)
	}
	a, err := Parse(path, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// smallFleet returns the assumptions of a fleet whose figures can be computed by hand: 100 servers in 10 services of 10, each of
// which calls 2 services.
func smallFleet(t *testing.T) *Assumptions {
	return committedWith(t, map[string]string{"target.servers": "100", "target.services": "10", "target.calls": "5000",
		"target.changes_a_day": "86400",
		"shape.largest":        "10", "shape.fan_out": "2", "topology.rack": "6", "topology.zone_share": "0.1",
		"topology.region_share": "0.5",
		"lists.entry_bytes":     "100", "lists.line_bytes": "50", "lists.empty_line_every": "2s",
		"lists.changes_a_failure": "1",
		"lists.changes_a_restart": "2", "target.failed_a_day": "864", "target.restarted_a_day": "432",
		"changes.busiest_minute": "10", "changes.bytes": "1000", "changes.overhead_bytes": "200",
		"machines.cores": "10", "machines.used_share": "0.5", "machines.replicas": "3", "target.control_machines": "5",
		"periods.lease_ttl": "10s", "periods.renewals_a_ttl": "4", "periods.reconnect_window": "2s",
		"periods.list_update_deadline":    "6s",
		"earlier.renewals_a_second_12000": "100", "earlier.grants_a_second": "50",
		"earlier.start_bytes_12000": "1200000",
		"earlier.staged_20":         "8s", "earlier.staged_200": "6s", "earlier.staged_2000": "96s",
		"earlier.read":              "10ms",
		"earlier.poll_2000":         "2s",
		"periods.idle_poll_divisor": "3", "periods.poll_interval": "1s", "limits.max_request": "8000", "periods.retry_interval": "100ms"})
}

// findRow returns the row of a situation, role and quantity.
func findRow(t *testing.T, rows []Row, situation, role, quantity string) Row {
	t.Helper()
	i := slices.IndexFunc(rows, func(r Row) bool { return r.Situation == situation && r.Role == role && r.Quantity == quantity })
	if i < 0 {
		t.Fatalf("no row %s: %s: %s", situation, role, quantity)
	}
	return rows[i]
}

// smallFleetMeasurements returns points on straight lines, and single points of calls.
func smallFleetMeasurements() *Measured {
	m := &Measured{FitUpTo: 40}
	sizes := []int{10, 20, 30, 40, 100}
	line := func(workload, role string, intercept, slope float64) {
		m.Points = append(m.Points, pointsFrom(Key{workload, role, "cpu_us_s"}, sizes,
			func(n, _ int) float64 { return intercept + slope*float64(n) })...)
	}
	line("renewals", "leader", 1000, 20000)
	line("watches", "leader", 0, 30000)
	line("renewals", "member", 100, 0)
	line("watches", "agent", 150, 0.5)
	line("watches", "sidecar", 0, 0)
	line("looks", "agent", 300, 0)
	m.Points = append(m.Points, pointsFrom(Key{"publish", "member", "in_force_max_s"}, []int{100},
		func(_, run int) float64 { return float64(run) })...)
	m.Points = append(m.Points, Point{"publish", "agent", "in_force_max_s", 100, 1, 0.5},
		Point{"publish", "agent", "hand_over_in_force_max_s", 100, 1, 2}, Point{"publish", "sidecar", "busy_memory_bytes", 100, 1, 100e6},
		Point{"publish", "agent", "busy_memory_bytes", 100, 1, 28e6})
	m.Points = append(m.Points, Point{"looks", "agent", "in_force_s", 20, 1, 4},
		Point{"looks", "agent", "in_force_p99_s", 20, 1, 3})
	for _, p := range []struct {
		role, metric string
		depth        int
		value        float64
	}{
		{"sidecar", "look_added_p99_us_at_50_s", 1, 150}, {"sidecar", "once_added_p99_us_at_50_s", 1, 200},
		{"sidecar", "look_added_p99_us_at_500_s", 1, 600}, {"sidecar", "look_added_p99_us_at_5000_s", 1, 9000},
		{"sidecar", "look_added_p99_us_at_60_s", 15, 2500}, {"sidecar", "look_added_p99_us_at_70_s", 15, 9000},
		{"sidecar", "look_added_p99_us_at_10_s", 1, 9000}, {"leaf", "look_added_p99_us_at_50_s", 1, 9000},
		{"sidecar", "look_p99_us_at_50_s", 1, 9000}, {"sidecar", "cpu_us_call_at_60_s", 1, 400},
	} {
		m.Points = append(m.Points, Point{"calls", p.role, p.metric, p.depth, 1, p.value})
	}
	m.Points = append(m.Points, Point{"chain", "leaf", "look_attempts_call_fail_50_pc", 15, 1, 1.6},
		Point{"chain", "leaf", "look_attempts_call_fail_100_pc", 20, 1, 3},
		Point{"chain", "leaf", "once_attempts_call_fail_100_pc", 15, 1, 1},
		Point{"chain", "leaf", "look_attempts_call_fail_100_pc", 8, 1, 9})
	return m
}

// The needs of a small fleet are those computed by hand.
func TestKnownResults(t *testing.T) {
	rows := Evaluate(smallFleet(t), smallFleetMeasurements())
	for _, c := range []struct {
		situation, role, quantity string
		need                      float64
		verdict                   string
	}{
		{Ordinary, SidecarCalls, "mean rate of calls", 50, "no budget is stated"},
		// at the next larger measured rate, 60; the worse class
		{Ordinary, SidecarCalls, "latency added to a call, p99, at the mean rate", 0.0002, "fits by 2.5 times"},
		// at the rate 500; the worse class
		{Busiest, SidecarCalls, "latency added to a call, p99, at the busiest sidecar", 0.0006, "does not: 1.2 times over"},
		// 55.6 calls/s; the next measured rate is 60, at depth 15
		{ZoneLost, SidecarCalls, "latency added to a call, p99, at the sidecars that are left", 0.0025, "does not: 5 times over"},
		{Ordinary, SidecarCalls, "latency added over the deepest chain, p99, at the mean rate", 0.0025, "fits by 3 times"},
		{Ordinary, SidecarCalls, "processor time for calls, at the mean rate", 50 * 400e-6, "no budget is stated"},
		{Busiest, SidecarCalls, "attempts at the leaf of the deepest chain per call, if some fail", 3,
			"does not: 1.5 times over"},
		{Busiest, SidecarCalls,
			"attempts at the leaf of the deepest chain per call, if all fail, as each sidecar's retry budget allows",
			math.Pow(1.2, 15), "does not: 7.8 times over"},
		// the lists change 1,728 times a day
		{Ordinary, SidecarControl, "bytes of lists alone", 2*25 + 0.02*0.2*150, "fits by 170 times"},
		// entries of 20 servers
		{Ordinary, SidecarControl, "lists in memory, as text", 2000, "fits by 120,000 times"},
		{Ordinary, Leader, "renewals, against a trial with as many sessions", 40, "fits by 2.5 times"},
		// of 5 cores, which are half of 10
		{Ordinary, Leader, "processor time of renewals and watches", 5.001, "does not: 1.01 times over"},
		{Ordinary, Leader, "snapshot: sessions, versions, changes of all", 100*56 + 10*1000 + 10000,
			"fits by 2,600 times"},
		{Ordinary, Driver, "a poll of all applications, each changed once", 0.1 + 100*0.001/3, "fits by 7.5 times"},
		// as at the smallest measured size, 20
		{ByRollout, Driver, "staged, by time alone, in a mean service", 8, "fits by 1.75 times"},
		// interpolated between 20 and 200
		{ByRollout, Driver, "staged, by time alone, of all sidecars, if it could begin", 8 - 2*80./180,
			"fits by 1.96 times"},
		{ByRollout, Leader, "message that begins a change of all", 10000, "does not: 1.25 times over"},
		// the slowest run
		{ByVersion, SidecarControl, "received everywhere", 3, "fits by 4.6 times"},
		{ByVersion, SidecarControl, "in force at the last real sidecar, by a reload", 0.5, "fits by 28 times"},
		{ByVersion, SidecarControl, "in force at the last real sidecar, by a hand-over", 2, "fits by 7 times"},
		{Ordinary, SidecarControl, "memory of a real agent and sidecar, as versions come into force", 128e6, "fits by 2 times"},
		{ByRollout, Driver, "all at once, without a judge, in the largest service", 4, "fits by 3.5 times"}, // as in the run of 20
		{Busiest, Leader, "changes of configuration", 10, "fits by 5 times"},
		{RackLost, SidecarControl, "bytes of list updates, of a minute's budget", 6 * 0.2 * 150, "fits by 3,000 times"},
		{RackLost, ListServer, "list updates sent by a machine", 6 * 20 / 6. / 2, "no budget is stated"},
		{RegionIsolated, Leader, "sessions opened as they return", 25, "fits by 2 times"},
		{CoordinatorsLost, Leader, "renewals, and watches that reconnect within their window", 40 + 50/3.,
			"fits by 1.76 times"},
		{CoordinatorsLost, Leader, "sessions opened again, one after the other", 2, "fits by 5 times"},
		{CoordinatorsLost, Follower, "requests of sessions without a leader, beside what three replicas answered",
			1000 / 3., "fits by 43 times"},
	} {
		r := findRow(t, rows, c.situation, c.role, c.quantity)
		if math.Abs(r.Need.Value-c.need) > 1e-9*math.Max(1, c.need) || r.Verdict != c.verdict ||
			len(r.Need.Missing) > 0 {
			t.Errorf("%s: %v, %s; missing %v; want %v, %s", r.Name(), r.Need.Value, r.Verdict, r.Need.Missing, c.need,
				c.verdict)
		}
	}
}

// A sum with a missing term has a verdict only if the known terms exceed the budget.
func TestMissingMeasurements(t *testing.T) {
	m := smallFleetMeasurements()
	r := findRow(t, Evaluate(smallFleet(t), m), Ordinary, SidecarControl, "processor time")
	if r.Class != NotMeasured || !almostEqual(r.Need.Value, 600e-6) ||
		!slices.Equal(r.Missing(), []string{"lists/sidecar/cpu_us_s"}) {
		t.Errorf("%+v", r)
	}
	for i := range m.Points {
		if m.Points[i].Workload == "watches" && m.Points[i].Role == "agent" {
			m.Points[i].Value *= 100
		}
	}
	rest := findRow(t, Evaluate(smallFleet(t), m), Ordinary, SidecarControl, "processor time of a real agent and sidecar at rest, with one short list")
	if rest.Class != DoesNotFit || rest.Verdict != "does not: 1.54 times over" { // 20 ms of a budget of 13 ms per second
		t.Errorf("%+v", rest)
	}
	r = findRow(t, Evaluate(smallFleet(t), m), Ordinary, SidecarControl, "processor time")
	if r.Class != DoesNotFit || r.Verdict != "does not: at least 1.57 times over" { // 20.4 ms of a budget of 13 ms per second
		t.Errorf("%+v", r)
	}
}

// A slope that is not trusted gives no figure, and the row says why. A point at the size itself gives a figure all the same.
func TestAnUntrustedSlopeGivesNoFigure(t *testing.T) {
	m := smallFleetMeasurements()
	doubleAbove := func(upTo int) {
		for i, p := range m.Points {
			if p.Workload == "watches" && p.Role == "leader" && p.Size > upTo {
				m.Points[i].Value *= 2
			}
		}
	}
	doubleAbove(40)
	r := findRow(t, Evaluate(smallFleet(t), m), Ordinary, Leader, "processor time of renewals and watches")
	if r.Class != DoesNotFit || !slices.Contains(r.Need.From, "point watches/leader/cpu_us_s at 100") {
		t.Errorf("%+v", r)
	}
	m.Points = slices.DeleteFunc(m.Points, func(p Point) bool {
		return p.Workload == "watches" &&
			p.Role == "leader" && p.Size == 100
	})
	r = findRow(t, Evaluate(smallFleet(t), m), Ordinary, Leader, "processor time of renewals and watches")
	if r.Class != NotMeasured || len(r.Missing()) != 1 || !strings.HasPrefix(r.Missing()[0],
		"watches/leader/cpu_us_s (its slope is not trusted: no run above") {
		t.Errorf("%+v", r)
	}
}

// Without any points no figure names a slope or a point as its source, and no row with a missing figure fits. A row that
// does not fit says what it breaks.
func TestNothingMeasured(t *testing.T) {
	for _, r := range Evaluate(committedAssumptions(t), nil) {
		for _, f := range r.Need.From {
			if strings.HasPrefix(f, "slope") || strings.HasPrefix(f, "point") {
				t.Errorf("%s: %s", r.Name(), f)
			}
		}
		if len(r.Need.Missing) > 0 && r.Class == Fits {
			t.Errorf("%s: %s, and %v is missing", r.Name(), r.Verdict, r.Need.Missing)
		}
		if r.Class == DoesNotFit && r.Breaks == "" {
			t.Errorf("%s: does not fit, and Breaks is empty", r.Name())
		}
	}
}

// The number of servers that a sidecar knows is limited to the servers of the fleet.
func TestKnownServers(t *testing.T) {
	a, _ := smallFleet(t).Scaled("shape.fan_out", 20)
	if m := newModel(newInputs(a, nil)); m.knownServers.Value != 100 {
		t.Error(m.knownServers)
	}
}

// A quotient is unknown if its divisor is a lower bound. The quotient of a lower bound is a lower bound.
func TestQuotients(t *testing.T) {
	some := Figure{Value: 6, Missing: []string{"x"}}
	if f := div(some, Figure{Value: 2}); f.Value != 3 || len(f.Missing) != 1 {
		t.Error(f)
	}
	if f := div(Figure{Value: 2}, some); f.Value != 0 || len(f.Missing) != 1 {
		t.Error(f)
	}
}

// Each row has a source, a mechanism, a situation of the page and a unique name. Each derived figure has a source.
func TestEachRowIsComplete(t *testing.T) {
	model := newModel(newInputs(committedAssumptions(t), nil))
	seen := map[string]bool{}
	for _, r := range model.rows() {
		if r.Mechanism == "" || len(r.Need.From)+len(r.Need.Missing) == 0 || !slices.Contains(Situations(), r.Situation) ||
			seen[r.Name()] {
			t.Errorf("%+v", r)
		}
		seen[r.Name()] = true
	}
	for _, situation := range Situations() {
		if !slices.ContainsFunc(model.evaluated, func(r Row) bool { return r.Situation == situation }) {
			t.Errorf("%s: no row", situation)
		}
	}
	for _, d := range model.derived {
		if len(d.From) == 0 {
			t.Errorf("%+v", d)
		}
	}
}

func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		need, budget float64
		missing      []string
		err          float64
		want         string
	}{
		{5, 10, nil, 0, "fits by 2 times"},
		{10, 10, nil, 0, "fits by 1 times"},
		{0, 10, nil, 0, "fits"},
		{10.01, 10, nil, 0, "does not: 1.01 times over"},
		{9.99, 10, nil, 0.1, "fits by 1 times, within its slope's error of 10%"},
		{10.5, 10, nil, 0.1, "does not: 1.05 times over, within its slope's error of 10%"},
		{5, 10, []string{"x"}, 0, "not measured"},
		{15, 10, []string{"x"}, 0, "does not: at least 1.5 times over"},
		{1, 19.99, nil, 0, "fits by 19 times"},
		{1999, 1, nil, 0, "does not: 2,000 times over"},
	} {
		r := Row{Need: Figure{Value: c.need, Missing: c.missing, Error: c.err}, Budget: &Figure{Value: c.budget}}
		if r.setVerdict(); r.Verdict != c.want {
			t.Errorf("%v of %v: %s; want %s", c.need, c.budget, r.Verdict, c.want)
		}
	}
}

// Rows that break a rule come first, then those that exceed their budget by more.
func TestRank(t *testing.T) {
	rows := []Row{{Quantity: "a", Class: DoesNotFit, Breaks: BreaksTime, Factor: 9}, {Quantity: "b", Class: Fits, Factor: 99},
		{Quantity: "c", Class: DoesNotFit, Breaks: BreaksRule, Factor: 2},
		{Quantity: "d", Class: DoesNotFit, Breaks: BreaksRule, Factor: 3},
		{Quantity: "e", Class: DoesNotFit, Breaks: BreaksTime, Factor: 9, NeededBy: []string{"x"}},
		{Quantity: "f", Class: NotMeasured}}
	var order []string
	for _, r := range RankMisfits(rows) {
		order = append(order, r.Quantity)
	}
	if got := strings.Join(order, ""); got != "dcea" {
		t.Error(got)
	}
}

// Sensitivities returns the verdicts that an assumption changes, and keeps each field within its bounds.
func TestSensitivities(t *testing.T) {
	var changed []string
	for _, w := range Sensitivities(smallFleet(t), smallFleetMeasurements()) {
		if w.Name == "earlier.start_bytes_12000" || w.Name == "changes.overhead_bytes" || w.Name == "earlier.staged_2000" {
			for _, m := range w.Changes {
				changed = append(changed, w.Name+" "+m.Variation+": "+m.Row+": "+m.Before+" -> "+m.After)
			}
			if w.DoubleFactor != 2 || w.HalfFactor != 0.5 {
				t.Errorf("%+v", w)
			}
		}
		// halved, the largest service would be smaller than the mean of 10
		if w.Name == "shape.largest" && (w.HalfFactor != 1 || w.DoubleFactor != 2) {
			t.Errorf("%+v", w)
		}
	}
	want := []string{
		"earlier.start_bytes_12000 half: " + ByRollout + ": " + Leader +
			": message that begins a change of all: does not: 1.25 times over -> fits by 1.6 times",
		"earlier.start_bytes_12000 half: " + AllRestarted + ": " + Leader +
			": message that begins one change of all: does not: 1.25 times over -> fits by 1.6 times",
	}
	if !slices.Equal(changed, want) {
		t.Errorf("%s", strings.Join(changed, "\n"))
	}
	if _, times := smallFleet(t).Scaled("topology.zone_share", 20); times != 5 { // the region's share
		t.Error(times)
	}
}

// Page replaces the text between the markers and keeps the rest of the page.
func TestPage(t *testing.T) {
	r := NewReport(smallFleet(t), smallFleetMeasurements())
	const page = "# Title\n\nprose\n\n<!-- tables: begin ranking -->\nof-before\n<!-- tables: end -->\n\n" +
		"more\n<!-- tables: begin -->\n<!-- tables: end -->\nlast\n"
	got, err := r.Page("f", page)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(got, "# Title\n\nprose\n\n<!-- tables: begin ranking -->\n| situation | role |") ||
		strings.Contains(got, "of-before") ||
		!strings.HasSuffix(got, "<!-- tables: end -->\nlast\n") || strings.Contains(got, "### What does not fit") ||
		!strings.Contains(got, "### Slopes") {
		t.Error(got)
	}
	if again, err := r.Page("f", got); err != nil || again != got {
		t.Error("writing the tables a second time changed the page", err)
	}
	for _, c := range []struct{ page, want string }{
		{"no markers\n", "f: no markers; write a line"},
		{"a\n<!-- tables: begin other -->\n<!-- tables: end -->\n", "f:2: other: no such table; write one of targets, "},
		{"<!-- tables: begin targets -->\n", "f:1: no end; write a line <!-- tables: end -->"},
		{"<!-- tables: begin targets -->\n<!-- tables: begin slopes -->\n<!-- tables: end -->\n",
			"f:2: begins before the end of the section above"},
		{"<!-- tables: begin targets -->\n<!-- tables: end -->\n<!-- tables: begin targets -->\n<!-- tables: end -->\n",
			"f:3: targets: comes twice"},
	} {
		if _, err := r.Page("f", c.page); err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%q: %v; want %s", c.page, err, c.want)
		}
	}
}

// Text, Markdown and JSON of a report have all its rows.
func TestReportFormats(t *testing.T) {
	r := NewReport(smallFleet(t), smallFleetMeasurements())
	var text, markdown bytes.Buffer
	if err := r.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	if err := r.WriteMarkdown(&markdown); err != nil {
		t.Fatal(err)
	}
	raw, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range r.Rows {
		for _, form := range []string{text.String(), markdown.String(), string(raw)} {
			if !strings.Contains(form, row.Quantity) {
				t.Errorf("%s is missing", row.Name())
			}
		}
	}
}

func TestNumbers(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 5: "5", 1234567: "1,234,567", 1234.56: "1,235",
		123456.7: "123,500", 0.01234: "0.0123",
		0.00001234: "1.23e-05", -12345: "-12,345", 999: "999", 0.5: "0.5", 67108864: "67,108,864"} {
		if got := number(v); got != want {
			t.Errorf("%v: %s; want %s", v, got, want)
		}
	}
	for _, c := range []struct {
		v          float64
		unit, want string
	}{{0.0005, "s", "500 us"}, {0.25, "s", "250 ms"}, {14, "s", "14 s"}, {0, "s", "0 s"},
		{9000, "bytes/s", "9,000 bytes/s"}, {3, "", "3"}} {
		if got := quantity(c.v, c.unit); got != c.want {
			t.Errorf("%v %s: %s; want %s", c.v, c.unit, got, c.want)
		}
	}
}
