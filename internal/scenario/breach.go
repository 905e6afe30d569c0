package scenario

import (
	"fmt"
	"sync/atomic"

	"dapplefront/internal/eds"
	"dapplefront/internal/proxy"
	"dapplefront/policy"
	"dapplefront/router"
)

// Breaches are the ways in which a router can be built wrong on purpose, each against one rule.
var Breaches = []string{"answer", "effect", "drain", "cold", "exposure"}

// wrong is a router built wrong: it bends what the right one does. The audit must find it out.
type wrong struct {
	how     string
	cold    policy.Time
	grace   policy.Time
	seen    atomic.Int64
	binding map[string]bool
	told    map[uint32]policy.Time // when a host was first told to drain
	news    policy.ReleaseStatus
}

func newWrong(how string, f figures) (proxy.FaultInjector, error) {
	switch how {
	case "":
		return nil, nil
	case "answer", "effect", "drain", "cold", "exposure":
		return &wrong{how: how, cold: policy.Time(f.cold.Microseconds() / 100), grace: policy.Time(f.grace.Microseconds() / 100),
			binding: map[string]bool{}, told: map[uint32]policy.Time{}}, nil
	}
	return nil, fmt.Errorf("no breach is called %q; answer, effect, drain, cold or exposure expected", how)
}

// Silent keeps some answers from their clients.
func (w *wrong) Silent(string) bool { return w.how == "answer" && w.seen.Add(1)%40 == 0 }

// Actions sends where nothing may go.
func (w *wrong) Actions(now policy.Time, e router.Event, actions []router.Action, hosts map[uint32]eds.Host) []router.Action {
	if t, ok := e.(router.ReleaseChanged); ok && t.Status.Build > 0 && (t.Status.VoteResult == policy.Unsolicited || t.Status.VoteResult == policy.VoteAccepted) {
		w.news = t.Status
	}
	for id, h := range hosts {
		if h.State == policy.Draining && w.told[id] == 0 {
			w.told[id] = now
		}
	}
	to, ok := w.target(now, hosts)
	t, taken := e.(router.RequestArrived)
	if !taken {
		return actions
	}
	for i, a := range actions {
		if a.Kind != router.SendAttempt || !ok {
			continue
		}
		if w.how == "effect" {
			if t.Class == "transfer" && w.seen.Add(1)%5 == 0 && to != a.Host {
				again := a
				again.Attempt, again.Host = a.Attempt+100, to
				return append(actions, again)
			}
			continue
		}
		actions[i].Host = to
	}
	return actions
}

// target is the host that a wrong router likes most, if there is one now.
func (w *wrong) target(now policy.Time, hosts map[uint32]eds.Host) (to uint32, ok bool) {
	for id, h := range hosts {
		fits := false
		switch w.how {
		case "effect":
			fits = h.State == policy.Serving
		case "drain":
			fits = h.State == policy.Draining && now-w.told[id] > w.grace
		case "cold":
			fits = h.State == policy.Serving && h.StartedAt > 0 && now-h.StartedAt < w.cold
		case "exposure":
			fits = h.State == policy.Serving && h.Build == w.news.Build && w.news.Phase == policy.Canary
		}
		if fits && (!ok || id > to) {
			to, ok = id, true
		}
	}
	return to, ok
}
