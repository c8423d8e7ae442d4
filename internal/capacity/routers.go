package capacity

import (
	"fmt"
	"math"
	"strings"
)

// RouterTarget is the size that is coming for the router fleet, as the operators state it.
type RouterTarget struct {
	Sidecars int
	Servers  int
	Requests float64 // a second, of all sidecars
	Draws    float64 // of quotas a second and sidecar in the measured runs
}

// Router is that size.
var Router = RouterTarget{Sidecars: 630, Servers: 6700, Requests: 71_000, Draws: 5}

// RouterRow is one resource of one role at the size that is coming.
type RouterRow struct {
	Role, Resource string
	Line           *Line // nil: not measured
	Value          float64
	Budget         float64 // 0: none is stated
	Unit           string
	Verdict        string
	Mechanism      string
}

// The verdicts.
const (
	routerFits        = "fits"
	routerDoesNot     = "does not fit"
	routerNotMeasured = "not measured"
	routerNoBudget    = "no budget"
	routerNotBelieved = "not shown: the line missed its check"
)

// Budgets of control, of the operators: a sidecar's, and of a machine of the core one processor and half of its memory.
const (
	budgetProcessor = 21_000     // microseconds a second, 2.1 % of a core
	budgetMemory    = 32_000_000 // bytes
	budgetBytes     = 19_000     // a second
	budgetCore      = 1_000_000  // microseconds a second
	budgetInForce   = 17_000_000 // microseconds
)

type routerSpec struct {
	workload, role, metric, unit, resource, mechanism string
	budget                                            float64
}

var routerSpecs = []routerSpec{
	{"at rest", "sidecar", "cpu_us_s", "us/s", "processor, at rest", "`node`: session, heartbeat, tick", budgetProcessor},
	{"heartbeats", "sidecar", "bytes_out_s", "bytes/s", "bytes out", "`dissemination`: session every 0.4 s", budgetBytes},
	{"heartbeats", "sidecar", "memory_bytes", "bytes", "memory", "`registry`, `routetable`: all servers, routes and tenants", budgetMemory},
	{"changes", "sidecar", "in_force_us", "us", "a change in force at the last sidecar", "`dissemination`: pushes by homes", budgetInForce},
	{"all sidecars restarted", "sidecar", "ready_us", "us", "all restarted at once: the last is ready", "`dissemination`: whole lists from homes", 0},
	{"primary lost", "primary", "order_us", "us", "primary killed: a change is acknowledged", "`replication`: suspicion, election", 0},
	{"primary lost", "sidecar", "in_force_us", "us", "primary killed: a change in force at the last sidecar", "`replication`, `dissemination`", budgetInForce},
	{"at rest", "primary", "cpu_us_s", "us/s", "processor, at rest", "`replication`: heartbeats; sessions", budgetCore},
	{"heartbeats", "primary", "cpu_us_s", "us/s", "processor, with servers' heartbeats", "`registry`: a seventh of the heartbeats", budgetCore},
	{"quota draws", "primary", "cpu_us_s", "us/s", "processor, with 5 draws a second and sidecar", "`quota`: token buckets", budgetCore},
	{"heartbeats", "primary", "bytes_out_s", "bytes/s", "bytes out", "`replication`, `dissemination`", 0},
	{"heartbeats", "primary", "memory_bytes", "bytes", "memory", "one process", 0},
	{"heartbeats", "control sidecar", "cpu_us_s", "us/s", "processor, with servers' heartbeats", "`registry`, sessions of a seventh", budgetCore},
	{"heartbeats", "control sidecar", "bytes_out_s", "bytes/s", "bytes out", "`dissemination`: homes", 0},
	{"heartbeats", "control sidecar", "memory_bytes", "bytes", "memory", "one process", 0},
}

