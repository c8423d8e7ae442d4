package chain

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"petrelhook/internal/coordination/capacity"
	"petrelhook/internal/rig/provenance"
	"petrelhook/internal/rig/usage"
)

// Report is the result of a study. Its JSON is an interface: names do not change.
type Report struct {
	Runs     []*Result         `json:"runs"`
	Measured capacity.Measured `json:"measured"`
}

// Report summarizes the completed runs of a study that began at a time.
func (s *Study) Report(began time.Time) *Report {
	r := &Report{Runs: s.Runs, Measured: capacity.Measured{At: began, Commit: provenance.Revision(), Machine: provenance.Machine(), Seed: s.Seed}}
	for _, run := range s.Runs {
		r.Measured.Points = append(r.Measured.Points, run.points(r.baseline(run))...)
		r.Measured.Findings = append(r.Measured.Findings, run.findings()...)
	}
	return r
}

// OK reports whether all runs are complete and no rule was broken. Late answers are only findings: a busy machine has them too.
func (r *Report) OK() bool {
	for _, run := range r.Runs {
		if run.Partial || run.UnexpectedAnswers > 0 || run.UnsafeRepeats > 0 {
			return false
		}
	}
	return true
}

// baseline is the run without sidecars that a run is compared with; nil: there is none.
func (r *Report) baseline(with *Result) *Result {
	for _, run := range r.Runs {
		if run.Direct && !with.Direct && run.Depth == with.Depth && run.Rate == with.Rate && run.FailFraction == with.FailFraction {
			return run
		}
	}
	return nil
}

// points are the metrics of a run. Those of the workload "calls" are of runs in which nothing fails, with the rate in the metric's
// name; those of "chain" are of the others, with the failing percentage. The role "leaf" has the times of the path without sidecars.
func (r *Result) points(baseline *Result) (all []capacity.Point) {
	workload, at := "calls", fmt.Sprintf("at_%g_s", r.Rate)
	if r.FailFraction > 0 {
		workload, at = "chain", fmt.Sprintf("fail_%g_pc", 100*r.FailFraction)
	}
	add := func(role, metric string, v float64) {
		all = append(all, capacity.Point{
			Workload: workload, Role: role, Metric: metric + "_" + at, Size: r.Depth, Run: 1, Value: v,
		})
	}
	path := "sidecar"
	if r.Direct {
		path = "leaf"
	}
	for i, c := range r.Classes {
		add(path, c.Name+"_p50_us", float64(c.P50))
		add(path, c.Name+"_p99_us", float64(c.P99))
		if baseline != nil {
			add(path, c.Name+"_added_p50_us", float64(c.P50-baseline.Classes[i].P50))
			add(path, c.Name+"_added_p99_us", float64(c.P99-baseline.Classes[i].P99))
		}
		if r.FailFraction > 0 {
			add("leaf", c.Name+"_attempts_call", c.AttemptsPerCall)
			add(path, c.Name+"_served_share", float64(c.Served)/float64(max(1, c.Calls)))
		}
	}
	if u, calls := r.meanUsage(); calls > 0 && r.FailFraction == 0 {
		add("sidecar", "cpu_us_call", float64(u.CPU.Microseconds())/calls)
		add("sidecar", "memory_bytes", float64(u.MaxMemory))
		add("sidecar", "descriptors", float64(u.Descriptors))
	}
	return all
}

// meanUsage is the mean usage of the sidecars, and the mean number of calls that each received.
func (r *Result) meanUsage() (u usage.Usage, calls float64) {
	n := len(r.Usage)
	if n == 0 {
		return u, 0
	}
	for i, sidecar := range r.Usage {
		u.CPU += sidecar.CPU / time.Duration(n)
		u.Memory += sidecar.Memory / int64(n)
		u.MaxMemory += sidecar.MaxMemory / int64(n)
		u.Descriptors = max(u.Descriptors, sidecar.Descriptors)
		for _, class := range r.Levels[i] {
			calls += float64(class.Calls) / float64(n)
		}
	}
	return u, calls
}

// findings are remarks on the validity of the metrics, and broken rules.
func (r *Result) findings() (all []string) {
	name := fmt.Sprintf("depth %d, %g/s, %g%% fail, direct %v: ", r.Depth, r.Rate, 100*r.FailFraction, r.Direct)
	add := func(format string, args ...any) { all = append(all, name+fmt.Sprintf(format, args...)) }
	for _, why := range r.Invalid {
		add("times are not valid: %s", why)
	}
	if r.Partial {
		add("stopped early")
	}
	if r.UnexpectedAnswers > 0 {
		add("%d answers that nobody asked for", r.UnexpectedAnswers)
	}
	if r.UnsafeRepeats > 0 {
		add("%d unsafe requests were sent again by one sidecar", r.UnsafeRepeats)
	}
	for _, c := range r.Classes {
		if c.Late+c.Lost > 0 {
			add("%s: %d answers were late and %d never came", c.Name, c.Late, c.Lost)
		}
	}
	return all
}

// WriteText writes the runs as tables.
func (r *Report) WriteText(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "depth\trate/s\tfail\tclass\tcalls\tserved\trefused\tfailed\tlate\tlost\t"+
		"leaf/call\ta level\tmost\tp50 ms\tp99 ms\tadded p50\tadded p99\t")
	for _, run := range r.Runs {
		baseline := r.baseline(run)
		for i, c := range run.Classes {
			depth, added := fmt.Sprint(run.Depth), "\t"
			if run.Direct {
				depth += " direct"
			}
			if baseline != nil {
				added = fmt.Sprintf("%.2f\t%.2f", ms(c.P50-baseline.Classes[i].P50), ms(c.P99-baseline.Classes[i].P99))
			}
			fmt.Fprintf(w, "%s\t%g\t%g%%\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t", depth, run.Rate, 100*run.FailFraction, c.Name,
				c.Calls, c.Served, c.Refused, c.Failed, c.Late, c.Lost)
			fmt.Fprintf(w, "%.3f\t%s\t%d\t%.2f\t%.2f\t%s\t\n", c.AttemptsPerCall, run.attemptRange(c.Name), c.MaxAttempts,
				ms(c.P50), ms(c.P99), added)
		}
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "sidecars\trate/s\tfail\tcalls each\tcpu us/call\tmemory MiB\tdescriptors\t")
	for _, run := range r.Runs {
		if u, calls := run.meanUsage(); calls > 0 {
			fmt.Fprintf(w, "%d\t%g\t%g%%\t%.0f\t%.0f\t%.1f\t%d\t\n", run.Depth, run.Rate, 100*run.FailFraction, calls,
				float64(u.CPU.Microseconds())/calls, float64(u.MaxMemory)/(1<<20), u.Descriptors)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, f := range r.Measured.Findings {
		if _, err := fmt.Fprintln(to, f); err != nil {
			return err
		}
	}
	return nil
}

// attemptRange is the smallest and the largest number of attempts for a call over the levels' sidecars, as text.
func (r *Result) attemptRange(class string) string {
	lowest, highest := 0.0, 0.0
	for _, l := range r.Levels {
		if n := l[class]; n.Calls > 0 {
			f := float64(n.Attempts) / float64(n.Calls)
			if highest = max(highest, f); lowest == 0 || f < lowest {
				lowest = f
			}
		}
	}
	return fmt.Sprintf("%.2f..%.2f", lowest, highest)
}

// ms converts microseconds to milliseconds.
func ms(us int64) float64 { return float64(us) / 1000 }
