package scenario

import (
	"context"
	"math"
	"strconv"
	"time"

	"dapplefront/internal/api"
	"dapplefront/plan"
	"dapplefront/policy"
)

// PlanTimes is what became of plans.
type PlanTimes struct {
	Versions   int    `json:"Versions"`
	Changed    int    `json:"Changed"`
	Whole      int    `json:"Whole"`
	Followed   int    `json:"Followed"`
	TurnedDown int    `json:"TurnedDown"`
	Reason     string `json:"Reason"` // of the last version that was turned down
}

func (p *PlanTimes) heard(all map[uint64]map[string]api.PlanAck) {
	for _, by := range all {
		for _, h := range by {
			if h.Followed {
				p.Followed++
			} else {
				p.TurnedDown++
				p.Reason = h.Reason
			}
		}
	}
}

// planShares publishes plans while the day is played, as it asks for; nil where it asks for none.
func (s *stage) planShares(ctx context.Context) *PlanTimes {
	kind := s.plan.Shares
	if kind == "" || kind == "none" {
		return nil
	}
	p := &PlanTimes{}
	k := &plan.Publisher{Tolerance: .1, RecomputeDelay: 2 * time.Second, ValidFor: 4 * time.Second}
	if kind != "plan" {
		k.ValidFor = s.plan.Length + time.Minute
	}
	began := time.Now()
	look := func() error {
		o, err := k.Update(time.Since(began), s.model(began))
		if err != nil || o.Published == nil {
			return err
		}
		if kind == "absurd" {
			absurd(o.Published)
		}
		p.Versions++
		p.Changed += o.Changed
		if o.Recomputed {
			p.Whole++
		}
		s.desk.Publish(o.Published)
		s.register.SetWeights(o.Published)
		return nil
	}
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		const every = 200 * time.Millisecond // a fraction of what a start or a list's news takes
		for {
			if err := look(); err != nil {
				s.log.Error("no plan", "error", err)
			}
			if kind != "plan" || !sleep(ctx, every) {
				return
			}
		}
	}()
	return p
}

// absurd gives nearly all to one host of each location.
func absurd(p *plan.Published) {
	for _, w := range p.ByZone {
		first := true
		for name := range w.Local {
			if w.Local[name] = 1; first {
				w.Local[name] = 1_000_000_000
			}
			first = false
		}
	}
}

// model is the fleet as the desk knows it, with the usual demand: what comes beyond it is no planner's to know.
func (s *stage) model(began time.Time) *plan.Model {
	f := s.figures
	now := time.Since(began)
	m := &plan.Model{Forecast: []plan.Forecast{{At: now}}, Limits: plan.Limits{MaxCrossZone: 1, CrossZonePrice: .02, Reserve: .05,
		SlowStart: plan.SlowStart{Duration: f.cold, InitialCapacity: f.coldShare}}}
	for _, w := range wishes {
		m.Classes = append(m.Classes, plan.Class{Name: w.Name, Work: w.Work.Seconds(), Idempotency: w.Idempotency, PriorityWeight: 1})
	}
	rates := map[string]float64{}
	for i := range s.routers {
		rates[f.locations[i%len(f.locations)]] += s.plan.Rate
	}
	for _, place := range f.locations {
		for _, w := range wishes {
			m.Forecast[0].Demand = append(m.Forecast[0].Demand, plan.Demand{Zone: place, Class: w.Name, Rate: rates[place] * w.Share})
		}
	}
	news := s.desk.News()
	trial := 0
	if news.Phase != policy.Released {
		trial = news.Build
	}
	for _, h := range s.fleet.of(0) {
		x := plan.Host{Name: strconv.FormatUint(uint64(h.ID), 10), Zone: h.Zone, Build: h.Build.Number,
			Weight: float64(h.Cores) * h.Speed, StartsAt: now - time.Hour}
		if !h.StartedAt.IsZero() {
			x.StartsAt = min(now, h.StartedAt.Sub(began))
		}
		if trial != 0 && x.Build == trial {
			continue // it gets copies, which the cap bounds
		}
		m.Hosts = append(m.Hosts, x)
	}
	// The rule's budget, as far as one router sees it, less the module's part for bursts.
	mean := 0.0
	for _, w := range wishes {
		mean += w.Share * w.Work.Seconds()
	}
	m.Limits.SlowStart.Window = f.tipFor
	m.Limits.SlowStart.MaxRequests = math.Floor(.5 * f.tip * f.tipFor.Seconds() / mean)
	return m
}
