package scenario

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"

	"dapplefront/internal/endpoint"
	"dapplefront/internal/proxy"
	"dapplefront/policy"
	"dapplefront/router"
)

// Violations are the rules that routers can be made to violate on purpose.
var Violations = []string{"answer", "effect", "drain", "cold", "exposure"}

// faultInjector makes a router violate one rule. The audit must detect the violation.
type faultInjector struct {
	violation     string
	slowStart     policy.Time
	drainGrace    policy.Time
	requests      atomic.Int64           // requests to which the violation may apply; only every nth is affected
	drainingSince map[uint32]policy.Time // by host: when its draining was first observed
	status        policy.ReleaseStatus
}

// newFaultInjector returns the injector for a violation, or nil for an empty violation.
func newFaultInjector(violation string, params parameters) (proxy.FaultInjector, error) {
	if violation == "" {
		return nil, nil
	}
	if !slices.Contains(Violations, violation) {
		last := len(Violations) - 1
		return nil, fmt.Errorf("unknown breach %q; %s or %s expected", violation, strings.Join(Violations[:last], ", "), Violations[last])
	}
	return &faultInjector{violation: violation, slowStart: policyTime(params.slowStart), drainGrace: policyTime(params.drainGrace),
		drainingSince: map[uint32]policy.Time{}}, nil
}

// WithholdsResponse reports true for every fortieth response if rule "answer" is to be violated.
func (i *faultInjector) WithholdsResponse(string) bool {
	return i.violation == "answer" && i.requests.Add(1)%40 == 0
}

// Actions redirects the attempts of an arriving request to a host that must not receive them. For rule "effect" it instead
// adds a duplicate attempt to every fifth transfer request.
func (i *faultInjector) Actions(now policy.Time, event router.Event, actions []router.Action, hosts map[uint32]endpoint.Host) []router.Action {
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
		if request.Class == "transfer" && i.requests.Add(1)%5 == 0 && target != action.Host {
			duplicate := action
			duplicate.Attempt, duplicate.Host = action.Attempt+100, target
			return append(actions, duplicate)
		}
	}
	return actions
}

// observe records the release status and when hosts were first seen draining.
func (i *faultInjector) observe(now policy.Time, event router.Event, hosts map[uint32]endpoint.Host) {
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

// target returns the host with the highest ID among those where an attempt would violate the rule. ok is false if there is
// no such host now.
func (i *faultInjector) target(now policy.Time, hosts map[uint32]endpoint.Host) (target uint32, ok bool) {
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
