package planreport

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"dapplefront/internal/inifile"
	"dapplefront/plan"
	"dapplefront/policy"
)

// defaultAge is the default age of hosts at the plan's start: long enough to have warmed up.
const defaultAge = 30 * 24 * time.Hour

// FromFile reads a report from a parsed file. Errors are added to the file.
func FromFile(f *inifile.File) *Report {
	settings := f.Section("plan")
	r := &Report{Model: &plan.Model{}, Start: timeOfDay(settings, "start", "00:00")}
	r.readSteps(settings)
	classes, names := f.Sections("category")
	for i, c := range classes {
		r.readClass(c, names[i])
	}
	if len(classes) == 0 {
		settings.AddError("", "a section [category NAME] is missing")
	}
	groups, names := f.Sections("hosts")
	for i, g := range groups {
		r.readHosts(g, names[i])
	}
	if len(groups) == 0 {
		settings.AddError("", "a section [hosts NAME] is missing")
	}
	demands, names := f.Sections("demand")
	for i, d := range demands {
		r.readDemand(d, names[i])
	}
	r.readLimits(f.Section("bounds"))
	if release := f.Section("release"); release.Has() {
		r.readRelease(release)
	}
	return r
}

func (r *Report) readSteps(s inifile.Section) {
	steps, step := s.Int("steps", "1", 1, 1000), s.Duration("step", "1h")
	if step <= 0 {
		s.AddError("step", "step: above 0 expected")
		step = time.Hour
	}
	for n := range steps {
		r.Model.Forecast = append(r.Model.Forecast, plan.Forecast{At: time.Duration(n) * step})
	}
}

// idempotencies maps the values of the key "repeat". The value "retriable" is not listed: it means Idempotent, the zero value.
var idempotencies = map[string]policy.Idempotency{"fingerprinted": policy.IdempotentWithKey, "binding": policy.NonIdempotent}

func (r *Report) readClass(s inifile.Section, name string) {
	c := plan.Class{
		Name: name, Work: s.Duration("work", "!").Seconds(),
		Idempotency:    idempotencies[s.OneOf("repeat", "!", "retriable", "fingerprinted", "binding")],
		PriorityWeight: s.Float("earnings", "1", 0, 1e7),
	}
	r.Model.Classes = append(r.Model.Classes, c)
	if c.Work == 0 && s.Text("work", "0") != "" {
		s.AddError("work", "work: above 0 expected")
	}
}

// readHosts reads a group of hosts with the same settings.
func (r *Report) readHosts(s inifile.Section, name string) {
	h := plan.Host{Zone: s.Text("location", name), Build: s.Int("build", "1", 1, 65535), Weight: s.Float("size", "1", 1e-6, 1e7),
		MaxRate: s.Float("most", "0", 0, 1e7), DrainsAt: s.Duration("leaves", "0s")}
	count := s.Int("count", "1", 0, 100_000)
	ago, in := s.Duration("started", defaultAge.String()), s.Duration("starts", "0s")
	h.StartsAt = -ago
	if s.Text("starts", "-") != "-" {
		if s.Text("started", "-") != "-" {
			s.AddError("starts", "started (time before the plan's start) or starts (time after the plan's start) expected, not both")
		}
		h.StartsAt = in
	}
	for n := range count {
		h.Name = fmt.Sprintf("%s-%d", name, n+1)
		if count == 1 {
			h.Name = name
		}
		r.Model.Hosts = append(r.Model.Hosts, h)
	}
}

// readDemand reads request rates by class: one figure for all steps, or one for each step.
func (r *Report) readDemand(s inifile.Section, zone string) {
	spread := s.Share("spread", "0%")
	for _, c := range r.Model.Classes {
		figures := s.List(c.Name, "0")
		if len(figures) != 1 && len(figures) != len(r.Model.Forecast) {
			s.AddError(c.Name, "%s: one figure, or one for each of %d steps expected, not %d", c.Name, len(r.Model.Forecast), len(figures))
			continue
		}
		for n := range r.Model.Forecast {
			text := figures[min(n, len(figures)-1)]
			rate, err := strconv.ParseFloat(text, 64)
			if err != nil || !(rate >= 0 && rate <= 1e7) {
				s.AddError(c.Name, "%s: %s: requests per second from 0 to 10 million expected", c.Name, text)
				break
			}
			f := &r.Model.Forecast[n]
			f.Demand = append(f.Demand, plan.Demand{Zone: zone, Class: c.Name, Rate: rate, StdDev: spread * rate})
		}
	}
}

func (r *Report) readLimits(s inifile.Section) {
	r.Model.Limits = plan.Limits{
		Reserve:          s.Share("reserve", "0%"),
		MaxCrossZone:     s.Share("cross", "100%"),
		CrossZonePrice:   s.Float("cross-price", "0.02", 0, 1e7),
		MaxZoneImbalance: s.Float("between", "0", 0, 1000),
		MaxHostImbalance: s.Float("within", "0", 0, 1000),
		StdDevs:          s.Float("spreads", "0", -10, 10),
		SurviveHostLoss:  s.Bool("lose-host", "off"),
		SurviveZoneLoss:  s.Bool("lose-location", "off"),
		SlowStart: plan.SlowStart{
			Duration:        s.Duration("cold", "5s"),
			InitialCapacity: s.Share("cold-share", "33%"),
			MaxRequests:     s.Float("cold-tasks", "0", 0, 1e7),
			Window:          s.Duration("cold-window", "2s"),
		},
	}
	if r.Model.Limits.Reserve > .99 {
		s.AddError("reserve", "reserve: at most 99%% expected")
	}
}

func (r *Report) readRelease(s inifile.Section) {
	out := &plan.Release{Build: s.Int("build", "!", 1, 65535), GuardedStages: s.Int("guarded-stages", "1", 0, 100),
		CapPerClass: s.Bool("by-category", "off"), SideBySide: s.Bool("beside", "off"), ReleasedAt: s.Duration("released", "0s")}
	shares, caps, at := s.Shares("shares", "!"), s.Shares("caps", "!"), s.List("at", "!")
	if len(shares) != len(caps) || len(shares) != len(at) {
		s.AddError("shares", "shares, caps and at: the same number of values in each expected, not %d, %d and %d", len(shares), len(caps), len(at))
		return
	}
	for n := range shares {
		d, err := time.ParseDuration(at[n])
		if err != nil || d < 0 {
			s.AddError("at", "at: %s: a time with a unit expected", at[n])
			return
		}
		out.Stages = append(out.Stages, plan.Stage{At: d, HostShare: shares[n], ShadowCap: caps[n]})
	}
	r.Model.Release = out
}

// timeOfDay reads a time of day such as 07:30.
func timeOfDay(s inifile.Section, key, without string) time.Duration {
	text := s.Text(key, without)
	h, m, ok := strings.Cut(text, ":")
	hours, err := strconv.Atoi(h)
	minutes, err2 := strconv.Atoi(m)
	if !ok || err != nil || err2 != nil || hours < 0 || hours > 23 || minutes < 0 || minutes > 59 {
		s.AddError(key, "%s = %s: a time of day such as 07:30 expected", key, text)
	}
	return time.Duration(hours)*time.Hour + time.Duration(minutes)*time.Minute
}
