package planreport

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"dapplefront/plan"
)

// places are all locations of a model, by name.
func places(m *plan.Model) []string {
	all := map[string]bool{}
	for _, h := range m.Hosts {
		all[h.Zone] = true
	}
	for _, f := range m.Forecast {
		for _, d := range f.Demand {
			all[d.Zone] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// Print writes a plan as tables: shares and uses by step, what does not fit and why, losses, stages.
func (o *Report) Print(w io.Writer, p *plan.Plan, hosts bool) error {
	m := p.Model()
	all := places(m)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "plan for %d hosts in %s, %d steps\n\n", len(m.Hosts), strings.Join(all, ", "), len(p.Steps))
	fmt.Fprintf(t, "time\tasked/s\tcrossing/s\tunserved/s\tcopies/s\t")
	for _, x := range all {
		fmt.Fprintf(t, "use %s\t", x)
	}
	fmt.Fprintln(t)
	for n, s := range p.Steps {
		asked, copies := 0.0, 0.0
		for _, d := range m.Forecast[n].Demand {
			asked += max(0, d.Rate+m.Limits.StdDevs*d.StdDev)
		}
		for _, c := range s.Shadows {
			copies += c.PlannedRate
		}
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t", o.Clock(s.At), asked, s.CrossZoneRate(""), s.UnservedRate(), copies)
		for _, x := range all {
			fmt.Fprintf(t, "%.1f%%\t", 100*s.Utilization(x))
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, s := range p.Steps {
		if s.Infeasible != nil {
			fmt.Fprintf(w, "\n%s: %s\n", o.Clock(s.At), s.Infeasible)
		}
	}
	o.losses(w, p)
	if err := o.stages(w, p); err != nil {
		return err
	}
	if hosts {
		return o.hostTable(w, p)
	}
	return nil
}

func (o *Report) losses(w io.Writer, p *plan.Plan) {
	b := p.Model().Limits
	if !b.SurviveHostLoss && !b.SurviveZoneLoss {
		return
	}
	lost := p.UnsurvivedLosses()
	if len(lost) == 0 {
		fmt.Fprintln(w, "\nevery loss asked for is survived at every step")
	}
	for _, l := range lost {
		fmt.Fprintf(w, "\n%s: the loss of %s is not survived: %.4g tasks a second unserved", o.Clock(p.Steps[l.Step].At), l.Lost, l.UnservedRate)
	}
	if len(lost) > 0 {
		fmt.Fprintln(w)
	}
}

func (o *Report) stages(w io.Writer, p *plan.Plan) error {
	fits, err := p.CheckStages()
	if err != nil || len(fits) == 0 {
		return err
	}
	r := p.Model().Release
	fmt.Fprintf(w, "\nbuild %d, stage by stage, were it to stand at each step:\n", r.Build)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "stage\thosts\tcap\tcopies/s\tfits\tdoes not fit at\t")
	for n, s := range r.Stages {
		var not []string
		count, copies := 0, 0.0
		for _, f := range fits {
			if f.Stage != n {
				continue
			}
			count, copies = f.Hosts, max(copies, f.PlannedRate)
			if !f.Feasible() {
				not = append(not, fmt.Sprintf("%s (%.4g/s unserved)", o.Clock(p.Steps[f.Step].At), f.UnservedRate))
			}
		}
		all := len(p.Steps)
		fmt.Fprintf(t, "%d\t%d\t%.3g%%\t%.1f\t%d of %d\t%s\t\n", n+1, count, 100*s.ShadowCap, copies, all-len(not), all, shorten(not))
	}
	return t.Flush()
}

// shorten names the first few.
func shorten(all []string) string {
	const few = 3
	if len(all) == 0 {
		return "-"
	}
	if len(all) > few {
		return strings.Join(all[:few], ", ") + fmt.Sprintf(" and %d more", len(all)-few)
	}
	return strings.Join(all, ", ")
}

// hostTable writes each host's share of each location's tasks at each step.
func (o *Report) hostTable(w io.Writer, p *plan.Plan) error {
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	all := places(p.Model())
	fmt.Fprintf(t, "time\thost\t")
	for _, x := range all {
		fmt.Fprintf(t, "of %s\t", x)
	}
	fmt.Fprintln(t)
	for _, s := range p.Steps {
		for _, h := range p.Model().Hosts {
			fmt.Fprintf(t, "%s\t%s\t", o.Clock(s.At), h.Name)
			for _, x := range all {
				v, _ := s.Share(x, h.Name).Float64()
				fmt.Fprintf(t, "%.4f%%\t", 100*v)
			}
			fmt.Fprintln(t)
		}
	}
	return t.Flush()
}

// PrintDiff writes what differs between two plans.
func (o *Report) PrintDiff(w io.Writer, changes []plan.Change) error {
	if len(changes) == 0 {
		_, err := fmt.Fprintln(w, "no difference")
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "time\twhat\twhere\twas\tnow\t")
	for _, c := range changes {
		where, form := c.Zone, "%.1f/s"
		if where == "" {
			where = "all"
		}
		was, now := c.Was, c.Now
		if c.Metric == "use" {
			form, was, now = "%.1f%%", 100*was, 100*now
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t"+form+"\t"+form+"\t\n", o.Clock(c.At), c.Metric, where, was, now)
	}
	return t.Flush()
}
