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

// Report is an outcome for people and programs. Its JSON is an interface: names do not change, and durations are in milliseconds.
type Report struct {
	Scenario    string   `json:"scenario"`
	Description string   `json:"about,omitempty"`
	Target      string   `json:"against"` // that the load was sent to
	Seed        uint64   `json:"seed"`
	Seconds     float64  `json:"seconds"`
	Faults      []string `json:"faults,omitempty"`

	Partial bool     `json:"partial"` // the run was stopped early
	Invalid []string `json:"invalid"` // reasons why the load was not what the scenario describes

	Classes     []ClassReport `json:"classes"` // the first is all of them together
	Crowds      []CrowdReport `json:"crowds,omitempty"`
	WorstSecond *Second       `json:"worst_second,omitempty"`
	Work        *WorkReport   `json:"work,omitempty"`
	Rules       *RulesReport  `json:"rules,omitempty"`
	Generator   Generator     `json:"generator"`
	Sidecars    []Usage       `json:"sidecars,omitempty"`

	timeline       load.Timeline
	overall        *hdrhistogram.Histogram
	faultIntervals []interval
}

// ClassReport is the result of one class. Latencies are of served requests and count from their scheduled times.
type ClassReport struct {
	Name         string  `json:"name"`
	Count        int     `json:"count"`
	Served       int     `json:"served"`
	Refused      int     `json:"refused"`
	Failed       int     `json:"failed"`
	Lost         int     `json:"lost"`
	Unreached    int     `json:"unreached"`
	Attempts     int     `json:"tries"`
	WithinTarget int     `json:"in_aim"`
	Goodput      float64 `json:"goodput"` // value of the answers over the value of all requests
	P50          float64 `json:"p50_ms"`
	P90          float64 `json:"p90_ms"`
	P99          float64 `json:"p99_ms"`
	P999         float64 `json:"p999_ms"`
	Max          float64 `json:"max_ms"`
}

// CrowdReport is the result of a crowd of foreign clients, which are not counted in the classes.
type CrowdReport struct {
	Kind         string `json:"kind"`
	Connected    int    `json:"opened"` // connections that were established
	NotConnected int    `json:"barred"` // connections that were not
	Closed       int    `json:"closed"` // connections that were closed before the crowd's end
	Requests     int    `json:"asked"`
	Served       int    `json:"served"`
	Refused      int    `json:"refused"`
	Failed       int    `json:"failed"` // or lost, or unreached
}

// Second is the second, by scheduled times, in which the smallest fraction of requests was served.
type Second struct {
	Start  float64 `json:"at_s"`
	Served float64 `json:"served"` // fraction
	P99    float64 `json:"p99_ms"`
}

// WorkReport is the work of the servers.
type WorkReport struct {
	Attempts float64 `json:"attempts_per_operation"`
	Wasted   float64 `json:"wasted"` // fraction of the work whose answer no client received
}

// RulesReport is the audit's result.
type RulesReport struct {
	Kept bool `json:"kept"`
	audit.Report
}

// Generator has the lag and the resources of the load generator and the stand-ins.
type Generator struct {
	LagP50   float64 `json:"lag_p50_ms"`
	LagP99   float64 `json:"lag_p99_ms"`
	LagMax   float64 `json:"lag_max_ms"`
	CPU      float64 `json:"cpu_s"` // of clients, servers and discovery together
	PeakOpen int     `json:"peak_connections"`
}

// interval is the time of a fault.
type interval struct{ from, to time.Duration }

// millis is a duration in the unit of reports.
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// NewReport summarizes a rehearsal. against names what the load was sent to.
func NewReport(o *Outcome, against string) *Report {
	r := newLoadReport(o, against)
	r.Rules = &RulesReport{Kept: o.Audit.OK(), Report: o.Audit}
	r.Work = &WorkReport{Attempts: float64(o.Work.Attempts) / float64(max(r.Classes[0].Count, 1))}
	if o.Work.CoreTime > 0 {
		r.Work.Wasted = float64(o.Work.WastedCoreTime) / float64(o.Work.CoreTime)
	}
	return r
}

// LoadReport summarizes a load that was sent without stand-ins: nothing of it can be audited.
func LoadReport(o *Outcome, against string) *Report {
	r := newLoadReport(o, against)
	r.Faults, r.faultIntervals = nil, nil
	return r
}

