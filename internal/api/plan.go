package api

import (
	"fmt"
	"strconv"
	"time"

	"dapplefront/plan"
)

// Units of the plan's whole-number weights.
const (
	shadowShareUnits    = 1e6 // Weights.Copies is in millionths
	crossZoneShareUnits = 1e9 // Weights.Cross is in billionths
)

// Plan is a version of a plan for the routers of one zone.
type Plan struct {
	Version    uint64 `json:"version"`
	Build      int    `json:"build,omitempty"` // the canary when it was made
	ValidForMs int64  `json:"forMs"`           // how long it may be followed from now on
	plan.Weights
}

// Published is a plan's version for all zones.
type Published struct {
	Build      int                     `json:"build,omitempty"`
	Stage      int                     `json:"stage,omitempty"`
	ValidForMs int64                   `json:"forMs"`
	For        map[string]plan.Weights `json:"for"` // by zone
}

// PlanAck is a router's acknowledgement of a version.
type PlanAck struct {
	Followed bool   `json:"followed"`
	Reason   string `json:"reason,omitempty"` // why it is not followed
}

// Offered is the plan in the terms of package plan. Hosts are named by their ids in decimals; another name is an error.
func (p Plan) Offered() (plan.Offer, error) {
	local, err := p.hostWeights(p.Local)
	if err != nil {
		return plan.Offer{}, err
	}
	remote, err := p.hostWeights(p.Remote)
	if err != nil {
		return plan.Offer{}, err
	}
	return plan.Offer{Version: p.Version, Build: p.Build, ShadowShare: float64(p.ShadowShare) / shadowShareUnits,
		CrossZoneShare: float64(p.CrossZoneShare) / crossZoneShareUnits, ValidFor: time.Duration(p.ValidForMs) * time.Millisecond,
		LocalWeights: local, RemoteWeights: remote}, nil
}

func (p Plan) hostWeights(byName map[string]uint64) (out []plan.HostWeight, err error) {
	for name, weight := range byName {
		id, err := strconv.ParseUint(name, 10, 32)
		if err != nil {
			return nil, fmt.Errorf("plan %d: the host %q: a number below 2^32 expected", p.Version, name)
		}
		out = append(out, plan.HostWeight{Host: uint32(id), Weight: float64(weight)})
	}
	return out, nil
}
