package policy

// Config is all that a router is told when it starts.
type Config struct {
	Seed    uint64
	Routers int
	Rank    int // this router's number among them, from 0
	Zone    *Zone
	Classes []*Class
	Limits  Limits
	Release ReleaseConfig
}

// Limits are the rules' figures and what the place allows.
type Limits struct {
	DrainGrace          Time
	WarmUp              Time
	ColdCapacity        float64
	ColdOverloadFactor  float64
	ColdOverloadWindow  Time
	PollInterval        Time
	MaxAttempts         int
	MaxOpen             int
	AllowHedging        bool
	MaxRetryAfter       Time // that a turn-back may name as a time to come back; 0 for none
	PushedDiscovery     bool // the host list comes by itself
	MaxGossipBytes      int  // most bytes of a message to another router; 0 where there are none
	HealthChecks        bool // hosts may be probed
	CrossZonePrice      float64
	WastePrice          float64
	OverQuotaValueShare float64
}

// ConfigChanged takes over other settings while the router runs; what was sent and seen before counts on.
func (r *Router) ConfigChanged(now Time, routers, rank int, l Limits, d ReleaseConfig) {
	r.now = now
	if r.limits.PushedDiscovery && !l.PushedDiscovery { // from now on the list must be asked for
		r.effects.WatchEndpoints()
	}
	r.routers, r.rank, r.limits, r.release.config = max(1, routers), rank, l, d
	r.fleet.valid = false
}
