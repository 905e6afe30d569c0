package plan

import (
	"fmt"
	"time"
)

// Offered is a version as it reaches a router.
type Offered struct {
	Version        uint64
	Build          int           // the build on trial that it was made for, 0 for none
	ShadowShare    float64       // share of the tasks that it lets go there as copies
	CrossZoneShare float64       // share of the tasks that go to other locations
	LocalWeights   []HostWeight  // hosts of the router's location
	RemoteWeights  []HostWeight  // and others
	ValidFor       time.Duration // how long it may be followed
}

// HostWeight is one host's weight.
type HostWeight struct {
	Host   uint32
	Weight float64
}

// Known is what the router knows of a host.
type Known struct {
	Near  bool
	Size  float64 // as listed; 0 for unknown
	Age   time.Duration
	Trial bool // runs a build on trial
}

// Fleet is what a router knows when a version reaches it.
type Fleet struct {
	Hosts map[uint32]Known
	Build int     // on trial, 0 for none
	Cap   float64 // that is told for it
	Cold  time.Duration
}

// Follower is a router's part: it keeps the last good version and turns others down, each with a reason that the
// controller is told. It decides nothing about tasks: what it lets through is a hint that the module weighs.
type Follower struct{ last uint64 }

// Held is the number of the version in force, 0 for none.
func (f *Follower) Held() uint64 { return f.last }

// Offer takes a version in, or tells why not; then the last good one stays.
func (f *Follower) Offer(o Offered, fleet Fleet) error {
	switch {
	case o.Version == f.last:
		return fmt.Errorf("version %d is in force already", o.Version)
	case o.Version < f.last:
		return fmt.Errorf("version %d is older than version %d, which is in force", o.Version, f.last)
	case o.ValidFor <= 0:
		return fmt.Errorf("version %d is out of date", o.Version)
	case !(o.CrossZoneShare >= 0 && o.CrossZoneShare <= 1) || !(o.ShadowShare >= 0 && o.ShadowShare <= 1):
		return fmt.Errorf("version %d: shares from 0 to 1 expected, not %g and %g", o.Version, o.CrossZoneShare, o.ShadowShare)
	case o.Build != 0 && o.Build == fleet.Build && o.ShadowShare > fleet.Cap+1e-6:
		return fmt.Errorf("version %d would break the cap: %.3g%% of the tasks to build %d, %.3g%% are allowed", o.Version,
			100*o.ShadowShare, o.Build, 100*fleet.Cap)
	}
	known, sum := 0, 0.0
	warm := 0.0 // the largest weight of a warm host for its size
	for _, p := range o.LocalWeights {
		if k, ok := fleet.Hosts[p.Host]; ok && k.Age >= fleet.Cold && k.Size > 0 {
			warm = max(warm, p.Weight/k.Size)
		}
	}
	for i, side := range [][]HostWeight{o.LocalWeights, o.RemoteWeights} {
		for _, p := range side {
			if !(p.Weight >= 0 && p.Weight < 1e18) {
				return fmt.Errorf("version %d: host %d has the weight %g", o.Version, p.Host, p.Weight)
			}
			sum += p.Weight
			k, ok := fleet.Hosts[p.Host]
			if !ok {
				continue // the list that the plan was made from may be newer
			}
			known++
			if k.Trial && p.Weight > 0 {
				return fmt.Errorf("version %d gives tasks to host %d, which runs a build on trial", o.Version, p.Host)
			}
			if i == 0 && k.Age < fleet.Cold && warm > 0 && k.Size > 0 && p.Weight/k.Size > warm*(1+1e-6) {
				return fmt.Errorf("version %d weighs host %d, which has just started, more than warm ones of its size", o.Version, p.Host)
			}
		}
	}
	all := len(o.LocalWeights) + len(o.RemoteWeights)
	if sum == 0 || 2*known < all {
		return fmt.Errorf("version %d speaks of other hosts: %d of %d are known here", o.Version, known, all)
	}
	f.last = o.Version
	return nil
}
