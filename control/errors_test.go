package control

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/policy"
)

func TestError_HasKindOperationSubjectAndField(t *testing.T) {
	for _, c := range []struct {
		command Command
		kind    error
		text    string
	}{
		{Command{Kind: "none"}, ErrInvalid, `none build 0: do: no command is called "none"`},
		{Command{Kind: CreateRelease}, ErrInvalid, "create build 0: build: a number from 1 expected"},
		{Command{Kind: CreateRelease, Build: 1}, ErrConflict, "create build 1: build: there is a release of build 1 already"},
		{Command{Kind: PatchRelease, Build: 9}, ErrNotFound, "patch build 9: build: there is no release of build 9"},
		{Command{Kind: PatchRelease, Build: 1, IfVersion: 7}, ErrVersionMismatch, "patch build 1: If-Match: the release is at version 1, not 7"},
		{Command{Kind: DeleteRelease, Build: 1}, ErrConflict, "delete build 1: build: build 1 serves or is on its way"},
		{Command{Kind: CastVote, Build: 1, Router: "r", Choice: policy.Promote}, ErrConflict, "vote build 1: stage: it is not the present build or stage"},
		{Command{Kind: CompleteStep, Build: 1, Name: "s"}, ErrNotFound, "step build 1: name: the release of build 1 has no step s"},
		{Command{Kind: PublishPlan}, ErrInvalid, "publish plan: version: a plan with a version and a time to follow it expected"},
		{Command{Kind: AckPlan, PlanAck: &PlanAck{Version: 4}}, ErrConflict, "heed plan 4: version: this plan is not in force"},
		{Command{Kind: OrderAgent, Name: "h1"}, ErrInvalid, "order agent h1: goal: an order to an agent expected"},
	} {
		t.Run(c.text, func(t *testing.T) {
			reply, err := New(config, 1).Apply(1, c.command)
			require.Zero(t, reply)
			require.ErrorIs(t, err, c.kind)
			require.EqualError(t, err, c.text)
			for _, kind := range []error{ErrInvalid, ErrNotFound, ErrConflict, ErrVersionMismatch} {
				require.Equal(t, errors.Is(c.kind, kind), errors.Is(err, kind), "%v", kind)
			}
			var rejected *Error
			require.ErrorAs(t, err, &rejected)
			require.Equal(t, c.command.Kind, rejected.Op)
		})
	}
}
