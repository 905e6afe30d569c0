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
	DrainGrace          Time    // how long a host still serves attempts after it began to drain
	WarmUp              Time    // time from a host's start until it has its full capacity
	ColdCapacity        float64 // capacity of a host at its start, as a share of its full capacity
	ColdOverloadFactor  float64 // a host fails during warm-up if it gets more than this multiple of a baseline host's attempts times its capacity factor
	ColdOverloadWindow  Time    // period over which attempts are counted for ColdOverloadFactor
	PollInterval        Time    // time between polls of the endpoint list
	MaxAttempts         int     // maximum number of attempts per request
	MaxRequestsInFlight int     // maximum number of requests in flight at this router; 0 means no limit
	AllowHedging        bool    // whether two attempts of a request may be in flight at once
	MaxRetryAfter       Time    // longest Retry-After of a rejection; 0 means that rejections have no Retry-After
	PushedDiscovery     bool    // whether endpoint updates arrive without polling
	MaxGossipBytes      int     // largest message to another router, in bytes; 0 disables gossip
	HealthChecks        bool    // whether health checks of hosts are allowed
	CrossZonePrice      float64 // cost of serving a request in another zone, in units of a request's value
	UnusedAttemptPrice  float64 // cost of an attempt whose response is not used, in the same unit
	OverQuotaValueShare float64 // value of a request beyond its tenant's quota, as a share of its full value
}

// ConfigChanged replaces the settings of a running router. Earlier attempts and observations still count. Attempts that were
// sent continue; CheckSend applies the new settings to those that were not, and TimerFired to timers that were set before.
func (r *Router) ConfigChanged(now Time, routers, rank int, limits Limits, release ReleaseConfig) {
	r.now = now
	if r.limits.PushedDiscovery && !limits.PushedDiscovery { // the endpoint list must be polled from now on
		r.effects.WatchEndpoints()
	}
	r.routers, r.rank, r.limits, r.release.config = max(1, routers), rank, limits, release
	r.fleet.valid = false
}
