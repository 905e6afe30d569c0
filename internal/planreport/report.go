package planreport

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dapplefront/internal/inifile"
	"dapplefront/plan"
)

// Report holds the model that is read from a file, and writes plans for it.
type Report struct {
	Model *plan.Model
	Start time.Duration // time of day at which the plan starts
}

// Read reads and validates a file. Its errors name the file and, for an error at a certain line, the line.
func Read(file string) (*Report, error) {
	f := inifile.Read(file)
	r := FromFile(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	if err := r.Model.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return r, nil
}

// Clock returns a time relative to the plan's start as a time of day.
func (r *Report) Clock(at time.Duration) string {
	const day = 24 * time.Hour
	t := (r.Start + at) % day
	if t%time.Minute != 0 {
		return fmt.Sprintf("%02d:%02d:%02d", int(t.Hours()), int(t.Minutes())%60, int(t.Seconds())%60)
	}
	return fmt.Sprintf("%02d:%02d", int(t.Hours()), int(t.Minutes())%60)
}

// zones returns the names of all zones of a model, sorted.
func zones(m *plan.Model) []string {
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

// plannedRate returns the demand that a step is planned for, in requests per second.
func plannedRate(m *plan.Model, step int) (rate float64) {
	for _, d := range m.Forecast[step].Demand {
		rate += max(0, d.Rate+m.Limits.StdDevs*d.StdDev)
	}
	return rate
}

// shadowRate returns the planned rate of shadow requests in a step, in requests per second.
func shadowRate(s *plan.Step) (rate float64) {
	for _, t := range s.Shadows {
		rate += t.PlannedRate
	}
	return rate
}
