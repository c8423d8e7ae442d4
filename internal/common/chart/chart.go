// Package chart draws plots as SVG for self-contained HTML pages, without scripts or other files. Its functions do no input or
// output.
package chart

import (
	"bytes"
	"html/template"
	"image/color"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Colours that can be told apart on a white background.
var (
	Green  = color.RGBA{0x2a, 0x7f, 0x3b, 0xff}
	Orange = color.RGBA{0xd9, 0x8b, 0x1a, 0xff}
	Red    = color.RGBA{0xb8, 0x2a, 0x2a, 0xff}
	Blue   = color.RGBA{0x2a, 0x55, 0xa0, 0xff}
)

// Style is the style sheet of the pages. The class kept marks a rule that was observed, broken a rule that was violated, and n a
// number in a table.
const Style = template.CSS(`
body{font:15px/1.45 system-ui,sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}
pre{overflow-x:auto;background:#f6f6f4;padding:1em} svg{max-width:100%;height:auto}
.kept{color:#2a7f3b}.broken{color:#b82a2a}
table{border-collapse:collapse}td,th{text-align:left;padding:.15em .8em .15em 0;border-bottom:1px solid #ddd;vertical-align:top}
td.n{text-align:right;font-variant-numeric:tabular-nums}`)

// New returns an empty plot with a grid, and with x and y as the labels of its axes.
func New(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// Line adds a line through the points, with its name in the legend. Without points it adds nothing.
func Line(p *plot.Plot, name string, c color.Color, points plotter.XYs) error {
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

// SVG returns a plot as an svg element for HTML. The size is in centimetres. The texts of the plot are escaped.
func SVG(p *plot.Plot, width, height float64) (template.HTML, error) {
	canvas := vgsvg.New(vg.Length(width)*vg.Centimeter, vg.Length(height)*vg.Centimeter)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	_, body, _ := strings.Cut(b.String(), "<svg") // without the XML prologue
	return template.HTML("<svg" + body), nil
}
