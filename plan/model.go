package plan

import (
	"time"

	"dapplefront/policy"
)

// Class is a class of requests.
type Class struct {
	Name           string
	Work           float64 // seconds of work of a request on a host of weight 1
	Idempotency    policy.Idempotency
	PriorityWeight float64 // of a request that is answered in time
}

// Host is a host that can get requests.
type Host struct {
	Name     string
	Zone     string
	Build    int
	Weight   float64       // seconds of work a second once it has warmed up
	StartsAt time.Duration // when its process starts, from the plan's start; negative for earlier
	DrainsAt time.Duration // when it drains, from the plan's start; 0 for never
	MaxRate  float64       // requests a second, whatever its state; 0 for no bound
}

// Demand is the demand of one class in one zone during a step.
type Demand struct {
	Zone, Class string
	Rate        float64 // requests a second
	StdDev      float64 // of the forecast, in requests a second
}

// Forecast is the demand of one step.
type Forecast struct {
	At     time.Duration // from the plan's start
	Demand []Demand
}

// SlowStart says how hosts that have just started are treated.
type SlowStart struct {
	Duration        time.Duration // until a host has its full capacity
	InitialCapacity float64       // as a share of its weight; it rises linearly
	MaxRequests     float64       // to a host of weight 1 within any Window, times its capacity factor; 0 for no bound
	Window          time.Duration
}

// Limits are the constraints of a plan.
type Limits struct {
	Reserve          float64 // of each host's capacity that is kept free
	SlowStart        SlowStart
	MaxCrossZone     float64 // share of a zone's requests that may go to other zones
	CrossZonePrice   float64 // of a request that goes to another zone, in priority weight
	MaxZoneImbalance float64 // a zone's utilization over the fleet's, at most; 0 for no bound
	MaxHostImbalance float64 // a host's utilization over its zone's, at most; 0 for no bound
	StdDevs          float64 // the demand planned for is the forecast and so many standard deviations
	SurviveHostLoss  bool    // any one host's loss must leave all demand served
	SurviveZoneLoss  bool    // any one zone's loss must leave all demand served
}

// Stage is one stage of a release.
type Stage struct {
	At        time.Duration // when its hosts start, from the plan's start
	HostShare float64       // share of the hosts that run the build
	ShadowCap float64       // shadow requests, as a share of all requests, at most
}

// Release is a build that is rolled out in stages during the plan.
type Release struct {
	Build         int
	Stages        []Stage
	ReleasedAt    time.Duration // when its hosts begin to serve requests; 0 for after the plan
	GuardedStages int           // the first stages, which get idempotent requests only
	CapPerClass   bool          // the cap is a share of the requests that may be shadowed, not of all
	SideBySide    bool          // its hosts are additional, not replacements
}

// Model is all that a plan is made from.
type Model struct {
	Classes       []Class
	Hosts         []Host
	Forecast      []Forecast
	Limits        Limits
	Release       *Release // nil for none
	CurrentShares Shares   // those in force; nil for none
}

// Shares are shares of a zone's requests, by zone and host.
type Shares map[string]map[string]float64
