package rehearse

import (
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"petrelhook/internal/common/chart"
	"petrelhook/internal/rig/load"
)

// Sizes of a plot on the page, in centimetres.
const (
	plotWidth  = 24
	plotHeight = 8
)

var faultShade = color.NRGBA{0x60, 0x60, 0x60, 0x30} // of faults

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title><style>{{.Style}}</style></head><body>
<h1>{{.Title}}</h1>
<p class="{{if .OK}}kept{{else}}broken{{end}}">{{.Verdict}}</p>
<h2>Rate, by when operations were due</h2>{{.Rate}}
<h2>Latency from when operations were due</h2>{{.Latency}}
<h2>Latency by percentile</h2>{{.Percentiles}}
{{if .Faults}}<h2>Faults (grey in the plots)</h2><ul>{{range .Faults}}<li>{{.}}</li>{{end}}</ul>{{end}}
<h2>Report</h2><pre>{{.Text}}</pre></body></html>
`))

// WritePage writes the report as one self-contained page of HTML.
func (r *Report) WritePage(w io.Writer) error {
	var text strings.Builder
	if err := r.WriteText(&text); err != nil {
		return err
	}
	verdict := "The load was sent as asked."
	switch {
	case r.Partial:
		verdict = "Stopped early: the figures cover a part of the scenario."
	case len(r.Invalid) > 0:
		verdict = "Not valid: " + strings.Join(r.Invalid, "; ")
	case r.Rules != nil && r.Rules.Kept:
		verdict = "No rule was broken."
	case r.Rules != nil:
		verdict = fmt.Sprintf("%d breaches of the rules.", len(r.Rules.Breaches))
	}
	var plots [3]template.HTML
	for i, drawn := range []func() (*plot.Plot, error){r.ratePlot, r.latencyPlot, r.percentilePlot} {
		p, err := drawn()
		if err != nil {
			return err
		}
		if plots[i], err = chart.SVG(p, plotWidth, plotHeight); err != nil {
			return err
		}
	}
	return page.Execute(w, map[string]any{
		"Style": chart.Style, "Title": "Rehearsal: " + r.Scenario, "OK": r.OK(), "Verdict": verdict, "Rate": plots[0], "Latency": plots[1],
		"Percentiles": plots[2], "Faults": r.Faults, "Text": text.String(),
	})
}

// shadeFaults shades the times of faults between two heights.
func (r *Report) shadeFaults(p *plot.Plot, low, high float64) error {
	end := time.Duration(len(r.timeline.Slices)) * r.timeline.Width
	for _, b := range mergeIntervals(r.faultIntervals) {
		from, to := b.from.Seconds(), math.Max(min(b.to, end).Seconds(), b.from.Seconds()+0.05)
		box, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: low}, {X: to, Y: low}, {X: to, Y: high}, {X: from, Y: high}})
		if err != nil {
			return err
		}
		box.Color, box.LineStyle.Width = faultShade, 0
		p.Add(box)
	}
	return nil
}

// mergeIntervals merges intervals that overlap. They are in order of their starts.
func mergeIntervals(bands []interval) (all []interval) {
	for _, b := range bands {
		if n := len(all); n > 0 && b.from <= all[n-1].to {
			all[n-1].to = max(all[n-1].to, b.to)
			continue
		}
		all = append(all, b)
	}
	return all
}

// sliceCentre is the middle of slice i, in seconds.
func (r *Report) sliceCentre(i int) float64 { return (float64(i) + 0.5) * r.timeline.Width.Seconds() }

// ratePlot draws the rates of operations by result.
func (r *Report) ratePlot() (*plot.Plot, error) {
	p := chart.New("s", "operations/s")
	series := []struct {
		name  string
		color color.Color
		count func(load.Counts) int
		line  plotter.XYs
	}{
		{"due", chart.Blue, load.Counts.All, nil},
		{"served", chart.Green, func(c load.Counts) int { return c.Served }, nil},
		{"refused", chart.Orange, func(c load.Counts) int { return c.Refused }, nil},
		{"failed, lost, unreached", chart.Red, func(c load.Counts) int { return c.Failed + c.Lost + c.Unreached }, nil},
	}
	top := 1.0
	for i, slice := range r.timeline.Slices {
		for k := range series {
			rate := float64(series[k].count(slice.Counts)) / r.timeline.Width.Seconds()
			series[k].line = append(series[k].line, plotter.XY{X: r.sliceCentre(i), Y: rate})
			top = math.Max(top, rate)
		}
	}
	if err := r.shadeFaults(p, 0, top); err != nil {
		return nil, err
	}
	for _, s := range series {
		if err := chart.Line(p, s.name, s.color, s.line); err != nil {
			return nil, err
		}
	}
	p.Y.Min, p.Y.Max = 0, legendHeadroom*top
	return p, nil
}

// legendHeadroom is the height of a plot in proportion to its highest value, to leave space for the legend.
const legendHeadroom = 1.5

// latencyPlot draws percentiles of latency, on a logarithmic scale.
func (r *Report) latencyPlot() (*plot.Plot, error) {
	p := chart.New("s", "ms")
	series := []struct {
		name     string
		color    color.Color
		quantile float64
		line     plotter.XYs
	}{{"p50", chart.Green, 50, nil}, {"p99", chart.Orange, 99, nil}, {"max", chart.Red, 100, nil}}
	low, high := math.Inf(1), 0.0
	for i, slice := range r.timeline.Slices {
		if slice.Latency.TotalCount() == 0 {
			continue
		}
		for k := range series {
			ms := math.Max(millis(load.Percentile(slice.Latency, series[k].quantile)), 1e-3)
			series[k].line = append(series[k].line, plotter.XY{X: r.sliceCentre(i), Y: ms})
			low, high = math.Min(low, ms), math.Max(high, ms)
		}
	}
	if high == 0 {
		low, high = 1, 10
	}
	if err := r.shadeFaults(p, low, high*1.01); err != nil {
		return nil, err
	}
	for _, s := range series {
		if err := chart.Line(p, s.name, s.color, s.line); err != nil {
			return nil, err
		}
	}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = low, 2*legendHeadroom*high // the scale is logarithmic
	return p, nil
}

// percentilePlot draws latency over 1/(1-percentile), so that each further nine takes the same width.
func (r *Report) percentilePlot() (*plot.Plot, error) {
	p := chart.New("percentile", "ms")
	var points plotter.XYs
	if r.overall.TotalCount() > 0 {
		end := math.Min(float64(r.overall.TotalCount()), 1e6)
		for x := 1.0; x <= end; x *= 1.1 {
			points = append(points, plotter.XY{X: x, Y: millis(load.Percentile(r.overall, 100*(1-1/x)))})
		}
	}
	if err := chart.Line(p, "all classes", chart.Blue, points); err != nil {
		return nil, err
	}
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.ConstantTicks{
		{Value: 1, Label: "0"}, {Value: 2, Label: "50"}, {Value: 10, Label: "90"}, {Value: 100, Label: "99"},
		{Value: 1e3, Label: "99.9"}, {Value: 1e4, Label: "99.99"}, {Value: 1e5, Label: "99.999"}, {Value: 1e6, Label: "99.9999"},
	}
	p.X.Min, p.X.Max = 1, math.Max(p.X.Max, 10)
	p.Y.Min = 0
	return p, nil
}
