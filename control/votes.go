package control

import (
	"math"

	"dapplefront/policy"
	"dapplefront/release"
)

// Votes returns the number of valid votes with the given choice for the newest build, and the quorums to promote a stage and
// to roll back.
func (s *State) Votes(choice policy.VoteChoice) (n, promoteQuorum, rollbackQuorum int) {
	promoteQuorum, rollbackQuorum = s.quorums()
	return s.machine.Votes(choice), promoteQuorum, rollbackQuorum
}

func (s *State) castVote(c Command) (Reply, *Error) {
	if c.Choice < policy.Abstain || c.Choice > policy.Rollback || c.Router == "" {
		return Reply{}, reject(ErrInvalid, "voice", "on, hold, back or none, of a router, expected")
	}
	if s.find(c.Build) < 0 {
		return Reply{}, reject(ErrNotFound, "build", "there is no release of build %d", c.Build)
	}
	s.touchRouter(c.Router) // also if the release machine rejects the vote
	outcome := s.handleInput(release.Vote{Router: c.Router, Build: c.Build, Stage: c.Stage, Choice: c.Choice})
	if !outcome.vote.Accepted {
		return Reply{}, reject(ErrConflict, "stage", "%s", outcome.vote.Reason)
	}
	return Reply{}, nil
}

// quorums returns the number of votes that promote a stage and that roll a build back, for the current number of member
// routers.
func (s *State) quorums() (promote, rollback int) {
	promote, rollback = s.config.Rules.PromoteQuorum, s.config.Rules.RollbackQuorum
	if share := s.config.PromoteShare; share > 0 {
		promote = quorumOf(share, len(s.routers))
	}
	if share := s.config.RollbackShare; share > 0 {
		rollback = quorumOf(share, len(s.routers))
	}
	return promote, rollback
}

// quorumOf returns a share of the members, rounded up. The subtrahend keeps a floating-point error from adding one vote.
func quorumOf(share float64, members int) int {
	return max(1, int(math.Ceil(share*float64(members)-1e-9)))
}
