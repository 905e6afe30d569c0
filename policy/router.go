package policy

import (
	"encoding/binary"
	"hash/fnv"
)

// Effects carry out what a Router decides.
type Effects interface {
	Send(attempt *Attempt, within Time)
	Reject(request *Request, stay Time)
	Fail(request *Request)
	SetTimer(in Time, what *Timer)
	WatchEndpoints()
	Vote(build, stage int, choice VoteChoice)
	Log(text string)
	Gossip(peer int, body []byte) // peer is a rank, or Everyone
	CheckHealth(host *Host)
}

// Broadcast stands for the ranks of all peers.
const Broadcast = -1

// Router is one instance's mind; it shares nothing with others.
type Router struct {
	effects       Effects
	seed          uint64
	draws         uint64
	now           Time
	startedAt     Time
	routers       int
	rank          int
	zone          *Zone
	classes       []*Class
	limits        Limits
	releaseConfig ReleaseConfig
	hosts         []*Host
	releaseStatus ReleaseStatus
	releaseKnown  bool
	completedWork [2]struct { // near and far: work answered lately, as of a moment
		at, span     Time
		done, strain float64
		last         responseCounter
	}
	baselineRate struct { // sends that a host gets from this router, as of a moment
		at   Time
		rate float64
	}
	concurrencyCost  float64         // what each task that a host holds adds to the time of the next, as a share
	recentBaseline   []attemptSample // finished sends at earlier builds
	releasedBuild    int             // the newest build known to be released, and since when
	releasedAt       Time
	rolledBackBuild  int        // the newest build known to go back, or to have gone
	offeredAt        Time       // when the newest build was first told
	stageStartedAt   Time       // when the present stage was first told
	surge            surgeState // how the fleet has slowed during the trial, and since when
	surgeSince       Time
	lastUnslowedAt   Time      // when the fleet was last about as quick as before the trial
	reportedLoads    []float64 // what hosts last reported to hold
	arrivals         []trafficEvent
	canaryAttempts   []trafficEvent
	baselineAttempts []trafficEvent
	ended            []trafficEvent
	endedBase        int // number of the first of done among all that ever were
	retries          []trafficEvent
	stickyBuilds     map[string]int
	windows          []*buildWindow
	stats            []BuildStats
	vote             voteRecord
	failedPolls      int  // list calls that failed in a row
	lastPollAt       Time // when the list was asked for last
	plan             WeightPlan
	fleet            fleetSnapshot
	localHosts       []*Host // scratch for choices among hosts, so that these take no memory
	remoteHosts      []*Host
	connectedHosts   []*Host
	weights          []float64 // scratch for shares, and for parts of a plan
	planWeights      []float64
	countedLoad      float64        // what a host holds, as the desk counted last
	paths            [2]healthStats // own sends of the sides lately
	remoteDegraded   bool           // the way to the far side is poor
	peerRemotePath   healthStats    // of the far side, told by those nearby
	localPeers       []int          // peers nearby that were heard last
	activePeers      float64        // peers heard lately, faded
	lastGossipAt     Time
	complaints       map[int]int // complaints by build, of all routers
	unsentComplaints map[int]int // and own ones that no peer has been told
}

// NewRouter starts a router that knows nothing but its place.
func NewRouter(now Time, p Config, hands Effects) *Router {
	r := &Router{effects: hands, seed: p.Seed, now: now, startedAt: now, routers: max(1, p.Routers), rank: p.Rank,
		zone: p.Zone, classes: p.Classes, limits: p.Limits, releaseConfig: p.Release, stickyBuilds: map[string]int{},
		complaints: map[int]int{}, unsentComplaints: map[int]int{}, concurrencyCost: 0.3} // a fleet neither idle nor full, until known
	for _, class := range r.classes {
		class.usualLatency = max(1, class.LatencyObjective/5) // until something is known
	}
	if hands.SetTimer(reviewInterval, &Timer{}); !p.Limits.PushedDiscovery { // many that start at once don't ask as one
		hands.SetTimer(Time(r.randomN(int(min(2*Second, Time(r.routers-1)*Second/10))+1)), &Timer{polls: true})
	}
	return r
}

// randomN draws evenly from 0 up to n.
func (r *Router) randomN(n int) int {
	r.draws++
	h := fnv.New64a()
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], r.seed)
	binary.LittleEndian.PutUint64(b[8:], r.draws)
	h.Write(b[:])
	x := h.Sum64()
	return int((x ^ x>>32) % uint64(n))
}
