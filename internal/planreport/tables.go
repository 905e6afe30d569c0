package planreport

import (
	"fmt"
	"io"
	"strings"

	"dapplefront/plan"
)

// Print writes a plan as tables: rates and utilization by step, explanations of infeasible steps, losses that leave demand
// unserved, the feasibility of the release's stages and, if hosts is set, the shares of all hosts.
func (r *Report) Print(w io.Writer, p *plan.Plan, hosts bool) error {
	m := p.Model()
	stages, err := p.CheckStages()
	if err != nil {
		return err
	}
	out := &printer{w: w}
	out.printf("plan for %d hosts in %s, %d steps\n\n", len(m.Hosts), strings.Join(zones(m), ", "), len(p.Steps))
	out.table(func(t *printer) { r.printSteps(t, p) })
	for _, s := range p.Steps {
		if s.Infeasible != nil {
			out.printf("\n%s: %s\n", r.Clock(s.At), s.Infeasible)
		}
	}
	r.printLosses(out, p)
	if len(stages) > 0 {
		out.printf("\nbuild %d, feasibility of each stage at each step:\n", m.Release.Build)
		out.table(func(t *printer) { r.printStages(t, p, stages) })
	}
	if hosts {
		out.printf("\n")
		out.table(func(t *printer) { r.printHosts(t, p) })
	}
	return out.err
}

func (r *Report) printSteps(t *printer, p *plan.Plan) {
	all := zones(p.Model())
	t.printf("time\tasked/s\tcrossing/s\tunserved/s\tcopies/s\t")
	for _, zone := range all {
		t.printf("use %s\t", zone)
	}
	t.printf("\n")
	for n, s := range p.Steps {
		t.printf("%s\t%.1f\t%.1f\t%.1f\t%.1f\t", r.Clock(s.At), plannedRate(p.Model(), n), s.CrossZoneRate(""), s.UnservedRate(), shadowRate(s))
		for _, zone := range all {
			t.printf("%.1f%%\t", 100*s.Utilization(zone))
		}
		t.printf("\n")
	}
}

func (r *Report) printLosses(out *printer, p *plan.Plan) {
	limits := p.Model().Limits
	if !limits.SurviveHostLoss && !limits.SurviveZoneLoss {
		return
	}
	losses := p.UnsurvivedLosses()
	if len(losses) == 0 {
		out.printf("\nat every step, all demand can be served after each loss that the plan must survive\n")
		return
	}
	for _, l := range losses {
		out.printf("\n%s: the loss of %s leaves %.4g requests/s unserved", r.Clock(p.Steps[l.Step].At), l.Lost, l.UnservedRate)
	}
	out.printf("\n")
}

func (r *Report) printStages(t *printer, p *plan.Plan, results []plan.StageFeasibility) {
	t.printf("stage\thosts\tcap\tcopies/s\tfits\tinfeasible at\t\n")
	for n, stage := range p.Model().Release.Stages {
		var infeasible []string
		hosts, shadows := 0, 0.0
		for _, f := range results {
			if f.Stage != n {
				continue
			}
			hosts, shadows = f.Hosts, max(shadows, f.PlannedRate)
			if !f.Feasible() {
				infeasible = append(infeasible, fmt.Sprintf("%s (%.4g/s unserved)", r.Clock(p.Steps[f.Step].At), f.UnservedRate))
			}
		}
		steps := len(p.Steps)
		t.printf("%d\t%d\t%.3g%%\t%.1f\t%d of %d\t%s\t\n", n+1, hosts, 100*stage.ShadowCap, shadows, steps-len(infeasible), steps, firstFew(infeasible))
	}
}

// firstFew joins the first few entries of a list and appends the number of the others.
func firstFew(all []string) string {
	const few = 3
	if len(all) == 0 {
		return "-"
	}
	if len(all) > few {
		return strings.Join(all[:few], ", ") + fmt.Sprintf(" and %d more", len(all)-few)
	}
	return strings.Join(all, ", ")
}

// printHosts writes each host's share of each zone's requests in each step.
func (r *Report) printHosts(t *printer, p *plan.Plan) {
	all := zones(p.Model())
	t.printf("time\thost\t")
	for _, zone := range all {
		t.printf("share of %s\t", zone)
	}
	t.printf("\n")
	for _, s := range p.Steps {
		for _, h := range p.Model().Hosts {
			t.printf("%s\t%s\t", r.Clock(s.At), h.Name)
			for _, zone := range all {
				share, _ := s.Share(zone, h.Name).Float64()
				t.printf("%.4f%%\t", 100*share)
			}
			t.printf("\n")
		}
	}
}

// PrintDiff writes the differences between two plans.
func (r *Report) PrintDiff(w io.Writer, changes []plan.Change) error {
	out := &printer{w: w}
	if len(changes) == 0 {
		out.printf("no difference\n")
		return out.err
	}
	out.table(func(t *printer) {
		t.printf("time\twhat\twhere\twas\tnow\t\n")
		for _, c := range changes {
			where := c.Zone
			if where == "" {
				where = "all"
			}
			format, was, now := "%.1f/s", c.Was, c.Now
			if c.Metric == "use" {
				format, was, now = "%.1f%%", 100*was, 100*now
			}
			t.printf("%s\t%s\t%s\t"+format+"\t"+format+"\t\n", r.Clock(c.At), c.Metric, where, was, now)
		}
	})
	return out.err
}
