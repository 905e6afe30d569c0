package policy

// Phase is the phase that a release has reached.
type Phase int

// Phases of a release; their values are stored.
const (
	Canary Phase = iota
	RollingBack
	Released
	RolledBack
)

// ReleaseStatus is the status of the newest build, as reported by the release controller.
type ReleaseStatus struct {
	Build, Stage int
	Phase        Phase
	ExposureCap  float64    // maximum share of the requests that may go to the canary
	Age          Time       // time since the release controller entered this stage and phase
	VoteResult   VoteResult // result of the router's own vote, if this status is the response to one
}

// PromotionMode is how the release controller promotes a build to the next stage.
type PromotionMode int

// Modes of promotion; their values are stored.
const (
	AnyRouter PromotionMode = iota // by one vote
	Quorum                         // by the votes of several routers
	Timed                          // after StageTime, unless votes hold or roll back the build
)

// ReleaseConfig holds the release controller's settings.
type ReleaseConfig struct {
	Mode              PromotionMode
	ExposureCaps      []float64 // maximum share of the requests that may go to the canary, for each stage
	MinStageTime      Time
	StageTime         Time    // duration of a stage in mode Timed
	PromoteQuorum     int     // number of votes required to promote a stage
	RollbackQuorum    int     // number of votes required to roll a build back
	VoteTTL           Time    // how long a vote is valid
	VoteTimeout       Time    // how long the response to a vote may take
	MaxVotesPerSecond float64 // limit on the votes of all routers together
	ExposureWindow    Time    // period over which exposure is counted
	ExposureAllowance float64 // attempts in the window that are allowed in addition to the cap
	ExposurePerClass  bool    // whether exposure is counted separately for each class
	GuardedStages     int     // number of first stages in which the canary gets only idempotent requests
	StickyKeys        bool    // whether a request with a key goes to the build that served the key before, or to a later build
	DelayPrice        float64 // cost of a longer release, in the unit of HarmPrice
	HarmPrice         float64 // cost of failed requests that are not idempotent
	ComplaintShare    float64 // share of the wrong responses that clients complain about
	SampledShare      float64 // share of the attempts that the release controller's statistics include
}

// releaseState is what the release controller reported: its settings and the status of the newest build.
type releaseState struct {
	config ReleaseConfig
	status ReleaseStatus
	known  bool // whether a status was received

	offeredAt      Time // when the newest build was first announced
	stageStartedAt Time

	releasedBuild   int // newest build known to be released, 0 if there is none
	releasedAt      Time
	rolledBackBuild int // newest build known to be rolling back or rolled back, 0 if there is none

	stickyBuilds map[string]int // the build that last served each key, recorded while two builds serve
}

// ReleaseChanged processes a status from the release controller, which may be its response to a vote.
func (r *Router) ReleaseChanged(now Time, status ReleaseStatus) {
	r.now = now
	if status.VoteResult == Unsolicited || status.VoteResult == VoteAccepted {
		r.applyReleaseStatus(status)
	}
	if status.VoteResult == VoteAccepted {
		r.transitionVote(voteCounted, verdict{})
	} else if status.VoteResult != Unsolicited {
		r.transitionVote(voteDropped, verdict{})
	}
}

// applyReleaseStatus replaces the status. For a new build, it records the usual latencies as those before the canary. For a
// new build, stage or phase, it discards the router's last vote.
func (r *Router) applyReleaseStatus(status ReleaseStatus) {
	release, last := &r.release, r.release.status
	if !release.known || status.Build != last.Build || status.Stage != last.Stage || status.Phase != last.Phase {
		release.stageStartedAt, r.vote = r.now-status.Age, voteRecord{}
	}
	if status.Build != last.Build {
		for _, class := range r.classes {
			class.baselineLatency = class.usualLatency
		}
		release.offeredAt, r.surge.state, r.surge.since = r.now, surgeNone, r.now
		clear(release.stickyBuilds) // the build before this one serves all keys or was rolled back
	}
	release.status, release.known = status, true
	switch status.Phase {
	case Canary:
	case Released:
		release.releasedBuild, release.releasedAt = status.Build, r.now-status.Age
	default:
		if release.rolledBackBuild = status.Build; release.releasedBuild == status.Build {
			release.releasedBuild = 0
		}
	}
	r.fleet.valid = false
}
