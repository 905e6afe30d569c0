package policy

import (
	"fmt"
	"math"
	"slices"
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

// VoteChoice is what a vote says.
type VoteChoice int

const (
	Abstain VoteChoice = iota
	Promote
	Hold
	Rollback
)

type voteRecord struct {
	state  voteState
	choice VoteChoice
	castAt Time
}

type voteState int

const (
	voteIdle voteState = iota
	votePending
	voteStanding
)

type voteEvent int

const (
	voteWanted   voteEvent = iota // the verdict differs from what stands, or that will soon run out
	voteTimedOut                  // no answer in time
	voteCounted
	voteDropped // refused, moot or unclear
)

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

// transitionVote reads the table of ballots.
func (r *Router) transitionVote(event voteEvent, choice VoteChoice, w float64, testOdds []float64) {
	for _, row := range voteTransitions {
		if row.state != r.vote.state || row.event != event {
			continue
		}
		r.vote.state = row.next
		if row.castsVote {
			r.vote.choice, r.vote.castAt = choice, r.now
			r.effects.Vote(r.release.status.Build, r.release.status.Stage, choice)
			r.effects.Log(fmt.Sprintf("votes %d on build %d in stage %d: odds of bad %.2g, mean of %.2g",
				choice, r.release.status.Build, r.release.status.Stage, w, testOdds))
		}
		return
	}
}

const reviewInterval = Second / 5 // a fraction of the shortest stage

// evidenceShare is what part of the proof each of so many routers owes whose votes must agree, on their own evidence.
func evidenceShare(votes int) float64 { return 1 / math.Sqrt(float64(max(1, votes-1))) }

// verdict turns the weight of the evidence into a vote. A move that exposes little needs no proof, as sends
// at the build stay few; the release does, and as waiting has its price, the demand falls as time goes on.
func (r *Router) verdict() (choice VoteChoice, w float64, testOdds []float64) {
	const alarm, loud, several = 8.0, 30.0, 2.5 // one good build in so many goes back by chance; one host's odds
	const doubt, sure = 4.0, 0.3                // on in a stage unless in doubt; release when fairly sure
	const softer, bear, most = 0.02, 0.5, 8.0   // a second's wait of that, of the worst; while copies go on
	if !r.release.known || r.release.status.Build == 0 || r.release.status.Phase == RollingBack || r.release.status.Phase == RolledBack {
		return Abstain, w, testOdds
	}
	w, testOdds = r.evidence()
	limit, worst := doubt, math.Inf(1)
	final := r.release.status.Stage+1 >= len(r.release.config.ExposureCaps)
	if final {
		waited := float64(max(0, r.now-r.release.stageStartedAt-r.release.config.MinStageTime)) / float64(Second)
		part := evidenceShare(r.release.config.PromoteQuorum)
		limit, worst = min(1, math.Pow(sure, part)+softer*waited), min(most, 1+bear*waited)/part
	}
	limitBack := alarm
	if r.judgesByStats() || r.release.status.Phase == Released { // the desk tells no host from a build; a release is dear to undo
		limitBack = loud
	}
	switch {
	case w > max(several, math.Pow(limitBack, evidenceShare(r.release.config.RollbackQuorum))):
		return Rollback, w, testOdds
	case r.release.status.Phase == Canary && r.release.config.Mode == Timed && w > doubt:
		return Hold, w, testOdds
	case r.release.status.Phase == Released || r.release.config.Mode == Timed || len(testOdds) == 0 || final && r.isUnreadyForRelease():
	case w < limit && slices.Max(testOdds) <= worst:
		return Promote, w, testOdds
	}
	return Abstain, w, testOdds
}

// mayVote tells whether it is this router's turn to vote. Where one vote decides, a few at a time do, by rank
// and a shared clock: were all to look, the one with the oddest luck would decide, and the desk be flooded.
func (r *Router) mayVote() bool {
	const few, stretch = 3, 4 * Second // a vote that is lost is no harm, nor is a router that is down
	turn := r.rank + r.routers - int(r.now/stretch)*few%r.routers
	return r.release.config.Mode != AnyRouter || r.routers <= few || turn%r.routers < few
}

func (r *Router) updateVote() {
	choice, w, testOdds := r.verdict()
	if r.vote.state == votePending && r.now-r.vote.castAt > r.release.config.VoteTimeout+Second/2 {
		r.transitionVote(voteTimedOut, 0, 0, nil)
	}
	if !r.mayVote() && (r.vote.state != voteStanding || r.vote.choice != Promote || choice == Promote) {
		return // but what stands is taken back at any time: it would move the build on, whoever's turn it is
	}
	const pause = Second // before a vote that did not count is cast again: the desk is not flooded
	if choice != r.vote.choice && (choice != Abstain || r.vote.state == voteStanding) || choice != Abstain &&
		(r.vote.state == voteIdle && r.now-r.vote.castAt > pause || r.now-r.vote.castAt > r.release.config.VoteTTL*7/10) {
		r.transitionVote(voteWanted, choice, w, testOdds)
	}
}
