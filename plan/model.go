package plan

import (
	"time"

	"dapplefront/policy"
)

// Class is a class of requests.
type Class struct {
	Name           string
	Work           float64 // seconds that a request takes on a host of weight 1
	Idempotency    policy.Idempotency
	PriorityWeight float64 // value of a request that is served in time
}

// Host is a host that can serve requests.
type Host struct {
	Name     string
	Zone     string
	Build    int
	Weight   float64       // capacity in seconds of work per second once it has warmed up
	StartsAt time.Duration // when its process starts, relative to the plan's start; negative for an earlier start
	DrainsAt time.Duration // when it starts to drain, relative to the plan's start; 0 means never
	MaxRate  float64       // upper bound in requests per second, during slow start and after it; 0 means no bound
}

// Demand is the demand of one class in one zone during a step.
type Demand struct {
	Zone, Class string
	Rate        float64 // requests per second
	StdDev      float64 // standard deviation of the forecast, in requests per second
}

// Forecast is the demand of one step.
type Forecast struct {
	At     time.Duration // relative to the plan's start
	Demand []Demand
}

// SlowStart limits the traffic to hosts that have recently started.
type SlowStart struct {
	Duration        time.Duration // time from the start of a host until it has its full capacity
	InitialCapacity float64       // capacity at the start as a share of the host's weight; it rises linearly
	MaxRequests     float64       // upper bound per Window for a host of weight 1, scaled by the capacity factor; 0 means no bound
	Window          time.Duration
}

// Limits are the constraints of a plan.
type Limits struct {
	Reserve          float64 // share of each host's capacity that the plan leaves unused
	SlowStart        SlowStart
	MaxCrossZone     float64 // share of a zone's requests that may go to other zones
	CrossZonePrice   float64 // cost of a request that goes to another zone, in priority weight
	MaxZoneImbalance float64 // upper bound on a zone's utilization divided by the fleet's; 0 means no bound
	MaxHostImbalance float64 // upper bound on a host's utilization divided by its zone's; 0 means no bound
	StdDevs          float64 // number of standard deviations that are added to the forecast demand
	SurviveHostLoss  bool    // all demand must still be served after the loss of any one host
	SurviveZoneLoss  bool    // all demand must still be served after the loss of any one zone
}

// Stage is one stage of a release.
type Stage struct {
	At        time.Duration // when its hosts start, relative to the plan's start
	HostShare float64       // share of the hosts that run the build
	ShadowCap float64       // upper bound on shadow requests, as a share of all requests
}

// Release is a build that is rolled out in stages during the plan.
type Release struct {
	Build         int
	Stages        []Stage
	ReleasedAt    time.Duration // when the build is released, relative to the plan's start: until then, its hosts get only shadow requests; 0 means after the plan's end
	GuardedStages int           // number of first stages in which classes that are IdempotentWithKey get no shadow requests
	CapPerClass   bool          // the cap is a share of the requests that may be shadowed, not of all requests
	SideBySide    bool          // hosts of the build are added and do not replace others
}

// Model is the input of a plan.
type Model struct {
	Classes       []Class
	Hosts         []Host
	Forecast      []Forecast
	Limits        Limits
	Release       *Release // nil if no build is being released
	CurrentShares Shares   // shares in force; nil if there are none
}

// Shares holds the share of each zone's requests that each host gets: by the zone of the requests, then by host.
type Shares map[string]map[string]float64
