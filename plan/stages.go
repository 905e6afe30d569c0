package plan

import "slices"

// StageFeasibility describes whether a stage of the release would be feasible during a step, with its hosts warmed up.
type StageFeasibility struct {
	Stage, Step  int     // indexes of the stage in the release and of the step in the forecast
	Hosts        int     // number of hosts that run the released build
	UnservedRate float64 // requests per second that the other hosts could not serve
	AllowedRate  float64 // shadow requests per second that the stage's cap allows
	PlannedRate  float64 // the part of AllowedRate that the stage's hosts could serve
}

// Feasible reports whether all demand could be served during the stage.
func (f StageFeasibility) Feasible() bool { return f.UnservedRate == 0 }

// CheckStages checks the feasibility of every stage of the release in every step. It returns nil if there is no release.
func (p *Plan) CheckStages() (out []StageFeasibility, err error) {
	m := p.model
	if m.Release == nil {
		return nil, nil
	}
	for stage := range m.Release.Stages {
		hosts := m.hostsInStage(stage)
		for step := range m.Forecast {
			out = append(out, m.checkStage(stage, step, slices.Clone(hosts)))
		}
	}
	return out, nil
}

func (m *Model) checkStage(stage, step int, hosts []Host) StageFeasibility {
	f := m.Forecast[step]
	result := StageFeasibility{Stage: stage, Step: step}
	for i := range hosts {
		if hosts[i].Build == m.Release.Build {
			hosts[i].StartsAt = f.At - m.Limits.SlowStart.Duration
			result.Hosts++
		}
	}
	s := m.newStep(f, hostCapacities(hosts, m.Limits, f.At, m.Release.Build))
	s.minimizeUnserved()
	s.planShadows(m, stage)
	result.UnservedRate = s.UnservedRate()
	for _, t := range s.Shadows {
		result.AllowedRate += t.AllowedRate
		result.PlannedRate += t.PlannedRate
	}
	return result
}