// RouterRows works out the rows of the page from a run with routers.
func RouterRows(m *Measured, target RouterTarget) []RouterRow {
	lines := map[Key]*Line{}
	for _, l := range Fit(m) {
		lines[l.Key] = &l
	}
	var rows []RouterRow
	for _, s := range routerSpecs {
		row := RouterRow{Role: s.role, Resource: s.resource, Unit: s.unit, Budget: s.budget, Mechanism: s.mechanism, Verdict: routerNotMeasured}
		if l := lines[Key{s.workload, s.role, s.metric}]; l != nil {
			row.Line, row.Value = l, l.At(float64(target.Sidecars))
			if l.Check != nil && l.Check.Size == target.Sidecars {
				row.Value = l.Check.Seen
			}
			row.Verdict = routerNotBelieved
			if l.Believed {
				row.Verdict = verdict(row.Value, s.budget)
			}
		}
		rows = append(rows, row)
	}
	return append(rows, drawRow(lines, target))
}

func verdict(value, budget float64) string {
	switch {
	case budget == 0:
		return routerNoBudget
	case value > budget:
		return fmt.Sprintf("%s, by %.1f times", routerDoesNot, value/budget)
	}
	return fmt.Sprintf("%s, %.1f times", routerFits, math.Floor(10*budget/value)/10)
}

// drawRow works out what the primary spends where each request draws by itself.
func drawRow(lines map[Key]*Line, target RouterTarget) RouterRow {
	row := RouterRow{Role: "primary", Resource: "processor, where each of 71,000 requests a second draws", Unit: "us/s", Budget: budgetCore,
		Mechanism: "`quota`: units acquired ahead of demand cut it", Verdict: routerNotMeasured}
	with, without := lines[Key{"quota draws", "primary", "cpu_us_s"}], lines[Key{"heartbeats", "primary", "cpu_us_s"}]
	if with == nil || without == nil {
		return row
	}
	n := float64(target.Sidecars)
	perDraw := (with.At(n) - without.At(n)) / (target.Draws * n)
	row.Value = without.At(n) + perDraw*target.Requests
	row.Verdict = verdict(row.Value, budgetCore)
	return row
}

// RouterTable is the rows as a Markdown table.
func RouterTable(m *Measured, target RouterTarget) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Measured %s; %s; sizes up to %d are fitted on.\n\n", m.At.Format("2006-01-02"), m.Machine, m.FitUpTo)
	b.WriteString("| role | resource | line (base + each × sidecars) | believed | at 630 | budget | verdict | mechanism |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range RouterRows(m, target) {
		line, believed, value, budget := "-", "-", "-", "-"
		if r.Line != nil {
			line = fmt.Sprintf("%s + %s × n, exponent %.2f", short(r.Line.Base), short(r.Line.Each), r.Line.Exponent)
			believed = believes(r.Line)
		}
		if r.Verdict != routerNotMeasured {
			value = short(r.Value) + " " + r.Unit
		}
		if r.Budget > 0 {
			budget = short(r.Budget)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", r.Role, r.Resource, line, believed, value, budget, r.Verdict, r.Mechanism)
	}
	return b.String()
}

func believes(l *Line) string {
	if l.Check == nil {
		return "no check"
	}
	word := "no"
	if l.Believed {
		word = "yes"
	}
	return fmt.Sprintf("%s: %s predicted, %s seen at %d", word, short(l.Check.Predicted), short(l.Check.Seen), l.Check.Size)
}

// short writes a figure with three digits.
func short(v float64) string {
	switch a := math.Abs(v); {
	case a >= 1e6:
		return fmt.Sprintf("%.3g M", v/1e6)
	case a >= 1e3:
		return fmt.Sprintf("%.3g k", v/1e3)
	}
	return fmt.Sprintf("%.3g", v)
}

// The marks between which the table stands on its page.
const (
	routerBegin = "<!-- table: begin routers -->\n"
	routerEnd   = "<!-- table: end -->"
)

// RouterPage puts the table into the page.
func RouterPage(page string, m *Measured, target RouterTarget) (string, error) {
	begin, end := strings.Index(page, routerBegin), strings.Index(page, routerEnd)
	if begin < 0 || end < begin {
		return "", fmt.Errorf("the page has no marks %q and %q", strings.TrimSpace(routerBegin), routerEnd)
	}
	return page[:begin+len(routerBegin)] + "\n" + RouterTable(m, target) + "\n" + page[end:], nil
}