// newLoadReport is what both reports have in common.
func newLoadReport(o *Outcome, against string) *Report {
	s, l := o.Scenario, o.Load
	r := &Report{
		Scenario: s.Name, Description: s.Description, Target: against, Seed: s.Seed, Seconds: l.Duration.Seconds(),
		Partial: l.Partial, Invalid: append([]string{}, l.Invalid...), timeline: l.Timeline, overall: l.Classes[0].Latency,
		Generator: Generator{
			LagP50: millis(load.Percentile(l.Lag, 50)), LagP99: millis(load.Percentile(l.Lag, 99)),
			LagMax: millis(load.Percentile(l.Lag, 100)), PeakOpen: l.PeakOpen,
		},
	}
	for i := range l.Classes {
		c := &l.Classes[i]
		line := ClassReport{
			Name: c.Name, Count: c.Counts.All(), Served: c.Counts.Served, Refused: c.Counts.Refused,
			Failed: c.Counts.Failed, Lost: c.Counts.Lost, Unreached: c.Counts.Unreached, Attempts: c.Requests, WithinTarget: c.OnTime,
			P50: millis(c.Percentile(50)), P90: millis(c.Percentile(90)), P99: millis(c.Percentile(99)),
			P999: millis(c.Percentile(99.9)), Max: millis(c.Percentile(100)),
		}
		if c.ValueRequested > 0 {
			line.Goodput = c.ValueEarned / c.ValueRequested
		}
		r.Classes = append(r.Classes, line)
	}
	for _, c := range l.Crowds {
		r.Crowds = append(r.Crowds, CrowdReport{
			Kind: string(c.Kind), Connected: c.Opened, NotConnected: c.ConnectFailed, Closed: c.Closed, Requests: c.Requests.All(),
			Served: c.Requests.Served, Refused: c.Requests.Refused, Failed: c.Requests.Failed + c.Requests.Lost + c.Requests.Unreached,
		})
	}
	r.WorstSecond = worstSecond(l.Timeline)
	for _, f := range s.Faults {
		r.Faults = append(r.Faults, f.String())
		r.faultIntervals = append(r.faultIntervals, interval{f.At, f.End()})
	}
	sort.SliceStable(r.faultIntervals, func(a, b int) bool { return r.faultIntervals[a].from < r.faultIntervals[b].from })
	return r
}

// worstSecond compares the seconds of the timeline, or its slices if those are longer. nil: there were no requests.
func worstSecond(c load.Timeline) *Second {
	slicesPerSecond := max(1, int(time.Second/c.Width))
	var worst *Second
	for i := 0; i+slicesPerSecond <= len(c.Slices); i++ {
		all, served := 0, 0
		h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)
		for _, s := range c.Slices[i : i+slicesPerSecond] {
			all += s.Counts.All()
			served += s.Counts.Served
			h.Merge(s.Latency)
		}
		if all == 0 {
			continue
		}
		now := Second{
			Start: (time.Duration(i) * c.Width).Seconds(), Served: float64(served) / float64(all),
			P99: millis(load.Percentile(h, 99)),
		}
		if worst == nil || now.Served < worst.Served || now.Served == worst.Served && now.P99 > worst.P99 {
			worst = &now
		}
	}
	return worst
}

// OK reports whether the rehearsal was complete and valid, and no rule was broken.
func (r *Report) OK() bool {
	return !r.Partial && len(r.Invalid) == 0 && (r.Rules == nil || r.Rules.Kept)
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// maxShownBreaches is the number of breaches in the text; the JSON has all of them.
const maxShownBreaches = 20

// WriteText writes the report for people.
func (r *Report) WriteText(w io.Writer) error {
	out := &printer{writer: w}
	out.print("%s against %s, seed %d, %.1f s\n", r.Scenario, r.Target, r.Seed, r.Seconds)
	if r.Description != "" {
		out.print("%s\n", r.Description)
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
			c.Refused, c.Failed, c.Lost, c.Unreached, c.Attempts, c.Goodput, c.P50, c.P90, c.P99, c.P999, c.Max)
	}
	_ = table.Flush()
	out.print("\nLatency counts from when a request was due. Goodput is the value of the answers over that of all requests.\n")
	for _, c := range r.Crowds {
		out.print("Crowd of %s: %d connections came up, %d did not, %d were closed early; %d asked, %d served, %d refused, %d failed\n",
			c.Kind, c.Connected, c.NotConnected, c.Closed, c.Requests, c.Served, c.Refused, c.Failed)
	}
	if s := r.WorstSecond; s != nil {
		out.print("Worst second: from %.2f s on, %.1f%% served, p99 %.1f ms\n", s.Start, 100*s.Served, s.P99)
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
			u.CPU*1e6*float64(len(r.Sidecars))/math.Max(float64(r.Classes[0].Attempts), 1),
			float64(u.MaxMemory)/(1<<20), u.Descriptors)
	}
	if r.Rules != nil {
		r.writeRules(out)
	}
	return out.err
}

func (r *Report) writeRules(out *printer) {
	j := r.Rules.Judged
	out.print("\nThe rules, judged from %d calls, %d repeats, %d unsafe requests rejected, %d drains announced, %d slow starts:\n",
		j.Calls, j.Repeats, j.Refusals, j.Drains, j.SlowStarts)
	reasons := make([]string, 0, len(r.Rules.Unjudged))
	for reason := range r.Rules.Unjudged {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		out.print("  not judged: %d %s\n", r.Rules.Unjudged[reason], reason)
	}
	for i, b := range r.Rules.Breaches {
		if i == maxShownBreaches {
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

// printer writes text, and keeps the first error.
type printer struct {
	writer io.Writer
	err    error
}

func (p *printer) print(format string, args ...any) { fmt.Fprintf(p, format, args...) }

func (p *printer) Write(b []byte) (int, error) {
	n, err := p.writer.Write(b)
	if p.err == nil {
		p.err = err
	}
	return n, err
}
