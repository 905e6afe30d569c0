package scenario

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"

	"dapplefront/internal/eds"
	"dapplefront/internal/proxy"
	"dapplefront/policy"
	"dapplefront/router"
)

// Violations are the ways in which routers can be made to violate a rule on purpose, by the names of the rules.
var Violations = []string{"answer", "effect", "drain", "cold", "exposure"}

// faultInjector makes a router violate one rule. The audit must find that.
type faultInjector struct {
	violation     string
	slowStart     policy.Time
	drainGrace    policy.Time
	calls         atomic.Int64
	drainingSince map[uint32]policy.Time // by host, when it was first seen to drain
	status        policy.ReleaseStatus
}

// newFaultInjector is the injector for a violation; nil for none.
func newFaultInjector(violation string, params parameters) (proxy.FaultInjector, error) {
	if violation == "" {
		return nil, nil
	}
	if !slices.Contains(Violations, violation) {
		last := len(Violations) - 1
		return nil, fmt.Errorf("no breach is called %q; %s or %s expected", violation, strings.Join(Violations[:last], ", "), Violations[last])
	}
	return &faultInjector{violation: violation, slowStart: policyTime(params.slowStart), drainGrace: policyTime(params.drainGrace),
		drainingSince: map[uint32]policy.Time{}}, nil
}

// WithholdsResponse keeps every fortieth response from its client.
func (i *faultInjector) WithholdsResponse(string) bool {
	return i.violation == "answer" && i.calls.Add(1)%40 == 0
}

// Actions redirects attempts to a host that must not get them, or adds such an attempt.
func (i *faultInjector) Actions(now policy.Time, event router.Event, actions []router.Action, hosts map[uint32]eds.Host) []router.Action {
	i.observe(now, event, hosts)
	target, ok := i.target(now, hosts)
	request, arrived := event.(router.RequestArrived)
	if !arrived || !ok {
		return actions
	}
	for n, action := range actions {
		if action.Kind != router.SendAttempt {
			continue
		}
		if i.violation != "effect" {
			actions[n].Host = target
			continue
		}
		if request.Class == "transfer" && i.calls.Add(1)%5 == 0 && target != action.Host {
			again := action
			again.Attempt, again.Host = action.Attempt+100, target
			return append(actions, again)
		}
	}
	return actions
}

// observe notes the release's status and the hosts that drain.
func (i *faultInjector) observe(now policy.Time, event router.Event, hosts map[uint32]eds.Host) {
	if e, ok := event.(router.ReleaseChanged); ok && e.Status.Build > 0 {
		if result := e.Status.VoteResult; result == policy.Unsolicited || result == policy.VoteAccepted {
			i.status = e.Status
		}
	}
	for id, h := range hosts {
		if h.State == policy.Draining && i.drainingSince[id] == 0 {
			i.drainingSince[id] = now
		}
	}
}

// target is the host with the highest ID of those that an attempt would violate the rule at, if there is one now.
func (i *faultInjector) target(now policy.Time, hosts map[uint32]eds.Host) (target uint32, ok bool) {
	for id, h := range hosts {
		violates := false
		switch i.violation {
		case "effect":
			violates = h.State == policy.Serving
		case "drain":
			violates = h.State == policy.Draining && now-i.drainingSince[id] > i.drainGrace
		case "cold":
			violates = h.State == policy.Serving && h.StartedAt > 0 && now-h.StartedAt < i.slowStart
		case "exposure":
			violates = h.State == policy.Serving && h.Build == i.status.Build && i.status.Phase == policy.Canary
		}
		if violates && (!ok || id > target) {
			target, ok = id, true
		}
	}
	return target, ok
}
