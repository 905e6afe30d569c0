package api

import (
	"fmt"
	"strconv"
	"time"

	"dapplefront/plan"
)

// Units of the shares in plan.Weights, which are integers.
const (
	shadowShareUnits    = 1e6 // Weights.ShadowShare is in millionths
	crossZoneShareUnits = 1e9 // Weights.CrossZoneShare is in billionths
)

// Plan is a version of a plan for the routers of one zone.
type Plan struct {
	Version    uint64 `json:"version"`
	Build      int    `json:"build,omitempty"` // the canary build when the plan was made
	ValidForMs int64  `json:"forMs"`           // the plan expires this long after the response
	plan.Weights
}

// Published is a version of a plan for all zones.
type Published struct {
	Build      int                     `json:"build,omitempty"`
	Stage      int                     `json:"stage,omitempty"`
	ValidForMs int64                   `json:"forMs"`
	For        map[string]plan.Weights `json:"for"` // weights by zone
}

// PlanAck is a router's acknowledgement of a version of a plan.
type PlanAck struct {
	Followed bool   `json:"followed"`
	Reason   string `json:"reason,omitempty"` // why the router does not follow the plan
}

// ToOffer converts the plan to the type of package plan. A host's name is its id in decimal; ToOffer fails for any other name.
func (p Plan) ToOffer() (plan.Offer, error) {
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
