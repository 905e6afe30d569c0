package plan

import (
	"fmt"
	"time"
)

// Offer is a version of weights as a router receives it.
type Offer struct {
	Version        uint64
	Build          int           // canary build that the version was computed for; 0 if there was none
	ShadowShare    float64       // shadow requests to that build, as a share of the requests
	CrossZoneShare float64       // share of the requests that go to other zones
	LocalWeights   []HostWeight  // weights of hosts in the router's zone
	RemoteWeights  []HostWeight  // weights of hosts in other zones
	ValidFor       time.Duration // validity from the time of receipt
}

// HostWeight is the weight of a host.
type HostWeight struct {
	Host   uint32
	Weight float64
}

// KnownHost is the router's view of a host.
type KnownHost struct {
	IsLocal  bool          // the host is in the router's zone
	Weight   float64       // weight from endpoint discovery; 0 if unknown
	Age      time.Duration // time since the host started
	IsCanary bool          // the host runs the canary build
}

// Fleet is a router's view of the fleet when it receives a version.
type Fleet struct {
	Hosts       map[uint32]KnownHost
	CanaryBuild int           // 0 if there is no canary build
	ShadowCap   float64       // upper bound on shadow requests to the canary build, as a share of the requests
	SlowStart   time.Duration // duration of slow start
}

// Follower accepts or rejects versions of weights for a router. If a version is rejected, the last accepted one stays in
// force. Routers use weights as a hint and make their own decision for each request.
type Follower struct{ last uint64 }

// Version returns the number of the version in force, or 0 if no version has been accepted yet.
func (f *Follower) Version() uint64 { return f.last }

// Offer accepts a version or returns the reason for its rejection, which the router reports to the controller. A version
// is rejected if it is not newer than the one in force, has expired, is malformed, would exceed the cap of the canary
// build, gives weight to canary hosts, favors hosts in slow start, has no weight above 0, or names mostly unknown hosts.
func (f *Follower) Offer(o Offer, fleet Fleet) error {
	if err := f.checkVersion(o, fleet); err != nil {
		return err
	}
	largest := largestWarmedUp(o, fleet)
	known, sum := 0, 0.0
	for i, side := range [][]HostWeight{o.LocalWeights, o.RemoteWeights} {
		for _, w := range side {
			isKnown, err := fleet.checkWeight(o.Version, w, i == 0, largest)
			if err != nil {
				return err
			}
			sum += w.Weight
			if isKnown {
				known++
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

const (
	maxHostWeight = 1e18
	tolerance     = 1e-6 // for rounding errors in shares and weights
)

// checkVersion checks all fields of a version except its weights.
func (f *Follower) checkVersion(o Offer, fleet Fleet) error {
	switch {
	case o.Version == f.last:
		return fmt.Errorf("version %d is in force already", o.Version)
	case o.Version < f.last:
		return fmt.Errorf("version %d is older than version %d, which is in force", o.Version, f.last)
	case o.ValidFor <= 0:
		return fmt.Errorf("version %d is out of date", o.Version)
	case !(o.CrossZoneShare >= 0 && o.CrossZoneShare <= 1) || !(o.ShadowShare >= 0 && o.ShadowShare <= 1):
		return fmt.Errorf("version %d: shares from 0 to 1 expected, not %g and %g", o.Version, o.CrossZoneShare, o.ShadowShare)
	case o.Build != 0 && o.Build == fleet.CanaryBuild && o.ShadowShare > fleet.ShadowCap+tolerance:
		return fmt.Errorf("version %d would break the cap: %.3g%% of the tasks to build %d, %.3g%% are allowed", o.Version,
			100*o.ShadowShare, o.Build, 100*fleet.ShadowCap)
	}
	return nil
}

// checkWeight checks the weight of one host and reports whether the router knows the host. A version may name unknown hosts
// because it may have been computed from a newer endpoint list.
func (f Fleet) checkWeight(version uint64, w HostWeight, isLocal bool, largestWarmedUp float64) (known bool, err error) {
	if !(w.Weight >= 0 && w.Weight < maxHostWeight) {
		return false, fmt.Errorf("version %d: host %d has the weight %g", version, w.Host, w.Weight)
	}
	host, known := f.Hosts[w.Host]
	switch {
	case !known:
		return false, nil
	case host.IsCanary && w.Weight > 0:
		return true, fmt.Errorf("version %d gives tasks to host %d, which runs a build on trial", version, w.Host)
	case isLocal && f.favors(host, w, largestWarmedUp):
		return true, fmt.Errorf("version %d weighs host %d, which has just started, more than warm ones of its size", version, w.Host)
	}
	return true, nil
}

// largestWarmedUp returns the largest planned weight of a local host that has warmed up, relative to its weight in endpoint
// discovery; 0 if there is no such host.
func largestWarmedUp(o Offer, fleet Fleet) (largest float64) {
	for _, w := range o.LocalWeights {
		if host, ok := fleet.Hosts[w.Host]; ok && host.Age >= fleet.SlowStart && host.Weight > 0 {
			largest = max(largest, w.Weight/host.Weight)
		}
	}
	return largest
}

// favors reports whether a host in slow start has a larger planned weight, relative to its weight in endpoint discovery,
// than every host that has warmed up.
func (f Fleet) favors(host KnownHost, w HostWeight, largestWarmedUp float64) bool {
	return host.Age < f.SlowStart && largestWarmedUp > 0 && host.Weight > 0 && w.Weight/host.Weight > largestWarmedUp*(1+tolerance)
}
