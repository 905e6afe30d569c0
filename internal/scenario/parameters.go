package scenario

import (
	"fmt"
	"time"

	"dapplefront/internal/audit"
	"dapplefront/internal/testbed"
	"dapplefront/policy"
	"dapplefront/release"
)

const (
	// transitTime is the time that the audit allows for a message between two sockets. It is many times the transit time on
	// loopback.
	transitTime = 150 * time.Millisecond
	// routerVoteTTL is the time for which a router's vote is valid.
	routerVoteTTL = 8 * time.Second
	// maxVotesPerSecond is the number of votes per second that a controller accepts from one router.
	maxVotesPerSecond = 30
	// countedShare is the share of the requests that is counted for the controllers.
	countedShare = 0.4
)

// parameters holds the limits of the rules and the delays that all scenarios have in common.
type parameters struct {
	zones              []string
	drainGrace         time.Duration // time for which routers may still send attempts to a draining host
	slowStart          time.Duration // time for which a host is cold after its start
	coldCapacity       float64       // share of its full capacity that a host has at its start
	coldOverloadFactor float64       // load, in multiples of its capacity, that a cold host withstands over the window
	coldOverloadWindow time.Duration // window over which that load is averaged
	exposureWindow     time.Duration // window in which requests and attempts at the canary are counted
	exposureAllowance  float64       // attempts at the canary within the window in addition to the capped share
	exposureCaps       []float64     // attempts that may reach the canary as a share of a router's requests, by stage
	hostShares         []float64     // share of the hosts that run the canary, by stage
	guardedStages      int           // number of stages, from the first on, in which the canary gets only idempotent requests
	backendStartTime   time.Duration // longest start time of a host's process
	endpointDelay      time.Duration // time from a change of the fleet to its endpoint update
	drainDelay         time.Duration // time for which a host runs after it was listed as draining
	statusDelay        time.Duration // time from a change of the release status to the notification of the routers
}

// requestClasses are the classes of requests that clients send.
var requestClasses = []testbed.RequestClass{
	{Class: testbed.Class{Name: "quote", Work: 30 * time.Millisecond, Idempotency: policy.Idempotent}, Path: "/quote", Share: .6,
		LatencyObjective: 400 * time.Millisecond, Timeout: 1500 * time.Millisecond},
	{Class: testbed.Class{Name: "order", Work: 40 * time.Millisecond, Idempotency: policy.IdempotentWithKey, DedupWindow: 10 * time.Second},
		Path: "/order", Share: .23, LatencyObjective: 500 * time.Millisecond, Timeout: 2 * time.Second},
	{Class: testbed.Class{Name: "transfer", Work: 25 * time.Millisecond, Idempotency: policy.NonIdempotent}, Path: "/transfer", Share: .17,
		LatencyObjective: 300 * time.Millisecond, Timeout: time.Second},
}

func standardParameters(zones int) parameters {
	p := parameters{
		drainGrace:         time.Second,
		slowStart:          4 * time.Second,
		coldCapacity:       0.35,
		coldOverloadFactor: 3,
		coldOverloadWindow: 2 * time.Second,
		exposureWindow:     4 * time.Second,
		exposureAllowance:  2,
		exposureCaps:       []float64{.05, .15, .5, 1},
		hostShares:         []float64{.04, .12, .4, 1},
		guardedStages:      1,
		backendStartTime:   time.Second,
		endpointDelay:      300 * time.Millisecond,
		drainDelay:         2500 * time.Millisecond,
		statusDelay:        200 * time.Millisecond,
	}
	names := []string{"north", "south", "port"}
	for i := range zones {
		if i < len(names) {
			p.zones = append(p.zones, names[i])
		} else {
			p.zones = append(p.zones, fmt.Sprintf("place-%d", i+1))
		}
	}
	return p
}

// routerZone returns the zone of the router with the given index.
func (p parameters) routerZone(i int) string { return p.zones[i%len(p.zones)] }

// releaseRules returns the rules by which the controllers promote and roll back a release.
func (p parameters) releaseRules(routers int) release.Rules {
	var stages []release.Stage
	for i, limit := range p.exposureCaps {
		stages = append(stages, release.Stage{HostShare: p.hostShares[i], ExposureCap: limit})
	}
	return release.Rules{Mode: policy.Quorum, Stages: stages, MinStageTime: policy.Second, VoteTTL: policyTime(routerVoteTTL),
		PromoteQuorum: promoteQuorum(routers), RollbackQuorum: 1}
}

// promoteQuorum returns the number of routers that must vote for a promotion.
func promoteQuorum(routers int) int { return max(1, routers/2) }

// auditLimits returns the limits by which the audit judges the rules.
func (p parameters) auditLimits() audit.Limits {
	limits := audit.Limits{
		Classes:            map[string]audit.Class{},
		AnswerSlack:        transitTime,
		DrainGrace:         p.drainGrace,
		ColdOverloadFactor: p.coldOverloadFactor,
		ColdOverloadWindow: p.coldOverloadWindow,
		ExposureWindow:     p.exposureWindow,
		ExposureAllowance:  p.exposureAllowance,
		GuardedStages:      p.guardedStages,
		FirstStageCap:      p.exposureCaps[0],
		TransitTime:        transitTime,
	}
	for _, class := range requestClasses {
		limits.Classes[class.Name] = audit.Class{Idempotency: class.Idempotency, DedupWindow: class.DedupWindow}
	}
	return limits
}

// policyTime converts a duration to the clock of package policy.
func policyTime(d time.Duration) policy.Time { return policy.Time(d.Microseconds() / 100) }

func classesByName() map[string]testbed.Class {
	classes := map[string]testbed.Class{}
	for _, class := range requestClasses {
		classes[class.Name] = class.Class
	}
	return classes
}
