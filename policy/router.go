package policy

import (
	"encoding/binary"
	"hash/fnv"
)

// Effects carries out the decisions of a Router. Its methods are called before the Router's own method returns; they must
// not call the Router.
type Effects interface {
	// Send starts an attempt, which ends as TimedOut once the timeout has passed.
	Send(attempt *Attempt, timeout Time)
	// Reject gives the request's final response: the request may safely be repeated, preferably after retryAfter.
	Reject(request *Request, retryAfter Time)
	// Fail gives the final response to a request that may have been executed.
	Fail(request *Request)
	// SetTimer requests that TimerFired is called with the timer once the delay has passed.
	SetTimer(delay Time, timer *Timer)
	// WatchEndpoints requests the endpoint list and its changes.
	WatchEndpoints()
	// Vote casts a vote on a build in a stage at the release controller.
	Vote(build, stage int, choice VoteChoice)
	// Log writes one log line about a decision.
	Log(text string)
	// Gossip sends a message to the router with the rank peer, or to all peers if peer is Broadcast.
	Gossip(peer int, body []byte)
	// CancelUnsent ends the attempts of a request that have not been sent, as Revoked or ConnectFailed.
	CancelUnsent(request *Request)
	// CheckHealth starts a health check of a host. Its result is passed to HealthChecked.
	CheckHealth(host *Host)
}

// Broadcast is the rank that addresses all peers.
const Broadcast = -1

// Router makes the decisions of one router instance. It shares no state with other instances and is not safe for
// concurrent use: its owner passes it one event after the other, in the order of their times.
type Router struct {
	effects Effects
	random  randomSource

	now       Time // time of the event that is being handled
	startedAt Time

	routers int // number of routers that serve the fleet
	rank    int // number of this router among them, from 0
	zone    *Zone
	classes []*Class
	limits  Limits

	hosts []*Host // listed hosts, sorted by ID
	fleet fleetSnapshot

	discovery discoveryState
	release   releaseState
	traffic   trafficHistory
	load      loadEstimate
	balancer  balancer
	zones     zonePaths
	admission admissionState
	slowStart slowStartRate
	gossip    gossipState
	analysis  analysisState
	surge     latencySurge
	vote      voteRecord
	shutdown  shutdownState
	clients   clientShares
}

// NewRouter returns a router that knows only its configuration: no hosts and no release. It sets the timer of the regular
// review and, if the endpoint list must be polled, the timer of the first poll.
func NewRouter(now Time, config Config, effects Effects) *Router {
	const startSpread = 2 * Second         // longest period over which routers that start together spread their first polls
	const startSpreadPerPeer = Second / 10 // added to that period for each other router, up to startSpread
	const unknownLatencyShare = 5          // until samples exist, the usual latency is the latency objective divided by this
	const unknownConcurrencyCost = 0.3     // assumed until samples exist: the concurrency cost of a fleet that is neither idle nor full
	r := &Router{effects: effects, random: randomSource{seed: config.Seed}, now: now, startedAt: now,
		routers: max(1, config.Routers), rank: config.Rank, zone: config.Zone, classes: config.Classes, limits: config.Limits,
		release: releaseState{config: config.Release, stickyBuilds: map[string]int{}},
		load:    loadEstimate{concurrencyCost: unknownConcurrencyCost},
		clients: clientShares{loads: map[uint64]*clientLoad{}},
		gossip:  gossipState{complaints: map[int]int{}, unsentComplaints: map[int]int{}}}
	for _, class := range r.classes {
		class.usualLatency = max(1, class.LatencyObjective/unknownLatencyShare)
	}
	effects.SetTimer(reviewInterval, &Timer{})
	if !config.Limits.PushedDiscovery {
		spread := int(min(startSpread, Time(r.routers-1)*startSpreadPerPeer))
		effects.SetTimer(Time(r.random.intN(spread+1)), &Timer{polls: true})
	}
	return r
}

// randomSource generates pseudo-random numbers that depend only on its seed and on the number of earlier draws, so that
// decisions can be replayed.
type randomSource struct{ seed, draws uint64 }

// intN draws a uniformly distributed number from 0 to n-1.
func (s *randomSource) intN(n int) int {
	s.draws++
	h := fnv.New64a()
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], s.seed)
	binary.LittleEndian.PutUint64(b[8:], s.draws)
	h.Write(b[:])
	x := h.Sum64()
	return int((x ^ x>>32) % uint64(n))
}

// chance is true with a probability of perMille in 1000. perMille may be fractional, which in effect rounds it up; 1000
// or more is always true.
func (s *randomSource) chance(perMille float64) bool { return float64(s.intN(1000)) < perMille }

// skip consumes one draw without using it.
func (s *randomSource) skip() { s.draws++ }
