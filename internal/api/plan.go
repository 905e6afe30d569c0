package api

import (
	"fmt"
	"strconv"
	"time"

	"dapplefront/plan"
)

// EventPlan is the watch's event of a new version of a plan: a PlanNotice. The plan itself is read apart, as it may be
// far larger than an event.
const EventPlan = "plan"

// PlanNotice says that a version is there.
type PlanNotice struct {
	Version uint64 `json:"version"`
}

// Plan is a version of shares for the routers of one location.
//
//	GET /v1/plans/{version}/for/{location}    the plan; 404 for one that isn't in force any more
//	PUT /v1/plans/{version}/routers/{router}  a Heed: followed, or turned down with the reason
type Plan struct {
	Version uint64 `json:"version"`
	Build   int    `json:"build,omitempty"` // on trial when it was made
	ForMs   int64  `json:"forMs"`           // how long it may be followed from now on
	plan.Weights
}

// PlanAck is a router's word on a version.
type PlanAck struct {
	Followed bool   `json:"followed"`
	Reason   string `json:"reason,omitempty"`
}

// Offered is a plan in the library's words. Hosts are named by their ids in decimals.
func (p Plan) Offered() (o plan.Offered, err error) {
	o = plan.Offered{Version: p.Version, Build: p.Build, ShadowShare: float64(p.Copies) / 1e6, CrossZoneShare: float64(p.Cross) / 1e9,
		ValidFor: time.Duration(p.ForMs) * time.Millisecond}
	parts := func(of map[string]uint64) (out []plan.HostWeight) {
		for name, w := range of {
			id, e := strconv.ParseUint(name, 10, 32)
			if e != nil {
				err = fmt.Errorf("plan %d: the host %q: a number below 2^32 expected", p.Version, name)
			}
			out = append(out, plan.HostWeight{Host: uint32(id), Weight: float64(w)})
		}
		return out
	}
	o.LocalWeights, o.RemoteWeights = parts(p.Near), parts(p.Far)
	return o, err
}
