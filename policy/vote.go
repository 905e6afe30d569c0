package policy

import (
	"fmt"
	"math"
	"slices"
)

// VoteResult is the result of a vote at the release controller.
type VoteResult int

// Results of a vote; their values are stored.
const (
	Unsolicited  VoteResult = iota // the status is not a response to a vote
	VoteAccepted                   // the vote counts
	VoteStale                      // the vote is not on the current build or stage
	VoteRejected                   // there were too many votes, or an error; the vote does not count
	VoteUnknown                    // there was no response; the vote may count
)

// VoteChoice is what a vote is for.
type VoteChoice int

// Choices of a vote; their values are stored.
const (
	Abstain VoteChoice = iota
	Promote
	Hold
	Rollback
)

// voteRecord is the router's last vote in the current stage.
type voteRecord struct {
	state  voteState
	choice VoteChoice
	castAt Time
}

// voteState is the state of the router's last vote at the release controller:
//
//	state         event         next          casts a vote
//	voteIdle      voteWanted    votePending   yes
//	voteStanding  voteWanted    votePending   yes
//	votePending   voteTimedOut  voteIdle
//	votePending   voteCounted   voteStanding
//	votePending   voteDropped   voteIdle
//
// Any other pair changes nothing.
type voteState int

const (
	voteIdle voteState = iota
	votePending
	voteStanding
)

type voteEvent int

const (
	voteWanted   voteEvent = iota // the verdict differs from the last vote, or that vote does not count or expires soon
	voteTimedOut                  // no response in time
	voteCounted
	voteDropped // rejected, stale or of unknown result
)

// voteTransition is a row of the table that is documented at voteState.
type voteTransition struct {
	state     voteState
	event     voteEvent
	next      voteState
	castsVote bool
}

var voteTransitions = []voteTransition{
	{voteIdle, voteWanted, votePending, true},
	{voteStanding, voteWanted, votePending, true},
	{votePending, voteTimedOut, voteIdle, false},
	{votePending, voteCounted, voteStanding, false},
	{votePending, voteDropped, voteIdle, false},
}

// transitionVote applies the table. v is the verdict that the vote expresses; it is empty for events that cast no vote.
func (r *Router) transitionVote(event voteEvent, v verdict) {
	for _, row := range voteTransitions {
		if row.state != r.vote.state || row.event != event {
			continue
		}
		r.vote.state = row.next
		if row.castsVote {
			r.vote.choice, r.vote.castAt = v.choice, r.now
			build, stage := r.release.status.Build, r.release.status.Stage
			r.effects.Vote(build, stage, v.choice)
			r.effects.Log(fmt.Sprintf("votes %d on build %d in stage %d: odds of bad %.2g, mean of %.2g",
				v.choice, build, stage, v.odds, v.testOdds))
		}
		return
	}
}

// verdict is the conclusion on the newest build that the evidence supports.
type verdict struct {
	choice   VoteChoice
	odds     float64   // that the build is bad
	testOdds []float64 // of each test
}

// Limits of the odds that the newest build is bad, by which votes are cast.
const (
	rollbackOdds       = 8.0  // at most one good build in this many is rolled back by chance
	costlyRollbackOdds = 30.0 // where statistics don't distinguish one failing host from a bad build, and after a release
	minRollbackOdds    = 2.5  // minimum for any quorum; a single host can cause odds below this
	promoteOdds        = 4.0  // a stage is promoted unless the build is in doubt, because each stage's exposure is limited
	releaseOdds        = 0.3  // the last stage is promoted when the build is fairly certain to be good
	releaseOddsPerWait = 0.02 // added to releaseOdds for each second after the minimum stage time
	releaseTestPerWait = 0.5  // added to the limit of the worst test's odds for each second after the minimum stage time
	maxReleaseTestOdds = 8.0  // upper bound of the limit of the worst test's odds, while shadow attempts of its class continue
)

