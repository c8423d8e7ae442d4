package rehearse

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"petrelhook/internal/rig/load"
)

// Sizes of a plot on the page.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

var (
	green  = color.RGBA{0x2a, 0x7f, 0x3b, 0xff}
	orange = color.RGBA{0xd9, 0x8b, 0x1a, 0xff}
	red    = color.RGBA{0xb8, 0x2a, 0x2a, 0xff}
	blue   = color.RGBA{0x2a, 0x55, 0xa0, 0xff}
	shade  = color.NRGBA{0x60, 0x60, 0x60, 0x30} // of a fault band
)

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title><style>
body{font:15px/1.45 system-ui,sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}
pre{overflow-x:auto;background:#f6f6f4;padding:1em} svg{max-width:100%;height:auto}
.kept{color:#2a7f3b}.broken{color:#b82a2a}</style></head><body>
<h1>{{.Title}}</h1>
<p class="{{if .OK}}kept{{else}}broken{{end}}">{{.Verdict}}</p>
<h2>Rate, by when operations were due</h2>{{.Rate}}
<h2>Latency from when operations were due</h2>{{.Latency}}
<h2>Latency by percentile</h2>{{.Percentiles}}
{{if .Faults}}<h2>Faults (grey in the plots)</h2><ul>{{range .Faults}}<li>{{.}}</li>{{end}}</ul>{{end}}
<h2>Report</h2><pre>{{.Text}}</pre></body></html>
`))

// WritePage writes the report as one page of HTML that needs nothing else.
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
		if plots[i], err = svg(p); err != nil {
			return err
		}
	}
	return page.Execute(w, map[string]any{
		"Title": "Rehearsal: " + r.Scenario, "OK": r.OK(), "Verdict": verdict, "Rate": plots[0], "Latency": plots[1],
		"Percentiles": plots[2], "Faults": r.Faults, "Text": text.String(),
	})
}

func svg(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	_, body, _ := strings.Cut(b.String(), "<svg") // without the XML prologue
	return template.HTML("<svg" + body), nil      // made here, of numbers and the scenario's escaped words
}

func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// shadeFaults draws the times in which any fault was on, up to a height.
func (r *Report) shadeFaults(p *plot.Plot, low, high float64) error {
	end := time.Duration(len(r.course.Slices)) * r.course.Width
	for _, b := range merged(r.faultBands) {
		from, to := b.from.Seconds(), math.Max(min(b.to, end).Seconds(), b.from.Seconds()+0.05)
		box, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: low}, {X: to, Y: low}, {X: to, Y: high}, {X: from, Y: high}})
		if err != nil {
			return err
		}
		box.Color, box.LineStyle.Width = shade, 0
		p.Add(box)
	}
	return nil
}

// merged is bands, in order of their begins, with those that overlap made one.
func merged(bands []band) (all []band) {
	for _, b := range bands {
		if n := len(all); n > 0 && b.from <= all[n-1].to {
			all[n-1].to = max(all[n-1].to, b.to)
			continue
		}
		all = append(all, b)
	}
	return all
}

func addLine(p *plot.Plot, name string, c color.Color, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = c, vg.Points(1.2)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// at is the middle of a slice, in seconds.
func (r *Report) at(i int) float64 { return (float64(i) + 0.5) * r.course.Width.Seconds() }

func (r *Report) ratePlot() (*plot.Plot, error) {
	p := newPlot("s", "operations/s")
	series := []struct {
		name  string
		color color.Color
		count func(load.Counts) int
		line  plotter.XYs
	}{
		{"due", blue, load.Counts.All, nil},
		{"served", green, func(c load.Counts) int { return c.Served }, nil},
		{"refused", orange, func(c load.Counts) int { return c.Refused }, nil},
		{"failed, lost, unreached", red, func(c load.Counts) int { return c.Failed + c.Lost + c.Unreached }, nil},
	}
	top := 1.0
	for i, slice := range r.course.Slices {
		for k := range series {
			rate := float64(series[k].count(slice.Counts)) / r.course.Width.Seconds()
			series[k].line = append(series[k].line, plotter.XY{X: r.at(i), Y: rate})
			top = math.Max(top, rate)
		}
	}
	if err := r.shadeFaults(p, 0, top); err != nil {
		return nil, err
	}
	for _, s := range series {
		if err := addLine(p, s.name, s.color, s.line); err != nil {
			return nil, err
		}
	}
	p.Y.Min, p.Y.Max = 0, legendRoom*top
	return p, nil
}

// legendRoom is how much higher a plot is than what it shows, for the legend.
const legendRoom = 1.5

func (r *Report) latencyPlot() (*plot.Plot, error) {
	p := newPlot("s", "ms")
	series := []struct {
		name     string
		color    color.Color
		quantile float64
		line     plotter.XYs
	}{{"p50", green, 50, nil}, {"p99", orange, 99, nil}, {"max", red, 100, nil}}
	low, high := math.Inf(1), 0.0
	for i, slice := range r.course.Slices {
		if slice.Latency.TotalCount() == 0 {
			continue
		}
		for k := range series {
			ms := math.Max(millis(load.Percentile(slice.Latency, series[k].quantile)), 1e-3)
			series[k].line = append(series[k].line, plotter.XY{X: r.at(i), Y: ms})
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
		if err := addLine(p, s.name, s.color, s.line); err != nil {
			return nil, err
		}
	}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = low, 2*legendRoom*high // the scale is logarithmic
	return p, nil
}

// percentilePlot draws latency over 1/(1-percentile), so that each further nine takes as much room.
func (r *Report) percentilePlot() (*plot.Plot, error) {
	p := newPlot("percentile", "ms")
	var points plotter.XYs
	if r.overall.TotalCount() > 0 {
		most := math.Min(float64(r.overall.TotalCount()), 1e6)
		for x := 1.0; x <= most; x *= 1.1 {
			points = append(points, plotter.XY{X: x, Y: millis(load.Percentile(r.overall, 100*(1-1/x)))})
		}
	}
	if err := addLine(p, "all classes", blue, points); err != nil {
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
