package planreport

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"dapplefront/plan"
)

// Plot draws a plan into a file, .svg or .png: use by location and time, tasks asked, crossing and unserved, and, with a
// release, how much of each step's demand each stage would leave unserved.
func (o *Report) Plot(file string, p *plan.Plan) error {
	use, err := o.usePlot(p)
	if err != nil {
		return err
	}
	flow, err := o.flowPlot(p)
	if err != nil {
		return err
	}
	all := [][]*plot.Plot{{use}, {flow}}
	if p.Model().Release != nil {
		stages, err := o.stagePlot(p)
		if err != nil {
			return err
		}
		all = append(all, []*plot.Plot{stages})
	}
	width, height := 22*vg.Centimeter, vg.Length(len(all))*8*vg.Centimeter
	var canvas vg.CanvasSizer
	var write func(*os.File) error
	switch ending := strings.ToLower(filepath.Ext(file)); ending {
	case ".svg":
		c := vgsvg.New(width, height)
		canvas, write = c, func(f *os.File) error { _, err := c.WriteTo(f); return err }
	case ".png":
		c := vgimg.New(width, height)
		canvas, write = c, func(f *os.File) error { _, err := vgimg.PngCanvas{Canvas: c}.WriteTo(f); return err }
	default:
		return fmt.Errorf("%s: a picture ends with .svg or .png, not %q", file, ending)
	}
	tiles := draw.Tiles{Rows: len(all), Cols: 1, PadY: 5 * vg.Millimeter}
	for i, c := range plot.Align(all, tiles, draw.New(canvas)) {
		all[i][0].Draw(c[0])
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// lines draws one line for each name over the steps.
func (o *Report) lines(title, unit string, p *plan.Plan, names []string, value func(name string, step int) float64) (*plot.Plot, error) {
	g := plot.New()
	g.Title.Text, g.Y.Label.Text, g.X.Label.Text = title, unit, "hours from the plan's start"
	g.Legend.Top = true
	for i, name := range names {
		var at plotter.XYs
		for n, s := range p.Steps {
			at = append(at, plotter.XY{X: s.At.Hours(), Y: value(name, n)})
		}
		if n := len(p.Steps); n > 1 { // the last step lasts as long as the one before
			at = append(at, plotter.XY{X: 2*at[n-1].X - at[n-2].X, Y: at[n-1].Y})
		}
		l, err := plotter.NewLine(at)
		if err != nil {
			return nil, err
		}
		l.StepStyle, l.Color, l.Dashes, l.Width = plotter.PostStep, plotutil.Color(i), plotutil.Dashes(i/7), vg.Points(1.5)
		g.Add(l)
		g.Legend.Add(name, l)
	}
	g.Add(plotter.NewGrid())
	const above = 1.25 // room for the legend
	if g.Y.Min = 0; g.Y.Max <= 0 {
		g.Y.Max = 1
	}
	g.Y.Max *= above
	return g, nil
}

func (o *Report) usePlot(p *plan.Plan) (*plot.Plot, error) {
	return o.lines("Use of what hosts can do, less the reserve", "%", p, places(p.Model()), func(name string, n int) float64 {
		return 100 * p.Steps[n].Utilization(name)
	})
}

func (o *Report) flowPlot(p *plan.Plan) (*plot.Plot, error) {
	return o.lines("Tasks a second", "tasks/s", p, []string{"asked", "crossing", "unserved", "copies"}, func(name string, n int) (v float64) {
		switch s := p.Steps[n]; name {
		case "asked":
			for _, d := range p.Model().Forecast[n].Demand {
				v += max(0, d.Rate+p.Model().Limits.StdDevs*d.StdDev)
			}
		case "crossing":
			v = s.CrossZoneRate("")
		case "unserved":
			v = s.UnservedRate()
		case "copies":
			for _, c := range s.Shadows {
				v += c.PlannedRate
			}
		}
		return v
	})
}

func (o *Report) stagePlot(p *plan.Plan) (*plot.Plot, error) {
	fits, err := p.CheckStages()
	if err != nil {
		return nil, err
	}
	var names []string
	for n := range p.Model().Release.Stages {
		names = append(names, fmt.Sprintf("stage %d", n+1))
	}
	return o.lines("Unserved, were a stage to stand", "tasks/s", p, names, func(name string, n int) float64 {
		for _, f := range fits {
			if f.Step == n && fmt.Sprintf("stage %d", f.Stage+1) == name {
				return f.UnservedRate
			}
		}
		return 0
	})
}
