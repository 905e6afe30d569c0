package policy

// Config is the configuration that a Router starts with.
type Config struct {
	Seed    uint64 // of the random source; the same events and seed give the same decisions
	Routers int    // all that serve the fleet
	Rank    int    // this router's number among them, from 0
	Zone    *Zone
	Classes []*Class
	Limits  Limits
	Release ReleaseConfig
}

// Limits are the bounds that the deployment sets and the features that it allows.
type Limits struct {
	DrainGrace          Time    // after its drain begins, for which a host still serves attempts that reach it
	WarmUp              Time    // of a host after its start
	ColdCapacity        float64 // share of its capacity that a host has at its start
	ColdOverloadFactor  float64 // times its capacity factor at which a warming host fails
	ColdOverloadWindow  Time    // over which that is counted
	PollInterval        Time    // of the endpoint list
	MaxAttempts         int     // of one request
	MaxRequestsInFlight int     // requests in flight at the router; 0 for no limit
	AllowHedging        bool    // two attempts of a request may be in flight at once
	MaxRetryAfter       Time    // longest Retry-After of a rejection; 0 for none
	PushedDiscovery     bool    // endpoint updates come without a poll
	MaxGossipBytes      int     // of a message to another router; 0 where there is no gossip
	HealthChecks        bool    // hosts may be probed
	CrossZonePrice      float64 // of a request served in another zone, in units of a request's value
	UnusedAttemptPrice  float64 // of an attempt whose response is not used
	OverQuotaValueShare float64 // share of its value that a request beyond its tenant's quota keeps
}

// ConfigChanged replaces the settings of a running router. Earlier attempts and observations go on counting.
func (r *Router) ConfigChanged(now Time, routers, rank int, limits Limits, release ReleaseConfig) {
	r.now = now
	if r.limits.PushedDiscovery && !limits.PushedDiscovery { // from now on the list must be polled
		r.effects.WatchEndpoints()
	}
	r.routers, r.rank, r.limits, r.release.config = max(1, routers), rank, limits, release
	r.fleet.valid = false
}
