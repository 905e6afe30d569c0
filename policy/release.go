package policy

// Phase is where a release stands.
type Phase int

// Phases of a release; their values are stored.
const (
	Canary Phase = iota
	RollingBack
	Released
	RolledBack
)

// ReleaseStatus is what the release controller reports of the newest build.
type ReleaseStatus struct {
	Build, Stage int
	Phase        Phase
	ExposureCap  float64    // share of the requests that may go to the canary
	Age          Time       // since the release controller came to it
	VoteResult   VoteResult // of the router's own vote, where this answers one
}

// PromotionMode is how the release controller promotes a build to the next stage.
type PromotionMode int

// Modes of promotion; their values are stored.
const (
	AnyRouter PromotionMode = iota // by one vote
	Quorum                         // by the votes of several routers
	Timed                          // after a time, unless votes hold or roll back
)

// ReleaseConfig is the release controller's settings.
type ReleaseConfig struct {
	Mode              PromotionMode
	ExposureCaps      []float64 // by stage
	MinStageTime      Time
	StageTime         Time    // in mode Timed
	PromoteQuorum     int     // votes that promote a stage
	RollbackQuorum    int     // votes that roll a build back
	VoteTTL           Time    // for which a vote stands
	VoteTimeout       Time    // for a reply to a vote
	MaxVotesPerSecond float64 // of all routers together
	ExposureWindow    Time    // that exposure is counted over
	ExposureAllowance float64 // attempts in the window beside the cap's
	ExposurePerClass  bool    // each class is counted by itself
	GuardedStages     int     // first stages, in which the canary gets only idempotent requests
	StickyKeys        bool    // a request with a key stays with the build that answered the key
	DelayPrice        float64 // of a longer release, in the unit of HarmPrice
	HarmPrice         float64 // of failed requests that are not idempotent
	ComplaintShare    float64 // share of the wrong responses that clients complain of
	SampledShare      float64 // share of the attempts in the release controller's statistics
}

// releaseState is what the release controller reported: its settings and where the newest build stands.
type releaseState struct {
	config ReleaseConfig
	status ReleaseStatus
	known  bool // some status has come

	offeredAt      Time // when the newest build was first announced
	stageStartedAt Time

	releasedBuild   int // newest build known to be released, 0 for none
	releasedAt      Time
	rolledBackBuild int // newest build known to roll back or to have done so, 0 for none

	stickyBuilds map[string]int // build that answered a key, while two builds serve
}

// ReleaseChanged takes a status of the release controller, or its reply to a vote.
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

// applyReleaseStatus replaces the status. At a new build it keeps the latency before it; at a new stage votes begin anew.
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
		clear(release.stickyBuilds) // the build before serves all keys or has rolled back
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
