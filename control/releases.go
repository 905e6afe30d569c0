package control

import (
	"fmt"
	"math"
	"slices"

	"dapplefront/policy"
	"dapplefront/release"
)

// phaseNames are the names of the phases in history entries and reasons.
var phaseNames = []string{"on trial", "going back", "released", "withdrawn"}

func (s *State) createRelease(c Command) (Reply, *Error) {
	if reply, rejected, known := s.repeatedCreation(c); known {
		return reply, rejected
	}
	if rejected := s.validateCreation(c); rejected != nil {
		return Reply{}, rejected
	}
	r := newRelease(c, s.now)
	s.releases = append(s.releases, r)
	r.addHistory(s.now, "requested")
	if outcome := s.handleInput(release.Offer{Build: c.Build}); outcome.rejected != "" {
		s.releases = s.releases[:len(s.releases)-1]
		return Reply{}, reject(ErrConflict, "build", "%s", outcome.rejected)
	}
	s.closeSuperseded(c.Build)
	if c.Key != "" {
		if s.creations = append(s.creations, creation{c.Key, c.Hash, c.Build}); len(s.creations) > s.config.MaxCreationKeys {
			s.creations = slices.Delete(s.creations, 0, 1)
		}
	}
	return Reply{Release: r.clone()}, nil
}

// repeatedCreation returns the reply to a creation whose idempotency key was used before. For any other creation, known is
// false.
func (s *State) repeatedCreation(c Command) (reply Reply, rejected *Error, known bool) {
	if c.Key == "" {
		return Reply{}, nil, false
	}
	i := slices.IndexFunc(s.creations, func(x creation) bool { return x.Key == c.Key })
	if i < 0 {
		return Reply{}, nil, false
	}
	earlier := s.creations[i]
	if earlier.Hash != c.Hash {
		return Reply{}, reject(ErrConflict, "Idempotency-Key", "this key stands for another creation, of build %d", earlier.Build), true
	}
	return Reply{Repeated: true, Release: s.Get(earlier.Build)}, nil, true
}

func (s *State) validateCreation(c Command) *Error {
	if c.Build < 1 {
		return reject(ErrInvalid, "build", "a number from 1 expected")
	}
	for i := range c.Steps {
		if rejected := s.validateStep(c.Steps, i); rejected != nil {
			return rejected
		}
	}
	if s.find(c.Build) >= 0 {
		return reject(ErrConflict, "build", "there is a release of build %d already", c.Build)
	}
	if c.Build <= s.machine.Status().Build { // releases must stay sorted by build
		return reject(ErrConflict, "build", "a build with a higher number has been offered already")
	}
	return nil
}

func newRelease(c Command, now policy.Time) *Release {
	r := &Release{Build: c.Build, Digest: c.Digest, Labels: map[string]string{}, Steps: c.Steps, StepStatuses: make([]StepStatus, len(c.Steps)),
		Created: now}
	for name, value := range c.Labels {
		if value != nil {
			r.Labels[name] = *value
		}
	}
	if c.Note != nil {
		r.Note = *c.Note
	}
	return r
}

// closeSuperseded marks releases in progress as rolled back because a newer build has superseded them.
func (s *State) closeSuperseded(by int) {
	for _, r := range s.releases[:len(s.releases)-1] {
		if r.Phase == policy.Canary || r.Phase == policy.RollingBack {
			r.Phase, r.ExposureCap, r.Since = policy.RolledBack, 0, s.now
			r.addHistory(s.now, fmt.Sprintf("overtaken by build %d", by))
			s.releaseChanged(r)
		}
	}
}

func (s *State) patchRelease(c Command) (Reply, *Error) {
	r, rejected := s.releaseFor(c)
	if rejected != nil {
		return Reply{}, rejected
	}
	if c.Note != nil {
		r.Note = *c.Note
	}
	for name, value := range c.Labels {
		if value == nil {
			delete(r.Labels, name)
			continue
		}
		if r.Labels == nil {
			r.Labels = map[string]string{}
		}
		r.Labels[name] = *value
	}
	s.releaseChanged(r)
	return Reply{}, nil
}

