package policy

// releaseState is what the release controller told: its settings and where the newest build stands.
type releaseState struct {
	config ReleaseConfig
	status ReleaseStatus
	known  bool // some status has come

	offeredAt      Time // when the newest build was first heard of
	stageStartedAt Time

	releasedBuild   int // newest build known to be released, 0 for none
	releasedAt      Time
	rolledBackBuild int // newest build known to roll back or to have done so, 0 for none

	stickyBuilds map[string]int // build that answered a key, while two builds serve
}

// Phase is where a release stands.
type Phase int

const (
	Canary Phase = iota
	RollingBack
	Released
	RolledBack
)

// ReleaseStatus is what the release desk tells.
type ReleaseStatus struct {
	Build, Stage int
	Phase        Phase
	ExposureCap  float64
	Age          Time
	VoteResult   VoteResult
}

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

// ReleaseChanged takes in the desk's news, or its answer to a vote.
func (r *Router) ReleaseChanged(now Time, n ReleaseStatus) {
	r.now = now
	if n.VoteResult == Unsolicited || n.VoteResult == VoteAccepted {
		r.applyReleaseStatus(n)
	}
	if n.VoteResult == VoteAccepted {
		r.transitionVote(voteCounted, 0, 0, nil)
	} else if n.VoteResult != Unsolicited {
		r.transitionVote(voteDropped, 0, 0, nil)
	}
}

// applyReleaseStatus takes over news, and at a new build remembers how quick the fleet was before it.
func (r *Router) applyReleaseStatus(n ReleaseStatus) {
	if !r.release.known || n.Build != r.release.status.Build || n.Stage != r.release.status.Stage || n.Phase != r.release.status.Phase {
		r.release.stageStartedAt, r.vote = r.now-n.Age, voteRecord{}
	}
	if n.Build != r.release.status.Build {
		for _, class := range r.classes {
			class.baselineLatency = class.usualLatency
		}
		r.release.offeredAt, r.surge.state, r.surge.since = r.now, surgeNone, r.now
		clear(r.release.stickyBuilds) // no key stays with the build before, which serves them all or has gone back
	}
	if r.release.status, r.release.known = n, true; n.Phase == Released {
		r.release.releasedBuild, r.release.releasedAt = n.Build, r.now-n.Age
	} else if n.Phase != Canary {
		if r.release.rolledBackBuild = n.Build; r.release.releasedBuild == n.Build {
			r.release.releasedBuild = 0
		}
	}
	r.fleet.valid = false
}
