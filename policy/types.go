// Package policy decides where tasks go while a fleet's build is being replaced.
// This file is its interface: the trade's nouns, what a Router is told and what it asks for.
package policy

// Time is a moment or a span in whole tenths of a millisecond.
type Time int64

// Second is the unit that long spans are written in.
const Second Time = 10_000

// Idempotency says what running a task twice would do.
type Idempotency int

const (
	Idempotent        Idempotency = iota // harmless
	IdempotentWithKey                    // a mark lets hosts of one group drop the repeat for a while
	NonIdempotent                        // it must never run twice
)

// DedupScope is the set of hosts that drop each other's repeats.
type DedupScope int

const (
	FleetScope DedupScope = iota
	ZoneScope
	CellScope
)

// Class is a kind of task.
type Class struct {
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      Time // how long a group drops repeats
	LatencyObjective Time // answered within this it earns in full
	PriorityWeight   float64
	LateValueShare   float64 // share of the earnings left after the promised time

	latencies       []Time         // what finished sends took lately
	serviceTimes    []float64      // the same, less what the host's other tasks added
	usualLatency    Time           // what it usually takes at a host that holds nothing else
	failureOdds     float64        // that the build on trial fails it
	baselineLatency Time           // mid when the build on trial was first told
	inFlight        int            // sends out where they may be told, as waits counted last
	ownStats        admissionStats // what became of own sends lately
	peerStats       admissionStats // and of peers', as they told
}

// Tenant is whoever pays for a task.
type Tenant struct {
	QuotaPerSecond float64 // tasks a second, over all routers, that earn in full

	arrivals []trafficEvent
}

// Zone is where hosts and routers stand. It is told by its address alone, so it must not be of size zero.
type Zone struct{ _ byte }

// EndpointState is what the host list says of a host.
type EndpointState int

const (
	Serving EndpointState = iota
	Draining
	Removed
)

// Host is one machine; a later process or machine under the same id is the same Host with a new Up.
type Host struct {
	ID        uint32 // for an order that is the same everywhere, nothing else
	Zone      *Zone
	Cell      int
	State     EndpointState
	Build     int
	Weight    float64
	StartedAt Time // when its process last started; 0 is long ago

	listed       bool
	health       hostHealth
	backoffUntil Time // when its health is looked at anew
	leftAt       Time // when it was told to drain or to be gone
	inFlight     []*Attempt
	attempts     []trafficEvent
	samples      []attemptSample
	load         *LoadReport
	loadAt       Time
	connectedAt  Time           // when a send over a link to it last ended
	healthByHops [3]healthStats // own, told by who met the host, and passed on once
	planWeight   float64        // of the tasks of its side, as a plan has it; in a unit that all share
}

// EndpointUpdate is what the host list says of one host; whoever calls turns lists into changes.
type EndpointUpdate struct {
	Host      *Host
	Zone      *Zone
	Cell      int
	State     EndpointState
	Build     int
	Weight    float64
	StartedAt Time
}

// WeightPlan is a plan of shares worked out ahead: a hint, which the router's own view goes before.
type WeightPlan struct {
	Weights map[*Host]float64
	Cross   float64 // share of the tasks that start far away
	Until   Time    // it is not followed from then on
}

// LoadReport is what a host reports of itself; a negative figure was not reported.
type LoadReport struct{ ActiveRequests, QueuedRequests, CPUUtilization, MeanLatency, RequestsPerSecond float64 }

// Request is one call that the router has taken.
type Request struct {
	Class        *Class
	Tenant       *Tenant // nil where there are none
	Key          string
	Timeout      Time // how long the client goes on waiting
	ExpectedWork Time // expected work, 0 where not told
	ClientRetry  bool // the client says that it tries again

	Attempts []*Attempt

	arrivedAt      Time
	state          requestState
	firstAmbiguous *Attempt // the first send that may have run
}

// Answered tells whether the task has had its final answer.
func (t *Request) Answered() bool { return t.state == finished }

// Attempt is one try of a task at a host.
type Attempt struct {
	Request *Request
	Host    *Host

	outcome         Outcome
	sentAt          Time
	build           int
	hostStartedAt   Time
	shadowTimeout   Time // what a lone copy would be given
	hostLoad        float64
	role            attemptRole
	responseStarted bool
}

// IsShadow tells a send that was made to judge the build on trial: beside its original, or before it.
func (s *Attempt) IsShadow() bool { return s.role == shadowAttempt || s.role == shadowFirstAttempt }

// Outcome is how a send ended.
type Outcome int

const (
	Pending        Outcome = iota
	Succeeded              // answered
	Failed                 // answered with an error; it may have run
	Rejected               // rejected unseen
	TimedOut               // no answer in time; it may have run
	ConnectFailed          // no connection in time; it never ran
	ConnectionLost         // the connection dropped; it may have run
	Canceled               // the router stopped waiting; it may have run
	NotSent                // it never left
)

// Phase is where a release stands.
type Phase int

const (
	Canary Phase = iota
	RollingBack
	Released
	RolledBack
)

// VoteResult is what became of a vote.
type VoteResult int

const (
	Unsolicited  VoteResult = iota // news that no vote asked for
	VoteAccepted                   // the vote stands
	VoteStale                      // not the present build or stage
	VoteRejected                   // too many votes, or an error: it does not count
	VoteUnknown                    // no reply: it may count
)

// ReleaseStatus is what the release desk tells.
type ReleaseStatus struct {
	Build, Stage int
	Phase        Phase
	ExposureCap  float64
	Age          Time
	VoteResult   VoteResult
}

