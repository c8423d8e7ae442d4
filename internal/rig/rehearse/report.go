package rehearse

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/load"
)

// Report is an outcome as it is shown. Its JSON is an interface: names stay, and all durations are milliseconds.
type Report struct {
	Scenario string   `json:"scenario"`
	About    string   `json:"about,omitempty"`
	Against  string   `json:"against"` // what the load was sent to
	Seed     uint64   `json:"seed"`
	Seconds  float64  `json:"seconds"`
	Faults   []string `json:"faults,omitempty"`

	Partial bool     `json:"partial"` // it was stopped early
	Invalid []string `json:"invalid"` // why the load was not what the scenario asks for

	Classes     []ClassReport `json:"classes"` // the first is all of them together
	Crowds      []CrowdReport `json:"crowds,omitempty"`
	WorstSecond *Second       `json:"worst_second,omitempty"`
	Work        *WorkReport   `json:"work,omitempty"`
	Rules       *RulesReport  `json:"rules,omitempty"`
	Generator   Generator     `json:"generator"`
	Sidecars    []Usage       `json:"sidecars,omitempty"`

	course     load.Course
	overall    *hdrhistogram.Histogram
	faultBands []band
}

// ClassReport is one class. Latencies count from when requests were due, and are of those served.
type ClassReport struct {
	Name      string  `json:"name"`
	Count     int     `json:"count"`
	Served    int     `json:"served"`
	Refused   int     `json:"refused"`
	Failed    int     `json:"failed"`
	Lost      int     `json:"lost"`
	Unreached int     `json:"unreached"`
	Tries     int     `json:"tries"`
	InAim     int     `json:"in_aim"`
	Goodput   float64 `json:"goodput"` // worth earned over worth asked for
	P50       float64 `json:"p50_ms"`
	P90       float64 `json:"p90_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p999_ms"`
	Max       float64 `json:"max_ms"`
}

// CrowdReport is what came of strange clients, who are none of the operations above.
type CrowdReport struct {
	Kind    string `json:"kind"`
	Opened  int    `json:"opened"` // connections that came up
	Barred  int    `json:"barred"` // ... that did not
	Closed  int    `json:"closed"` // ... that were closed before the crowd was over
	Asked   int    `json:"asked"`
	Served  int    `json:"served"`
	Refused int    `json:"refused"`
	Failed  int    `json:"failed"` // or lost, or not taken
}

// Second is the second, by when requests were due, in which the least part of them was served.
type Second struct {
	At     float64 `json:"at_s"`
	Served float64 `json:"served"` // the part
	P99    float64 `json:"p99_ms"`
}

// WorkReport is what the servers did.
type WorkReport struct {
	Attempts float64 `json:"attempts_per_operation"`
	Wasted   float64 `json:"wasted"` // part of the work whose answer no client was served
}

// RulesReport is the audit.
type RulesReport struct {
	Kept bool `json:"kept"`
	audit.Report
}

// Generator is how the load generator itself did, and what it and the stand-ins took.
type Generator struct {
	LagP50   float64 `json:"lag_p50_ms"`
	LagP99   float64 `json:"lag_p99_ms"`
	LagMax   float64 `json:"lag_max_ms"`
	CPU      float64 `json:"cpu_s"` // of clients, servers and discovery together
	PeakOpen int     `json:"peak_connections"`
}

// band is a time in which a fault was on.
type band struct{ from, to time.Duration }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// NewReport sums up a load; seed and name are the scenario's.
func NewReport(o *Outcome, against string) *Report {
	r := loadReport(o, against)
	r.Rules = &RulesReport{Kept: o.Audit.OK(), Report: o.Audit}
	r.Work = &WorkReport{Attempts: float64(o.Work.Attempts) / float64(max(r.Classes[0].Count, 1))}
	if o.Work.Done > 0 {
		r.Work.Wasted = float64(o.Work.Wasted) / float64(o.Work.Done)
	}
	return r
}

// LoadReport sums up a load that was sent without stand-ins: nothing of it can be audited.
func LoadReport(o *Outcome, against string) *Report {
	r := loadReport(o, against)
	r.Faults, r.faultBands = nil, nil
	return r
}

func loadReport(o *Outcome, against string) *Report {
	s, l := o.Scenario, o.Load
	r := &Report{
		Scenario: s.Name, About: s.Description, Against: against, Seed: s.Seed, Seconds: l.Took.Seconds(),
		Partial: l.Partial, Invalid: append([]string{}, l.Invalid...), course: l.Course, overall: l.Classes[0].Latency,
		Generator: Generator{
			LagP50: millis(load.Percentile(l.Lag, 50)), LagP99: millis(load.Percentile(l.Lag, 99)),
			LagMax: millis(load.Percentile(l.Lag, 100)), PeakOpen: l.PeakOpen,
		},
	}
	for i := range l.Classes {
		c := &l.Classes[i]
		line := ClassReport{
			Name: c.Name, Count: c.Counts.All(), Served: c.Counts.Served, Refused: c.Counts.Refused,
			Failed: c.Counts.Failed, Lost: c.Counts.Lost, Unreached: c.Counts.Unreached, Tries: c.Tries, InAim: c.InAim,
			P50: millis(c.Percentile(50)), P90: millis(c.Percentile(90)), P99: millis(c.Percentile(99)),
			P999: millis(c.Percentile(99.9)), Max: millis(c.Percentile(100)),
		}
		if c.Worth > 0 {
			line.Goodput = c.Earned / c.Worth
		}
		r.Classes = append(r.Classes, line)
	}
	for _, c := range l.Crowds {
		r.Crowds = append(r.Crowds, CrowdReport{
			Kind: string(c.Kind), Opened: c.Opened, Barred: c.Barred, Closed: c.Closed, Asked: c.Asked.All(),
			Served: c.Asked.Served, Refused: c.Asked.Refused, Failed: c.Asked.Failed + c.Asked.Lost + c.Asked.Unreached,
		})
	}
	r.WorstSecond = worstSecond(l.Course)
	for _, f := range s.Faults {
		r.Faults = append(r.Faults, f.String())
		r.faultBands = append(r.faultBands, band{f.At, f.End()})
	}
	sort.SliceStable(r.faultBands, func(a, b int) bool { return r.faultBands[a].from < r.faultBands[b].from })
	return r
}

