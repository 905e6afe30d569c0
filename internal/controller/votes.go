package controller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	"dapplefront/control"
	"dapplefront/internal/api"
	"dapplefront/policy"
)

func (s *Server) castVote(w http.ResponseWriter, r *http.Request) error {
	build, err := pathBuild(r)
	if err != nil {
		return err
	}
	var vote api.Vote
	if err := decodeBody(w, r, &vote); err != nil {
		return err
	}
	choice := slices.Index(api.VoteChoices, vote.Choice)
	if choice < 0 {
		return invalid("voice", "%s expected", strings.Join(api.VoteChoices, ", "))
	}
	if !s.voteLimiter.Allow() {
		return &problem{status: http.StatusTooManyRequests, retryAfter: 1,
			detail: fmt.Sprintf("more than %g votes a second from all routers", s.config.VotesPerSecond)}
	}
	router := r.PathValue("router")
	c := control.Command{Kind: control.CastVote, Build: build, Stage: vote.Stage, Router: router, Choice: policy.VoteChoice(choice)}
	if _, hangs := s.config.injectedFault(); hangs {
		s.castVoteWithoutResponse(r, c)
		return errResponseWritten
	}
	return s.propose(w, c, http.StatusOK, func(reply control.Reply) any {
		status := s.replyObject(reply).Release
		if s.config.OnStatusSent != nil {
			s.config.OnStatusSent(router, status)
		}
		return status
	})
}

// castVoteWithoutResponse simulates an interface that hangs: it casts a vote with a probability of one half and never responds.
func (s *Server) castVoteWithoutResponse(r *http.Request, c control.Command) {
	if rand.IntN(2) == 0 {
		_, _ = s.node.Propose(c)
	}
	select {
	case <-r.Context().Done():
	case <-s.ctx.Done():
	}
}
