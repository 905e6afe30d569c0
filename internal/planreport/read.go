// Package planreport reads what a plan is made from out of an INI file, and shows plans as tables and pictures. All that is
// worked out is plan's.
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

// Report is what a file says.
type Report struct {
	Model *plan.Model
	Start time.Duration // time of day at which the plan starts, for what is printed
}

// Clock is a moment of the plan as a time of day.
func (o *Report) Clock(at time.Duration) string {
	t := (o.Start + at) % (24 * time.Hour)
	if t%time.Minute != 0 {
		return fmt.Sprintf("%02d:%02d:%02d", int(t.Hours()), int(t.Minutes())%60, int(t.Seconds())%60)
	}
	return fmt.Sprintf("%02d:%02d", int(t.Hours()), int(t.Minutes())%60)
}

// Read reads an outlook; every mistake is told with its file and line.
func Read(file string) (*Report, error) {
	s := inifile.Read(file)
	o := FromFile(s)
	if err := s.Done(); err != nil {
		return nil, err
	}
	if err := o.Model.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return o, nil
}

// defaultAge is how long ago hosts started where nothing else is said.
const defaultAge = 30 * 24 * time.Hour

// FromFile reads an outlook; mistakes are kept by the sheet.
func FromFile(s *inifile.File) *Report {
	p := s.Section("plan")
	o := &Report{Model: &plan.Model{}, Start: clock(p, "start", "00:00")}
	steps, step := p.Int("steps", "1", 1, 1000), p.Duration("step", "1h")
	if step <= 0 {
		p.AddError("step", "step: above 0 expected")
		step = time.Hour
	}
	m := o.Model
	for n := range steps {
		m.Forecast = append(m.Forecast, plan.Forecast{At: time.Duration(n) * step})
	}
	kinds, names := s.Sections("category")
	for i, k := range kinds {
		m.Classes = append(m.Classes, plan.Class{Name: names[i], Work: k.Duration("work", "!").Seconds(),
			Idempotency: map[string]policy.Idempotency{"fingerprinted": policy.IdempotentWithKey, "binding": policy.NonIdempotent}[k.OneOf("repeat",
				"!", "retriable", "fingerprinted", "binding")], PriorityWeight: k.Float("earnings", "1", 0, 1e7)})
		if m.Classes[i].Work == 0 && k.Text("work", "0") != "" {
			k.AddError("work", "work: above 0 expected")
		}
	}
	if len(kinds) == 0 {
		p.AddError("", "a section [category NAME] is missing")
	}
	groups, names := s.Sections("hosts")
	for i, g := range groups {
		o.hosts(g, names[i])
	}
	if len(groups) == 0 {
		p.AddError("", "a section [hosts NAME] is missing")
	}
	demands, names := s.Sections("demand")
	for i, d := range demands {
		o.demand(d, names[i])
	}
	o.bounds(s.Section("bounds"))
	if r := s.Section("release"); r.Has() {
		o.release(r)
	}
	return o
}

func (o *Report) hosts(g inifile.Section, name string) {
	h := plan.Host{Zone: g.Text("location", name), Build: g.Int("build", "1", 1, 65535), Weight: g.Float("size", "1", 1e-6, 1e7),
		MaxRate: g.Float("most", "0", 0, 1e7), DrainsAt: g.Duration("leaves", "0s")}
	count := g.Int("count", "1", 0, 100_000)
	ago, in := g.Duration("started", defaultAge.String()), g.Duration("starts", "0s")
	h.StartsAt = -ago
	if g.Text("starts", "-") != "-" {
		if g.Text("started", "-") != "-" {
			g.AddError("starts", "started (so long ago) or starts (so long after the plan's start) expected, not both")
		}
		h.StartsAt = in
	}
	for n := range count {
		h.Name = fmt.Sprintf("%s-%d", name, n+1)
		if count == 1 {
			h.Name = name
		}
		o.Model.Hosts = append(o.Model.Hosts, h)
	}
}

// demand reads tasks a second by category: one figure for all steps, or one for each.
func (o *Report) demand(d inifile.Section, location string) {
	spread := d.Share("spread", "0%")
	for _, c := range o.Model.Classes {
		words := d.List(c.Name, "0")
		if len(words) != 1 && len(words) != len(o.Model.Forecast) {
			d.AddError(c.Name, "%s: one figure, or one for each of %d steps expected, not %d", c.Name, len(o.Model.Forecast), len(words))
			continue
		}
		for n := range o.Model.Forecast {
			word := words[min(n, len(words)-1)]
			rate, err := strconv.ParseFloat(word, 64)
			if err != nil || !(rate >= 0 && rate <= 1e7) {
				d.AddError(c.Name, "%s: %s: tasks a second from 0 to 10 million expected", c.Name, word)
				break
			}
			f := &o.Model.Forecast[n]
			f.Demand = append(f.Demand, plan.Demand{Zone: location, Class: c.Name, Rate: rate, StdDev: spread * rate})
		}
	}
}

func (o *Report) bounds(b inifile.Section) {
	o.Model.Limits = plan.Limits{Reserve: b.Share("reserve", "0%"), MaxCrossZone: b.Share("cross", "100%"),
		CrossZonePrice: b.Float("cross-price", "0.02", 0, 1e7), MaxZoneImbalance: b.Float("between", "0", 0, 1000),
		MaxHostImbalance: b.Float("within", "0", 0, 1000), StdDevs: b.Float("spreads", "0", -10, 10),
		SurviveHostLoss: b.Bool("lose-host", "off"), SurviveZoneLoss: b.Bool("lose-location", "off"),
		SlowStart: plan.SlowStart{Duration: b.Duration("cold", "5s"), InitialCapacity: b.Share("cold-share", "33%"), MaxRequests: b.Float("cold-tasks", "0", 0, 1e7),
			Window: b.Duration("cold-window", "2s")}}
	if o.Model.Limits.Reserve > .99 {
		b.AddError("reserve", "reserve: at most 99%% expected")
	}
}

func (o *Report) release(r inifile.Section) {
	out := &plan.Release{Build: r.Int("build", "!", 1, 65535), GuardedStages: r.Int("guarded-stages", "1", 0, 100),
		CapPerClass: r.Bool("by-category", "off"), SideBySide: r.Bool("beside", "off"), ReleasedAt: r.Duration("released", "0s")}
	shares, caps, at := r.Shares("shares", "!"), r.Shares("caps", "!"), r.List("at", "!")
	if len(shares) != len(caps) || len(shares) != len(at) {
		r.AddError("shares", "shares, caps and at: as many of each expected, not %d, %d and %d", len(shares), len(caps), len(at))
		return
	}
	for n := range shares {
		d, err := time.ParseDuration(at[n])
		if err != nil || d < 0 {
			r.AddError("at", "at: %s: a time with a unit expected", at[n])
			return
		}
		out.Stages = append(out.Stages, plan.Stage{At: d, HostShare: shares[n], ShadowCap: caps[n]})
	}
	o.Model.Release = out
}

// clock reads a time of day.
func clock(p inifile.Section, key, without string) time.Duration {
	text := p.Text(key, without)
	h, m, ok := strings.Cut(text, ":")
	hours, err := strconv.Atoi(h)
	minutes, err2 := strconv.Atoi(m)
	if !ok || err != nil || err2 != nil || hours < 0 || hours > 23 || minutes < 0 || minutes > 59 {
		p.AddError(key, "%s = %s: a time of day such as 07:30 expected", key, text)
	}
	return time.Duration(hours)*time.Hour + time.Duration(minutes)*time.Minute
}