// BuildStats is what the release desk counted for one build and category over a period.
type BuildStats struct {
	Build             int
	Class             *Class
	Failures, Samples int
	MeanLatency       Time
	Age               Time

	Window Time // the span that was counted

	receivedAt Time
	hosts      int     // that ran the build when the count came
	warmShare  float64 // share of them that were warm when its span began
	warmUpBias float64 // log of how much longer they take for the cold, at the most
}

// VoteChoice is what a vote says.
type VoteChoice int

const (
	Abstain VoteChoice = iota
	Promote
	Hold
	Rollback
)

// PromotionMode is how the desk moves a build on.
type PromotionMode int

const (
	AnyRouter PromotionMode = iota
	Quorum
	Timed
)

// ReleaseConfig is what the release desk told at start.
type ReleaseConfig struct {
	Mode              PromotionMode
	ExposureCaps      []float64 // by stage
	MinStageTime      Time      // of a stage
	StageTime         Time      // of a stage, under Clock
	PromoteQuorum     int       // votes that move a stage on
	RollbackQuorum    int       // votes that send a build back
	VoteTTL           Time
	VoteTimeout       Time
	MaxVotesPerSecond float64 // from all routers together
	ExposureWindow    Time    // of the rule on exposure
	ExposureAllowance float64
	ExposurePerClass  bool
	GuardedStages     int // stages that take retriable tasks only
	StickyKeys        bool
	DelayPrice        float64
	HarmPrice         float64
	ComplaintShare    float64 // share of the wrong answers that is reported
	SampledShare      float64 // share of the sends in the desk's counts
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

// Timer is a call that the router asked for.
type Timer struct {
	attempt *Attempt
	polls   bool
}

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

// attemptSample is one ended send, kept for the figures made of it.
type attemptSample struct {
	at, latency, hostAge Time
	host                 *Host
	class                *Class
	outcome              Outcome
	impatient            bool // its client waited less than the promised time
	hostLoad, slowdown   float64
	unqueuedSlowdown     float64 // strain, less what the host's other tasks added
}

// buildWindow keeps the last samples of one build.
type buildWindow struct {
	build      int
	samples    []attemptSample
	complaints []attemptSample
}

type trafficEvent struct {
	at                    Time
	class                 *Class
	locality              int
	outcome               Outcome
	late                  bool // beyond the promised time
	latency, usualLatency Time // how long a send was out, and its usual time where it was answered
}

type voteRecord struct {
	state  voteState
	choice VoteChoice
	castAt Time
}

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

// fleetSnapshot is what hosts add up to, kept as sends come and go and counted anew once hosts or news have changed.
type fleetSnapshot struct {
	valid               bool
	healthy             [2]int // hosts of a side that are fit and whose build is not on trial
	inFlight            [2]int // sends out at these
	ejected             int
	baselineHosts       int // whose build is not on trial; newest is the newest of these builds, which latest of them run
	newestBaseline      int
	newestBaselineHosts int
	baselineCapacity    float64 // what hosts whose build is not on trial can do, as of a moment
	capacityAt          Time
}

// responseCounter is one side's last answers, with running sums of those in a window: whole numbers, so that their order is no
// matter.
type responseCounter struct {
	responses             []countedResponse
	windowStart           int // of all that lies in the window
	usualLatency, latency Time
}

// countedResponse is one finished send, by its number among all that ended.
type countedResponse struct {
	sequence                  int
	at, usualLatency, latency Time
}

type (
	requestState int
	requestEvent int
	attemptRole  int
	hostHealth   int
	healthEvent  int
	surgeState   int
	surgeEvent   int
	voteState    int
	voteEvent    int
)

const (
	localZone = iota
	remoteZones
)

const (
	notExecuted     requestState = iota // nothing sent may have run
	mayHaveExecuted                     // something sent may have run
	finished
)

const (
	requestArrived requestEvent = iota
	attemptNotExecuted
	attemptMayHaveExecuted
	attemptSlow  // still out, longer than usual
	requestEnded // answered, or the client has gone
)

const (
	primaryAttempt     attemptRole = iota
	shadowAttempt                  // beside its original
	shadowFirstAttempt             // before its original, where two at once are forbidden or the category has an effect
	retryAttempt
)

const (
	healthy hostHealth = iota
	ejected
	backingOff
)

const (
	hostFailing healthEvent = iota
	hostRecovered
	hostRefused
	hostUnchanged
)

const (
	surgeNone surgeState = iota
	surgePaused
	surgeObserved
	surgeProven
)

const (
	surgeRose surgeEvent = iota
	surgeSubsided
	surgeTimedOut
)

const (
	voteIdle voteState = iota
	votePending
	voteStanding
)

const (
	voteWanted   voteEvent = iota // the verdict differs from what stands, or that will soon run out
	voteTimedOut                  // no answer in time
	voteCounted
	voteDropped // refused, moot or unclear
)

// Rows of the tables by which decisions are read: state, input, next state, effect.
type (
	requestTransition struct {
		state  requestState
		event  requestEvent
		next   requestState
		action func(*Router, *Request)
	}
	healthTransition struct {
		state   hostHealth
		event   healthEvent
		next    hostHealth
		backoff Time
	}
	surgeTransition struct {
		state surgeState
		event surgeEvent
		next  surgeState
	}
	voteTransition struct {
		state     voteState
		event     voteEvent
		next      voteState
		castsVote bool
	}
)

// hostSummary is what one host's samples say of its build.
type hostSummary struct {
	host                            *Host
	attempts, failures, logSlowdown float64 // slow sums up logs of paces
}

// stratum is how many tries of a kind went bad, and the share of them that usually does.
type stratum struct{ failures, attempts, expectedRate float64 }
