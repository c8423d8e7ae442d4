package report

import (
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot/plotter"

	"petrelhook/internal/common/chart"
	"petrelhook/internal/coordination/rollout"
)

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"rate":    rate,
	"moment":  func(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05") },
	"seconds": func(d time.Duration) string { return d.Round(time.Second).String() },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title><style>{{.Style}}</style></head><body>
<h1>{{.Title}}</h1>
<p class="{{if .OK}}kept{{else}}broken{{end}}">{{.Verdict}}</p>
<p>{{.Plan}}; {{.Sidecars}} sidecars; judge: {{.Effect}}</p>
{{if .Lines}}<h2>Why</h2><ul>{{range .Lines}}<li>{{.Text}}</li>{{end}}</ul>{{end}}
<h2>Course</h2><table><tr><th>When (UTC)</th><th>Phase</th><th>Stage</th><th></th></tr>
{{range .Transitions}}<tr><td>{{moment .AtMillis}}</td><td>{{.Phase}}</td><td class="n">{{.Stage}}</td><td>{{.Reason}}</td></tr>{{end}}</table>
{{range .Stages}}<h2>Stage {{.Stage}}: new release and control group</h2>
<p>{{.Verdict}}</p>
<p>Changed: {{.Changed}}. {{if .Control}}Restarted with the old release as the control group: {{.Control}}.{{end}}</p>
{{range .Charts}}{{.}}{{end}}
<table><tr><th>Metric</th><th>Class</th><th>Zone</th><th>New</th><th>Control</th><th>Odds</th><th>Difference at most</th><th></th></tr>
{{range .Cells}}<tr{{if eq .Verdict "worse"}} class="broken"{{end}}><td>{{.Metric}}</td><td>{{.Class}}</td><td>{{.Zone}}</td><td class="n">{{rate .NewHits .NewTotal}}</td><td class="n">{{rate .ControlHits .ControlTotal}}</td><td class="n">{{printf "%.3g" .Odds}}</td><td class="n">{{printf "%.4f" .MaxDifference}}</td><td>{{.Verdict}}</td></tr>
{{end}}</table>{{end}}
<h2>Sidecars</h2><table><tr><th>Name</th><th>Zone</th><th>Stage</th><th>Release</th><th>Ready</th><th></th></tr>
{{range .All}}<tr><td>{{.Name}}</td><td>{{.Zone}}</td><td class="n">{{.Stage}}</td><td>{{.Release}}</td><td>{{.Ready}}</td><td>{{.AbandonedReason}}</td></tr>
{{end}}</table></body></html>
`))

// rate formats a rate with the total that it is a fraction of.
func rate(hits, total float64) string {
	if total == 0 {
		return "none"
	}
	return fmt.Sprintf("%.4f of %.0f", hits/total, total)
}

// stageView is the data of the page about a stage.
type stageView struct {
	rollout.StageResult
	Changed, Control string
	Charts           []template.HTML
}

// sidecarView is the data of the page about a sidecar.
type sidecarView struct {
	rollout.Sidecar
	Stage int
}

// WritePage writes a self-contained HTML page about a change: its state and the reasons for it, its transitions, and for each stage the
// comparison of the new release with the control group.
func WritePage(w io.Writer, c *rollout.Change) error {
	s := c.State
	stages := []stageView{}
	for _, r := range c.Results {
		view, err := newStageView(s, r)
		if err != nil {
			return err
		}
		stages = append(stages, view)
	}
	verdict := fmt.Sprintf("%v in stage %d of %d", s.Phase, s.Stage, len(s.Plan.Stages))
	if s.Reason != "" {
		verdict += ": " + s.Reason
	}
	sidecars := []sidecarView{}
	for _, sidecar := range s.Sidecars() {
		sidecars = append(sidecars, sidecarView{sidecar, s.StageOf(sidecar.Name)})
	}
	effect := fmt.Sprintf("smallest relevant difference of a rate %v, false stop rate %v, missed stop rate %v", s.Plan.Judge.MinEffect, s.Plan.Judge.FalseStopRate,
		s.Plan.Judge.MissedStopRate)
	if s.Plan.Judge.Disabled {
		effect = "none"
	}
	return page.Execute(w, map[string]any{
		"Title": fmt.Sprintf("Change %s of %s", c.Name, s.Plan.Application), "Style": chart.Style,
		"OK": s.Phase == rollout.Done || s.Phase == rollout.Running, "Verdict": verdict,
		"Plan": s.Plan.String(), "Sidecars": len(c.Members), "Effect": effect, "Lines": Explain(c),
		"Transitions": c.Transitions, "Stages": stages, "All": sidecars,
	})
}

// newStageView collects the names of a stage's sidecars and draws the charts of its metrics.
func newStageView(s *rollout.State, r rollout.StageResult) (stageView, error) {
	view := stageView{StageResult: r}
	var changed, control []string
	for _, sidecar := range s.Sidecars() {
		if s.StageOf(sidecar.Name) == r.Stage {
			changed = append(changed, sidecar.Name)
		}
		if sidecar.ControlStage == r.Stage {
			control = append(control, sidecar.Name)
		}
	}
	view.Changed, view.Control = strings.Join(changed, ", "), strings.Join(control, ", ")
	for _, metric := range metrics(r.Course) {
		drawn, err := draw(metric, r.Course)
		if err != nil {
			return view, err
		}
		view.Charts = append(view.Charts, drawn)
	}
	return view, nil
}

// metrics returns the sorted names of the metrics of a course.
func metrics(course []rollout.CourseSample) (names []string) {
	for _, sample := range course {
		for _, cell := range sample.Cells {
			if !slices.Contains(names, cell.Metric) {
				names = append(names, cell.Metric)
			}
		}
	}
	slices.Sort(names)
	return names
}

// totals are the sums of a metric over all cells of a sample.
type totals struct{ newHits, newTotal, controlHits, controlTotal float64 }

func totalsOf(sample rollout.CourseSample, metric string) (t totals) {
	for _, cell := range sample.Cells {
		if cell.Metric == metric {
			t.newHits += cell.NewHits
			t.newTotal += cell.NewTotal
			t.controlHits += cell.ControlHits
			t.controlTotal += cell.ControlTotal
		}
	}
	return t
}

// draw draws the chart of a metric, summed over its cells: the rates of the new release and of the control group between consecutive
// samples, over the time of the stage.
func draw(metric string, course []rollout.CourseSample) (template.HTML, error) {
	var newRates, controlRates plotter.XYs
	var previous totals
	for _, sample := range course {
		current := totalsOf(sample, metric)
		if current.newTotal < previous.newTotal || current.controlTotal < previous.controlTotal { // another driver or a pause has reset the counts
			previous = totals{}
		}
		seconds := sample.StageElapsed.Seconds()
		if n := current.newTotal - previous.newTotal; n > 0 {
			newRates = append(newRates, plotter.XY{X: seconds, Y: (current.newHits - previous.newHits) / n})
		}
		if n := current.controlTotal - previous.controlTotal; n > 0 {
			controlRates = append(controlRates, plotter.XY{X: seconds, Y: (current.controlHits - previous.controlHits) / n})
		}
		previous = current
	}
	p := chart.New("seconds of the stage", metric)
	p.Y.Min = 0
	if err := chart.Line(p, "new", chart.Red, newRates); err != nil {
		return "", err
	}
	if err := chart.Line(p, "control", chart.Blue, controlRates); err != nil {
		return "", err
	}
	return chart.SVG(p, 20, 5)
}
