package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/endpoint"
	"dapplefront/policy"
	"dapplefront/router"
)

// Guards against a cold host that counts as warm, or a warm one as restarted, after a step of the wall clock.
func TestProxy_ConvertsStartTimesAfterStepOfWallClock(t *testing.T) {
	const hour = 3600 * policy.Second
	for name, step := range map[string]policy.Time{"an hour forward": hour, "an hour back": -hour, "seconds back": -5 * policy.Second} {
		t.Run(name, func(t *testing.T) {
			r := newTestbench(t)
			startedAt := map[uint32]policy.Time{}
			list := func(id uint32, reported policy.Time) {
				events := &recordedEvents{startedAt: startedAt}
				r.router.faults = events
				r.router.endpointsChanged(false, []endpoint.Host{{Host: router.Host{ID: id, Zone: "here", Build: 1, Weight: 1, StartedAt: reported}, Address: "127.0.0.1:1"}})
				r.router.faults = nil
			}
			var now, beforeStep, again policy.Time
			r.router.loop.Do(func() {
				now = r.router.loop.Now()
				list(1, now-policy.Second)
				beforeStep = startedAt[1]
				r.router.loop.SetWallStep(step)
				list(1, now-policy.Second)
				again = startedAt[1]
				list(2, now-policy.Second+step)
				list(3, 0)
			})
			require.Equal(t, now-policy.Second, beforeStep)
			require.Equal(t, now-policy.Second, again, "the host has not restarted")
			require.Equal(t, now-policy.Second, startedAt[2], "the host started a second ago by the stepped clock")
			require.Zero(t, startedAt[3])
		})
	}
}

// recordedEvents records the start times that the router is told.
type recordedEvents struct{ startedAt map[uint32]policy.Time }

func (e *recordedEvents) Actions(_ policy.Time, event router.Event, actions []router.Action, _ map[uint32]endpoint.Host) []router.Action {
	if changed, ok := event.(router.EndpointsChanged); ok {
		for _, h := range changed.Hosts {
			e.startedAt[h.ID] = h.StartedAt
		}
	}
	return actions
}

func (*recordedEvents) WithholdsResponse(string) bool { return false }
