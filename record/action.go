package record

import (
	"dapplefront/policy"
	"dapplefront/router"
)

// Fields of the message Action, which stores a router.Action.
const (
	actionKind        = 1
	actionRequestID   = 2
	actionAttempt     = 3
	actionHost        = 4
	actionDuration    = 5
	actionTimer       = 6
	actionBuild       = 7
	actionStage       = 8
	actionChoice      = 9
	actionText        = 10
	actionPlanVersion = 11
	actionIsShadow    = 12
	actionPeer        = 13
	actionBody        = 14
)

func appendAction(b *encoder, a router.Action) {
	b.int(actionKind, int64(a.Kind))
	b.text(actionRequestID, a.RequestID)
	b.int(actionAttempt, int64(a.Attempt))
	b.uint(actionHost, uint64(a.Host))
	b.int(actionDuration, int64(a.Duration))
	b.int(actionTimer, a.Timer)
	b.int(actionBuild, int64(a.Build))
	b.int(actionStage, int64(a.Stage))
	b.int(actionChoice, int64(a.Choice))
	b.text(actionText, a.Text)
	b.uint(actionPlanVersion, a.PlanVersion)
	b.bool(actionIsShadow, a.IsShadow)
	b.int(actionPeer, int64(a.Peer))
	b.text(actionBody, a.Body)
}

func decodeAction(message []byte) (a router.Action, err error) {
	err = eachField(message, func(f field) error {
		switch f.number {
		case actionKind:
			a.Kind = router.ActionKind(f.int())
		case actionRequestID:
			a.RequestID = f.text()
		case actionAttempt:
			a.Attempt = f.int()
		case actionHost:
			a.Host = f.uint32()
		case actionDuration:
			a.Duration = f.time()
		case actionTimer:
			a.Timer = f.int64()
		case actionBuild:
			a.Build = f.int()
		case actionStage:
			a.Stage = f.int()
		case actionChoice:
			a.Choice = policy.VoteChoice(f.int())
		case actionText:
			a.Text = f.text()
		case actionPlanVersion:
			a.PlanVersion = f.value
		case actionIsShadow:
			a.IsShadow = f.bool()
		case actionPeer:
			a.Peer = f.int()
		case actionBody:
			a.Body = f.text()
		}
		return nil
	})
	return a, err
}