// worstSecond looks at each second of the course, or at each slice where slices are wider.
func worstSecond(c load.Course) *Second {
	wide := max(1, int(time.Second/c.Width))
	var worst *Second
	for i := 0; i+wide <= len(c.Slices); i++ {
		all, served := 0, 0
		h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)
		for _, s := range c.Slices[i : i+wide] {
			all += s.Counts.All()
			served += s.Counts.Served
			h.Merge(s.Latency)
		}
		if all == 0 {
			continue
		}
		now := Second{
			At: (time.Duration(i) * c.Width).Seconds(), Served: float64(served) / float64(all),
			P99: millis(load.Percentile(h, 99)),
		}
		if worst == nil || now.Served < worst.Served || now.Served == worst.Served && now.P99 > worst.P99 {
			worst = &now
		}
	}
	return worst
}

// OK reports whether the rehearsal went through as asked, and no rule was broken.
func (r *Report) OK() bool {
	return !r.Partial && len(r.Invalid) == 0 && (r.Rules == nil || r.Rules.Kept)
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// shownBreaches is how many breaches a person is shown; the JSON has all of them.
const shownBreaches = 20

// WriteText writes the report for a person.
func (r *Report) WriteText(w io.Writer) error {
	out := &printer{w: w}
	out.print("%s against %s, seed %d, %.1f s\n", r.Scenario, r.Against, r.Seed, r.Seconds)
	if r.About != "" {
		out.print("%s\n", r.About)
	}
	if r.Partial {
		out.print("PARTIAL: stopped early; what follows covers what was sent until then\n")
	}
	for _, why := range r.Invalid {
		out.print("NOT VALID: %s\n", why)
	}
	out.print("\n")
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tcount\tserved\trefused\tfailed\tlost\tunreached\ttries\tgoodput\tp50 ms\tp90\tp99\tp99.9\tmax\t")
	for _, c := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", c.Name, c.Count, c.Served,
			c.Refused, c.Failed, c.Lost, c.Unreached, c.Tries, c.Goodput, c.P50, c.P90, c.P99, c.P999, c.Max)
	}
	_ = table.Flush()
	out.print("\nLatency counts from when a request was due. Goodput is worth earned over worth asked for.\n")
	for _, c := range r.Crowds {
		out.print("Crowd of %s: %d connections came up, %d did not, %d were closed early; %d asked, %d served, %d refused, %d failed\n",
			c.Kind, c.Opened, c.Barred, c.Closed, c.Asked, c.Served, c.Refused, c.Failed)
	}
	if s := r.WorstSecond; s != nil {
		out.print("Worst second: from %.2f s on, %.1f%% served, p99 %.1f ms\n", s.At, 100*s.Served, s.P99)
	}
	if r.Work != nil {
		out.print("Servers: %.2f attempts an operation, %.1f%% of the work wasted\n", r.Work.Attempts, 100*r.Work.Wasted)
	}
	g := r.Generator
	out.print("Generator: lag p50 %.2f ms, p99 %.2f, max %.2f; %d connections at most", g.LagP50, g.LagP99, g.LagMax, g.PeakOpen)
	if g.CPU > 0 {
		out.print("; %.2f s of CPU with the stand-ins", g.CPU)
	}
	out.print("\n")
	for _, u := range r.Sidecars {
		out.print("Sidecar n%d: %.2f s of CPU, %.0f us a try; %.1f MiB; %d descriptors\n", u.Number, u.CPU,
			u.CPU*1e6*float64(len(r.Sidecars))/math.Max(float64(r.Classes[0].Tries), 1),
			float64(u.MaxMemory)/(1<<20), u.Descriptors)
	}
	if r.Rules != nil {
		r.writeRules(out)
	}
	return out.err
}

func (r *Report) writeRules(out *printer) {
	j := r.Rules.Judged
	out.print("\nThe rules, judged from %d calls, %d repeats, %d refusals of what is not safe, %d drains told, %d cold starts:\n",
		j.Calls, j.Repeats, j.Refusals, j.AfterDrains, j.ColdStarts)
	reasons := make([]string, 0, len(r.Rules.Unjudged))
	for reason := range r.Rules.Unjudged {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		out.print("  not judged: %d %s\n", r.Rules.Unjudged[reason], reason)
	}
	for i, b := range r.Rules.Breaches {
		if i == shownBreaches {
			out.print("  ... and %d more\n", len(r.Rules.Breaches)-i)
			break
		}
		out.print("  BROKEN %s\n", b)
	}
	if r.Rules.Kept {
		out.print("KEPT: no rule was broken\n")
	} else {
		out.print("BROKEN: %d breaches\n", len(r.Rules.Breaches))
	}
}

// printer keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) print(format string, args ...any) { fmt.Fprintf(p, format, args...) }

func (p *printer) Write(b []byte) (int, error) {
	n, err := p.w.Write(b)
	if p.err == nil {
		p.err = err
	}
	return n, err
}