// evidenceShare returns the exponent that reduces the odds that each router requires if the given number of votes must
// agree. Each router has evidence of its own, so that each needs less of it than a router that decides alone.
func evidenceShare(votes int) float64 { return 1 / math.Sqrt(float64(max(1, votes-1))) }

// judge derives a verdict on the newest build from the evidence.
func (r *Router) judge() verdict {
	status, config := &r.release.status, &r.release.config
	if !r.release.known || status.Build == 0 || status.Phase == RollingBack || status.Phase == RolledBack {
		return verdict{}
	}
	odds, testOdds := r.evidence()
	v := verdict{odds: odds, testOdds: testOdds}
	final := status.Stage+1 >= len(config.ExposureCaps)
	limit, testLimit := r.promotionLimits(final)
	rollbackAt := rollbackOdds
	if r.judgesByStats() || status.Phase == Released {
		rollbackAt = costlyRollbackOdds
	}
	switch {
	case odds > max(minRollbackOdds, math.Pow(rollbackAt, evidenceShare(config.RollbackQuorum))):
		v.choice = Rollback
	case status.Phase == Canary && config.Mode == Timed && odds > promoteOdds:
		v.choice = Hold
	case status.Phase == Released || config.Mode == Timed || len(testOdds) == 0 || final && r.isUnreadyForRelease():
	case odds < limit && slices.Max(testOdds) <= testLimit:
		v.choice = Promote
	}
	return v
}

// promotionLimits returns the limits of the odds, over all tests and of the worst test, below which the current stage is
// promoted. For the last stage, whose promotion is the release, they rise over time, because waiting has a cost.
func (r *Router) promotionLimits(final bool) (odds, testOdds float64) {
	if !final {
		return promoteOdds, math.Inf(1)
	}
	waited := float64(max(0, r.now-r.release.stageStartedAt-r.release.config.MinStageTime)) / float64(Second)
	share := evidenceShare(r.release.config.PromoteQuorum)
	return min(1, math.Pow(releaseOdds, share)+releaseOddsPerWait*waited),
		min(maxReleaseTestOdds, 1+releaseTestPerWait*waited) / share
}

// mayVote reports whether it is this router's turn to vote. Where one vote decides, only a few routers vote at a time, by rank
// and time. If all of them voted, the one whose samples are the most extreme by chance would decide, and the release
// controller would be flooded with votes.
func (r *Router) mayVote() bool {
	const voters, turnLength = 3, 4 * Second // several voters, so that a router that is down or a lost vote does no harm
	turn := r.rank + r.routers - int(r.now/turnLength)*voters%r.routers
	return r.release.config.Mode != AnyRouter || r.routers <= voters || turn%r.routers < voters
}

// updateVote casts a vote if the verdict differs from the last vote, or if the last vote did not count or expires soon. A
// counted vote to promote is withdrawn at any time, because it would promote the build no matter whose turn it is.
func (r *Router) updateVote() {
	const replySlack = Second / 2
	const pause = Second  // before a vote that did not count is cast again, so that the release controller is not flooded
	const renewTenths = 7 // tenths of a vote's time to live after which it is renewed
	config, v := &r.release.config, r.judge()
	if r.vote.state == votePending && r.now-r.vote.castAt > config.VoteTimeout+replySlack {
		r.transitionVote(voteTimedOut, verdict{})
	}
	withdraws := r.vote.state == voteStanding && r.vote.choice == Promote && v.choice != Promote
	if !r.mayVote() && !withdraws {
		return
	}
	changes := v.choice != r.vote.choice && (v.choice != Abstain || r.vote.state == voteStanding)
	age := r.now - r.vote.castAt
	renews := v.choice != Abstain && (r.vote.state == voteIdle && age > pause || age > config.VoteTTL*renewTenths/10)
	if changes || renews {
		r.transitionVote(voteWanted, v)
	}
}