func (s *State) rollBackRelease(c Command) (Reply, *Error) {
	r, rejected := s.releaseFor(c)
	if rejected != nil {
		return Reply{}, rejected
	}
	if r.Phase == policy.RollingBack || r.Phase == policy.RolledBack {
		return Reply{Repeated: true}, nil
	}
	if outcome := s.handleInput(release.RollBack{Build: c.Build}); outcome.rejected != "" {
		return Reply{}, reject(ErrConflict, "build", "%s", outcome.rejected)
	}
	return Reply{}, nil
}

func (s *State) deleteRelease(c Command) (Reply, *Error) {
	r, rejected := s.releaseFor(c)
	if rejected != nil {
		return Reply{}, rejected
	}
	over := r.Phase == policy.RolledBack || r.Phase == policy.Released
	if r.Build == s.machine.Status().Build || r.Build == s.machine.PreviousBuild() || !over {
		return Reply{}, reject(ErrConflict, "build", "build %d serves or is on its way", r.Build)
	}
	i := s.find(c.Build)
	s.releases = slices.Delete(s.releases, i, i+1)
	s.emit(EventDeleted, "", encode(map[string]int{"build": c.Build}))
	return Reply{Release: r}, nil
}

func (s *State) reportCounts(c Command) (Reply, *Error) {
	r, rejected := s.releaseFor(c)
	if rejected != nil {
		return Reply{}, rejected
	}
	for _, counts := range []map[string]int{c.Counts, c.Hosts} {
		for name, n := range counts {
			if n < 0 {
				return Reply{}, reject(ErrInvalid, name, "0 or more expected")
			}
		}
	}
	if r.Counts == nil {
		r.Counts = map[string]int{}
	}
	for name, n := range c.Counts {
		if r.Counts[name] <= math.MaxInt-n { // counts that would overflow are not added
			r.Counts[name] += n
		}
	}
	if c.Hosts != nil {
		r.Hosts = c.Hosts
	}
	s.releaseChanged(r)
	return Reply{}, nil
}

func (s *State) hostsReady(c Command) (Reply, *Error) {
	s.handleInput(release.HostsReady{Build: c.Build})
	return Reply{}, nil
}

func (s *State) hostsRemoved(c Command) (Reply, *Error) {
	s.handleInput(release.HostsRemoved{Build: c.Build})
	return Reply{}, nil
}

// inputOutcome is the release machine's response to an input.
type inputOutcome struct {
	vote     release.VoteResponse // response to a release.Vote
	rejected string               // reason of a release.Reject; empty if the input was not rejected
}

// handleInput passes an input to the release machine and carries out the effects.
func (s *State) handleInput(in release.Input) (outcome inputOutcome) {
	for _, effect := range s.machine.Handle(s.now, in) {
		switch effect := effect.(type) {
		case release.VoteResponse:
			outcome.vote = effect
		case release.Reject:
			outcome.rejected = effect.Reason
		case release.Deploy:
			order := DeployOrder(effect)
			if r := s.newest(); order.Build == r.Build && s.updateWaitsFor(r) != "" {
				s.pendingDeploy = &order
				continue
			}
			s.emitDeploy(order)
		case release.Retire:
			if s.pendingDeploy != nil && s.pendingDeploy.Build == effect.Build {
				s.pendingDeploy = nil
			}
			s.emit(EventRetire, "", encode(RetireOrder(effect)))
		case release.Notify:
			s.applyStatus(effect.Status)
		}
	}
	return outcome
}

func (s *State) emitDeploy(order DeployOrder) {
	s.emit(EventDeploy, "", encode(order))
	if i := s.find(order.Build); i >= 0 {
		s.releases[i].addHistory(s.now, fmt.Sprintf("hosts asked for: %.3g%% of the places", 100*order.Share))
	}
}

// applyStatus copies the release machine's status to the release object and notifies routers.
func (s *State) applyStatus(status release.Status) {
	i := s.find(status.Build)
	if i < 0 {
		return
	}
	r := s.releases[i]
	r.Phase, r.Stage, r.ExposureCap, r.Since = status.Phase, status.Stage, status.ExposureCap, status.Since
	r.addHistory(s.now, fmt.Sprintf("%s, stage %d", phaseNames[status.Phase], status.Stage))
	s.updateWaitsFor(r)
	s.releaseChanged(r)
	s.emit(EventStatus, "", encode(status))
}
