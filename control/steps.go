package control

import (
	"fmt"
	"slices"

	"dapplefront/policy"
	"dapplefront/release"
)

// validateStep checks step i of a CreateRelease command.
func (s *State) validateStep(steps []Step, i int) *Error {
	step, field := steps[i], fmt.Sprintf("steps[%d]", i)
	sameName := func(x Step) bool { return x.Name == step.Name }
	switch {
	case step.Name == "" || slices.ContainsFunc(steps[:i], sameName):
		return reject(ErrInvalid, field+".name", "a name of its own expected")
	case step.Stage < 0 || step.Stage >= len(s.config.Rules.Stages):
		return reject(ErrInvalid, field+".stage", "a stage from 0 to %d expected", len(s.config.Rules.Stages)-1)
	case i > 0 && step.Stage < steps[i-1].Stage:
		return reject(ErrInvalid, field+".stage", "steps stand in the order of their stages")
	case step.ExpectedTime < 0:
		return reject(ErrInvalid, field+".withinMs", "0 or more expected")
	}
	return nil
}

func (s *State) completeStep(c Command) (Reply, *Error) {
	r, rejected := s.releaseFor(c)
	if rejected != nil {
		return Reply{}, rejected
	}
	i := slices.IndexFunc(r.Steps, func(x Step) bool { return x.Name == c.Name })
	switch {
	case i < 0:
		return Reply{}, reject(ErrNotFound, "name", "the release of build %d has no step %s", c.Build, c.Name)
	case r.StepStatuses[i].DoneAt != 0:
		return Reply{Repeated: true}, nil
	case r.Phase != policy.Canary:
		return Reply{}, reject(ErrConflict, "name", "the release is %s", phaseNames[r.Phase])
	case i > 0 && r.StepStatuses[i-1].DoneAt == 0:
		return Reply{}, reject(ErrConflict, "name", "step %s comes before it", r.Steps[i-1].Name)
	case r.Steps[i].Stage > r.Stage:
		return Reply{}, reject(ErrConflict, "name", "it belongs before stage %d, which has not come", r.Steps[i].Stage)
	}
	status := &r.StepStatuses[i]
	status.DoneAt, status.DoneBy, status.Stalled = max(1, s.now), c.Router, false
	r.addHistory(s.now, "step "+c.Name+" done")
	if r.Steps[i].Irreversible {
		r.addHistory(s.now, "no way back from here")
		s.handleInput(release.Finalize{Build: r.Build})
	}
	if s.updateWaitsFor(r) == "" && s.pendingDeploy != nil && s.pendingDeploy.Build == r.Build {
		order := *s.pendingDeploy
		s.pendingDeploy = nil
		s.emitDeploy(order)
	}
	s.releaseChanged(r)
	return Reply{}, nil
}

// updateWaitsFor sets WaitsFor to the first step that the deployment of the release's current stage waits for, or to "" if it
// waits for none, and returns it. It also records when the wait began: the step's expected time counts from then.
func (s *State) updateWaitsFor(r *Release) string {
	r.WaitsFor = ""
	status := s.machine.Status()
	if status.Build != r.Build || status.Phase != policy.Canary {
		return ""
	}
	for i, step := range r.Steps {
		if step.Stage > status.Stage || r.StepStatuses[i].DoneAt != 0 {
			continue
		}
		if r.StepStatuses[i].WaitingSince == 0 {
			r.StepStatuses[i].WaitingSince = max(1, s.now)
		}
		r.WaitsFor = step.Name
		break
	}
	return r.WaitsFor
}

func (s *State) markStalledSteps() {
	r := s.newest()
	for i := range r.Steps {
		if r.newlyStalled(i, s.now) {
			r.StepStatuses[i].Stalled = true
			r.addHistory(s.now, "step "+r.Steps[i].Name+" stalls")
			s.releaseChanged(r)
		}
	}
}
