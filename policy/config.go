package policy

// Config is the configuration that a Router starts with.
type Config struct {
	Seed    uint64 // of the random source; the same seed and events give the same decisions
	Routers int    // number of routers that serve the fleet
	Rank    int    // this router's number among them, from 0
	Zone    *Zone
	Classes []*Class
	Limits  Limits
	Release ReleaseConfig
}

// Limits are the limits that the deployment sets and the features that it allows.
type Limits struct {
	DrainGrace          Time    // time from the start of its drain for which a host still serves attempts that reach it
	WarmUp              Time    // time from its start until a host has its full capacity
	ColdCapacity        float64 // share of its full capacity that a host has at its start
	ColdOverloadFactor  float64 // a host fails during warm-up at this multiple of its capacity factor
	ColdOverloadWindow  Time    // time over which attempts are counted for ColdOverloadFactor
	PollInterval        Time    // between polls of the endpoint list
	MaxAttempts         int     // per request
	MaxRequestsInFlight int     // at this router; 0 for no limit
	AllowHedging        bool    // whether two attempts of a request may be in flight at once
	MaxRetryAfter       Time    // longest Retry-After of a rejection; 0 if rejections carry none
	PushedDiscovery     bool    // whether endpoint updates arrive without polling
	MaxGossipBytes      int     // largest message to another router; 0 disables gossip
	HealthChecks        bool    // whether health checks of hosts are allowed
	CrossZonePrice      float64 // cost of serving a request in another zone, in units of a request's value
	UnusedAttemptPrice  float64 // cost of an attempt whose response is not used, in the same unit
	OverQuotaValueShare float64 // share of its value that a request beyond its tenant's quota keeps
}

// ConfigChanged replaces the settings of a running router. Earlier attempts and observations still count.
func (r *Router) ConfigChanged(now Time, routers, rank int, limits Limits, release ReleaseConfig) {
	r.now = now
	if r.limits.PushedDiscovery && !limits.PushedDiscovery { // the endpoint list must be polled from now on
		r.effects.WatchEndpoints()
	}
	r.routers, r.rank, r.limits, r.release.config = max(1, routers), rank, limits, release
	r.fleet.valid = false
}
