package planreport

import (
	"errors"
	"fmt"
	"io"
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

// Plot writes plots of a plan to an .svg or .png file: the utilization by zone, the request rates and, if the model has a
// release, the unserved request rate for each stage, all of them by step.
func (r *Report) Plot(file string, p *plan.Plan) error {
	plots, err := r.plots(p)
	if err != nil {
		return err
	}
	width, height := plotWidth, vg.Length(len(plots))*plotHeight
	var canvas vg.CanvasSizer
	var write func(io.Writer) error
	switch ending := strings.ToLower(filepath.Ext(file)); ending {
	case ".svg":
		c := vgsvg.New(width, height)
		canvas, write = c, func(w io.Writer) error { _, err := c.WriteTo(w); return err }
	case ".png":
		c := vgimg.New(width, height)
		canvas, write = c, func(w io.Writer) error { _, err := vgimg.PngCanvas{Canvas: c}.WriteTo(w); return err }
	default:
		return fmt.Errorf("%s: a file name that ends with .svg or .png expected, not %q", file, ending)
	}
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: 5 * vg.Millimeter}
	for i, c := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[i][0].Draw(c[0])
	}
	return writeFile(file, write)
}

// Size of each plot.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

func writeFile(file string, write func(io.Writer) error) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

// plots returns the plots, one per row.
func (r *Report) plots(p *plan.Plan) ([][]*plot.Plot, error) {
	utilization, err := utilizationPlot(p)
	if err != nil {
		return nil, err
	}
	rates, err := ratePlot(p)
	if err != nil {
		return nil, err
	}
	plots := [][]*plot.Plot{{utilization}, {rates}}
	if p.Model().Release != nil {
		stages, err := stagePlot(p)
		if err != nil {
			return nil, err
		}
		plots = append(plots, []*plot.Plot{stages})
	}
	return plots, nil
}

// stepPlot returns a plot with one line per name over the steps.
func stepPlot(title, unit string, p *plan.Plan, names []string, value func(name string, step int) float64) (*plot.Plot, error) {
	const legendSpace = 1.25 // upper end of the Y axis as a multiple of the largest value; the legend is above the lines
	g := plot.New()
	g.Title.Text, g.Y.Label.Text, g.X.Label.Text = title, unit, "hours from the plan's start"
	g.Legend.Top = true
	for i, name := range names {
		var points plotter.XYs
		for n, s := range p.Steps {
			points = append(points, plotter.XY{X: s.At.Hours(), Y: value(name, n)})
		}
		if n := len(p.Steps); n > 1 { // the last step is drawn with the length of the step before
			points = append(points, plotter.XY{X: 2*points[n-1].X - points[n-2].X, Y: points[n-1].Y})
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		l.StepStyle, l.Color, l.Dashes, l.Width = plotter.PostStep, plotutil.Color(i), plotutil.Dashes(i/7), vg.Points(1.5)
		g.Add(l)
		g.Legend.Add(name, l)
	}
	g.Add(plotter.NewGrid())
	if g.Y.Min = 0; g.Y.Max <= 0 {
		g.Y.Max = 1
	}
	g.Y.Max *= legendSpace
	return g, nil
}

func utilizationPlot(p *plan.Plan) (*plot.Plot, error) {
	return stepPlot("Utilization of the hosts' capacity without the reserve", "%", p, zones(p.Model()), func(zone string, step int) float64 {
		return 100 * p.Steps[step].Utilization(zone)
	})
}

func ratePlot(p *plan.Plan) (*plot.Plot, error) {
	return stepPlot("Request rates", "tasks/s", p, []string{"asked", "crossing", "unserved", "copies"}, func(name string, step int) float64 {
		s := p.Steps[step]
		switch name {
		case "asked":
			return plannedRate(p.Model(), step)
		case "crossing":
			return s.CrossZoneRate("")
		case "unserved":
			return s.UnservedRate()
		}
		return shadowRate(s)
	})
}

func stagePlot(p *plan.Plan) (*plot.Plot, error) {
	results, err := p.CheckStages()
	if err != nil {
		return nil, err
	}
	var names []string
	unserved := map[string]map[int]float64{} // by stage name and step
	for n := range p.Model().Release.Stages {
		name := fmt.Sprintf("stage %d", n+1)
		names = append(names, name)
		unserved[name] = map[int]float64{}
		for _, f := range results {
			if f.Stage == n {
				unserved[name][f.Step] = f.UnservedRate
			}
		}
	}
	return stepPlot("Unserved requests by stage of the release", "tasks/s", p, names, func(name string, step int) float64 {
		return unserved[name][step]
	})
}
