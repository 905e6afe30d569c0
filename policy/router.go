package policy

import (
	"encoding/binary"
	"hash/fnv"
)

// Effects carries out what a Router decides. Its methods are called before the Router's own call returns; they must not call
// the Router.
type Effects interface {
	// Send starts an attempt and ends it as TimedOut after the given time.
	Send(attempt *Attempt, within Time)
	// Reject gives the request's final answer: it did no harm and may be repeated, best after the given time.
	Reject(request *Request, retryAfter Time)
	// Fail gives the request's final answer where it may have been executed.
	Fail(request *Request)
	// SetTimer asks for a call of TimerFired with the timer after the given time.
	SetTimer(in Time, timer *Timer)
	// WatchEndpoints asks for the endpoint list and its changes.
	WatchEndpoints()
	// Vote casts a vote on a build in a stage at the release controller.
	Vote(build, stage int, choice VoteChoice)
	// Log writes a line about a decision.
	Log(text string)
	// Gossip sends a message to the router of a rank, or to all of them for Broadcast.
	Gossip(peer int, body []byte)
	// CheckHealth probes a host; HealthChecked takes the result.
	CheckHealth(host *Host)
}

// Broadcast stands for the ranks of all peers.
const Broadcast = -1

// Router decides for one router instance. It shares nothing with others and is not safe for concurrent use: its owner
// calls it with one event after the other, in the order of their times.
type Router struct {
	effects Effects
	random  randomSource

	now       Time // of the event in hand
	startedAt Time

	routers int // all that serve the fleet
	rank    int // of this one among them, from 0
	zone    *Zone
	classes []*Class
	limits  Limits

	hosts []*Host // listed ones, by ID
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
}

// NewRouter starts a router that knows only its configuration: no host and no release. It sets the timer of the regular
// review and, where endpoints must be polled, that of the first poll.
func NewRouter(now Time, config Config, effects Effects) *Router {
	const startSpread = 2 * Second         // routers that start at once poll within this
	const startSpreadPerPeer = Second / 10 // or within so much for each other router
	const unknownLatencyShare = 5          // of the latency objective, as usual latency until something is known
	const unknownConcurrencyCost = 0.3     // that of a fleet neither idle nor full
	r := &Router{effects: effects, random: randomSource{seed: config.Seed}, now: now, startedAt: now,
		routers: max(1, config.Routers), rank: config.Rank, zone: config.Zone, classes: config.Classes, limits: config.Limits,
		release: releaseState{config: config.Release, stickyBuilds: map[string]int{}},
		load:    loadEstimate{concurrencyCost: unknownConcurrencyCost},
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

// randomSource draws numbers that follow from its seed and the number of earlier draws, so that decisions can be
// replayed.
type randomSource struct{ seed, draws uint64 }

// intN draws evenly from 0 up to n.
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

// chance is true in so many of a thousand draws, which may be a fraction; more than 1000 is always.
func (s *randomSource) chance(perMille float64) bool { return float64(s.intN(1000)) < perMille }

// skip leaves out one draw.
func (s *randomSource) skip() { s.draws++ }
