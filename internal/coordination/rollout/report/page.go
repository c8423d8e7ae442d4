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
	"rate":    func(hit, of float64) string { return rate(hit, of) },
	"moment":  func(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05") },
	"seconds": func(d time.Duration) string { return d.Round(time.Second).String() },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title><style>{{.Style}}</style></head><body>
<h1>{{.Title}}</h1>
<p class="{{if .OK}}kept{{else}}broken{{end}}">{{.Verdict}}</p>
<p>{{.Plan}}; {{.Sidecars}} sidecars; what matters: {{.Effect}}</p>
{{if .Lines}}<h2>Why</h2><ul>{{range .Lines}}<li>{{.Text}}</li>{{end}}</ul>{{end}}
<h2>Course</h2><table><tr><th>When (UTC)</th><th>Phase</th><th>Stage</th><th></th></tr>
{{range .Transitions}}<tr><td>{{moment .AtMillis}}</td><td>{{.Phase}}</td><td class="n">{{.Stage}}</td><td>{{.Reason}}</td></tr>{{end}}</table>
{{range .Stages}}<h2>Stage {{.Stage}}: old against new</h2>
<p>{{.Verdict}}</p>
<p>Changed: {{.Changed}}. {{if .Control}}Restarted as they were, to compare with: {{.Control}}.{{end}}</p>
{{range .Charts}}{{.}}{{end}}
<table><tr><th>Metric</th><th>Class</th><th>Zone</th><th>New</th><th>Control</th><th>Odds</th><th>At most more</th><th></th></tr>
{{range .Cells}}<tr{{if eq .Verdict "worse"}} class="broken"{{end}}><td>{{.Metric}}</td><td>{{.Class}}</td><td>{{.Zone}}</td><td class="n">{{rate .NewHits .NewTotal}}</td><td class="n">{{rate .ControlHits .ControlTotal}}</td><td class="n">{{printf "%.3g" .Odds}}</td><td class="n">{{printf "%.4f" .MaxDifference}}</td><td>{{.Verdict}}</td></tr>
{{end}}</table>{{end}}
<h2>Sidecars</h2><table><tr><th>Name</th><th>Zone</th><th>Stage</th><th>Release</th><th>Ready</th><th></th></tr>
{{range .All}}<tr><td>{{.Name}}</td><td>{{.Zone}}</td><td class="n">{{.Stage}}</td><td>{{.Release}}</td><td>{{.Ready}}</td><td>{{.AbandonedReason}}</td></tr>
{{end}}</table></body></html>
`))

func rate(hit, of float64) string {
	if of == 0 {
		return "none"
	}
	return fmt.Sprintf("%.4f of %.0f", hit/of, of)
}

// stageView is what the page shows of one.
type stageView struct {
	rollout.StageResult
	Changed, Control string
	Charts           []template.HTML
}

type sidecarView struct {
	rollout.Sidecar
	Stage int
}

// WritePage writes a change as one page of HTML that needs nothing else: the moment and the cause of its end, and new against old in
// each stage.
func WritePage(w io.Writer, c *rollout.Change) error {
	s := c.State
	stages := []stageView{}
	for _, r := range c.Results {
		one := stageView{StageResult: r}
		var changed, control []string
		for _, side := range s.Sidecars() {
			if s.StageOf(side.Name) == r.Stage {
				changed = append(changed, side.Name)
			}
			if side.ControlStage == r.Stage {
				control = append(control, side.Name)
			}
		}
		one.Changed, one.Control = strings.Join(changed, ", "), strings.Join(control, ", ")
		for _, metric := range metrics(r.Course) {
			drawn, err := draw(metric, r.Course)
			if err != nil {
				return err
			}
			one.Charts = append(one.Charts, drawn)
		}
		stages = append(stages, one)
	}
	verdict := fmt.Sprintf("%v in stage %d of %d", s.Phase, s.Stage, len(s.Plan.Stages))
	if s.Reason != "" {
		verdict += ": " + s.Reason
	}
	all := []sidecarView{}
	for _, side := range s.Sidecars() {
		all = append(all, sidecarView{side, s.StageOf(side.Name)})
	}
	effect := fmt.Sprintf("a difference of %v of a rate, false stops %v, missed stops %v", s.Plan.Judge.MinEffect, s.Plan.Judge.FalseStopRate, s.Plan.Judge.MissedStopRate)
	if s.Plan.Judge.Disabled {
		effect = "the plan has no judge"
	}
	return page.Execute(w, map[string]any{
		"Title": fmt.Sprintf("Change %s of %s", c.Name, s.Plan.Application), "Style": chart.Style, "OK": s.Phase == rollout.Done || s.Phase == rollout.Running, "Verdict": verdict,
		"Plan": s.Plan.String(), "Sidecars": len(c.Members), "Effect": effect, "Lines": Explain(c), "Transitions": c.Transitions, "Stages": stages, "All": all,
	})
}

// metrics are those that a course tells of.
func metrics(course []rollout.CourseSample) (all []string) {
	for _, p := range course {
		for _, k := range p.Cells {
			if !slices.Contains(all, k.Metric) {
				all = append(all, k.Metric)
			}
		}
	}
	slices.Sort(all)
	return all
}

// draw is a metric of all classes together over a stage's time: its rate from point to point, new and control.
func draw(metric string, course []rollout.CourseSample) (template.HTML, error) {
	var new, control plotter.XYs
	var last [4]float64
	for _, p := range course {
		var now [4]float64
		for _, k := range p.Cells {
			if k.Metric == metric {
				for i, v := range []float64{k.NewHits, k.NewTotal, k.ControlHits, k.ControlTotal} {
					now[i] += v
				}
			}
		}
		was := last
		if last = now; now[1] < was[1] || now[3] < was[3] { // counted anew: by another driver, or after a pause
			was = [4]float64{}
		}
		if of := now[1] - was[1]; of > 0 {
			new = append(new, plotter.XY{X: p.StageElapsed.Seconds(), Y: (now[0] - was[0]) / of})
		}
		if of := now[3] - was[3]; of > 0 {
			control = append(control, plotter.XY{X: p.StageElapsed.Seconds(), Y: (now[2] - was[2]) / of})
		}
	}
	p := chart.New("seconds of the stage", metric)
	p.Y.Min = 0
	if err := chart.Line(p, "new", chart.Red, new); err != nil {
		return "", err
	}
	if err := chart.Line(p, "control", chart.Blue, control); err != nil {
		return "", err
	}
	return chart.SVG(p, 20, 5)
}
