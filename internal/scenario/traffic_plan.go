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

// TrafficPlans lists the values of Spec.TrafficPlan: no plan, plans that are kept up to date, one plan published at the
// start and never updated, or one that gives nearly all traffic to one host of each zone.
var TrafficPlans = []string{noPlan, currentPlan, "stale", skewedPlan}

const (
	noPlan      = "none"
	currentPlan = "plan"
	skewedPlan  = "absurd"
)

// planInterval is the interval between updates of the plan: a fraction of the time that a host's start or an endpoint
// update takes.
const planInterval = 200 * time.Millisecond

// PlanStatistics counts published traffic plans and the routers' acknowledgements.
type PlanStatistics struct {
	Versions       int    `json:"Versions"`
	ChangedWeights int    `json:"Changed"`    // weights that a version changed, summed over all versions
	Recomputed     int    `json:"Whole"`      // versions in which all weights were recomputed rather than adjusted
	Followed       int    `json:"Followed"`   // acknowledgements by routers that follow a version
	Rejected       int    `json:"TurnedDown"` // acknowledgements by routers that rejected a version
	Reason         string `json:"Reason"`     // reason of one of the rejections
}

// countAcks adds acknowledgements to the totals. acks holds them by version and router.
func (s *PlanStatistics) countAcks(acks map[uint64]map[string]api.PlanAck) {
	for _, byRouter := range acks {
		for _, ack := range byRouter {
			if ack.Followed {
				s.Followed++
			} else {
				s.Rejected++
				s.Reason = ack.Reason
			}
		}
	}
}

// publishPlans publishes traffic plans in the background until the context ends. It returns statistics that may be read
// once the background work has ended, or nil for a scenario without plans.
func (r *run) publishPlans(ctx context.Context) *PlanStatistics {
	if r.spec.TrafficPlan == "" || r.spec.TrafficPlan == noPlan {
		return nil
	}
	statistics := &PlanStatistics{}
	publisher := &plan.Publisher{Tolerance: .1, RecomputeDelay: 2 * time.Second, ValidFor: planValidFor}
	if r.spec.TrafficPlan != currentPlan {
		publisher.ValidFor = r.spec.Length + time.Minute
	}
	started := time.Now()
	r.background.Go(func() {
		for {
			if err := r.publishPlan(publisher, started, statistics); err != nil {
				r.log.Error("failed to publish traffic plan", "error", err)
			}
			if r.spec.TrafficPlan != currentPlan || !sleep(ctx, planInterval) {
				return
			}
		}
	})
	return statistics
}

// publishPlan updates the plan and, if it has changed, publishes it to the controllers and discovery.
func (r *run) publishPlan(publisher *plan.Publisher, started time.Time, statistics *PlanStatistics) error {
	update, err := publisher.Update(time.Since(started), r.planModel(started))
	if err != nil || update.Published == nil {
		return err
	}
	if r.spec.TrafficPlan == skewedPlan {
		skewWeights(update.Published)
	}
	statistics.Versions++
	statistics.ChangedWeights += update.Changed
	if update.Recomputed {
		statistics.Recomputed++
	}
	r.controllers.publishPlan(update.Published)
	r.discovery.SetWeights(update.Published)
	return nil
}

// skewWeights gives nearly all traffic to one host of each zone.
func skewWeights(p *plan.Published) {
	for _, weights := range p.ByZone {
		first := true
		for host := range weights.Local {
			if weights.Local[host] = 1; first {
				weights.Local[host] = 1_000_000_000
			}
			first = false
		}
	}
}

// planModel returns a model of the current fleet with the usual demand, because plans can't anticipate surges.
func (r *run) planModel(started time.Time) *plan.Model {
	now := time.Since(started)
	model := &plan.Model{
		Forecast: []plan.Forecast{{At: now, Demand: r.planDemand()}},
		Limits: plan.Limits{MaxCrossZone: 1, CrossZonePrice: .02, Reserve: .05,
			SlowStart: plan.SlowStart{Duration: r.params.slowStart, InitialCapacity: r.params.coldCapacity}},
	}
	meanWork := 0.0 // seconds
	for _, class := range requestClasses {
		model.Classes = append(model.Classes, plan.Class{Name: class.Name, Work: class.Work.Seconds(), Idempotency: class.Idempotency,
			PriorityWeight: 1})
		meanWork += class.Share * class.Work.Seconds()
	}
	canary := 0
	if status := r.controllers.status(); status.Phase != policy.Released {
		canary = status.Build
	}
	for _, h := range r.localFleet.active(0) {
		host := plan.Host{Name: strconv.FormatUint(uint64(h.ID), 10), Zone: h.Zone, Build: h.Build.Number,
			Weight: float64(h.Cores) * h.Speed, StartsAt: now - time.Hour}
		if !h.StartedAt.IsZero() {
			host.StartsAt = min(now, h.StartedAt.Sub(started))
		}
		if canary != 0 && host.Build == canary {
			continue // the exposure cap limits its traffic
		}
		model.Hosts = append(model.Hosts, host)
	}
	// MaxRequests is half the budget that the rule "cold" gives a host of weight 1, as one router sees it. The other half is
	// a reserve for bursts.
	model.Limits.SlowStart.Window = r.params.coldOverloadWindow
	model.Limits.SlowStart.MaxRequests = math.Floor(.5 * r.params.coldOverloadFactor * r.params.coldOverloadWindow.Seconds() / meanWork)
	return model
}

// planDemand returns the demand of all zones and classes, in requests per second.
func (r *run) planDemand() (demand []plan.Demand) {
	rates := map[string]float64{}
	for i := range r.routers {
		rates[r.params.routerZone(i)] += r.spec.RequestRate
	}
	for _, zone := range r.params.zones {
		for _, class := range requestClasses {
			demand = append(demand, plan.Demand{Zone: zone, Class: class.Name, Rate: rates[zone] * class.Share})
		}
	}
	return demand
}
