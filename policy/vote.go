package policy

import (
	"fmt"
	"math"
	"slices"
)

// VoteResult is what became of a vote.
type VoteResult int

// Results of a vote; their values are stored.
const (
	Unsolicited  VoteResult = iota // a status that is no reply to a vote
	VoteAccepted                   // the vote stands
	VoteStale                      // not of the present build or stage
	VoteRejected                   // too many votes, or an error: it does not count
	VoteUnknown                    // no reply: it may count
)

// VoteChoice is what a vote says.
type VoteChoice int

// Choices of a vote; their values are stored.
const (
	Abstain VoteChoice = iota
	Promote
	Hold
	Rollback
)

// voteRecord is the router's last vote in the present stage.
type voteRecord struct {
	state  voteState
	choice VoteChoice
	castAt Time
}

// voteState is what the release controller made of the last vote:
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
	voteWanted   voteEvent = iota // the verdict differs from the vote that stands, or that will soon run out
	voteTimedOut                  // no reply in time
	voteCounted
	voteDropped // rejected, stale or unclear
)

// voteTransition is a row of the table at voteState.
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

// transitionVote reads the table; the verdict is that of the vote to cast, empty for other events.
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

// verdict is what the evidence says of the newest build.
type verdict struct {
	choice   VoteChoice
	odds     float64   // that the build is bad
	testOdds []float64 // of each test
}

// Odds that the newest build is bad, by which votes are cast.
const (
	rollbackOdds       = 8.0  // one good build in so many is rolled back by chance
	costlyRollbackOdds = 30.0 // where statistics don't separate one failing host from the build, and after a release
	minRollbackOdds    = 2.5  // whatever the quorum: less is one host's odds
	promoteOdds        = 4.0  // a stage is promoted unless in doubt, as what it may expose is limited
	releaseOdds        = 0.3  // the last stage is promoted when fairly sure
	releaseOddsPerWait = 0.02 // more for each second after the shortest stage time
	releaseTestPerWait = 0.5  // likewise, of the worst test
	maxReleaseTestOdds = 8.0  // of the worst test, while shadow attempts of its class go on
)

// evidenceShare is the part of the proof that each of so many routers owes whose votes must agree, as their evidence is
// their own.
func evidenceShare(votes int) float64 { return 1 / math.Sqrt(float64(max(1, votes-1))) }

// judge turns the evidence into a verdict on the newest build.
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

// promotionLimits gives the odds, over all tests and of the worst test, below which the present stage is promoted. For the
// last one, the release, they rise while it waits, as waiting has its price.
func (r *Router) promotionLimits(final bool) (odds, testOdds float64) {
	if !final {
		return promoteOdds, math.Inf(1)
	}
	waited := float64(max(0, r.now-r.release.stageStartedAt-r.release.config.MinStageTime)) / float64(Second)
	share := evidenceShare(r.release.config.PromoteQuorum)
	return min(1, math.Pow(releaseOdds, share)+releaseOddsPerWait*waited),
		min(maxReleaseTestOdds, 1+releaseTestPerWait*waited) / share
}

// mayVote reports whether it is this router's turn to vote. Where one vote decides, a few routers vote at a time, by rank and
// time: were all to vote, the one with the oddest luck would decide, and the release controller be flooded.
func (r *Router) mayVote() bool {
	const voters, turnLength = 3, 4 * Second // a router that is down, or a vote lost, does no harm
	turn := r.rank + r.routers - int(r.now/turnLength)*voters%r.routers
	return r.release.config.Mode != AnyRouter || r.routers <= voters || turn%r.routers < voters
}

// updateVote casts a vote where the verdict differs from the last one, the last one did not count or will soon run out. A
// standing vote to promote is withdrawn at any time, as it would promote the build whoever's turn it is.
func (r *Router) updateVote() {
	const replySlack = Second / 2
	const pause = Second  // before a vote that did not count is cast again, lest the release controller is flooded
	const renewTenths = 7 // of a vote's time to live, after which it is renewed
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
