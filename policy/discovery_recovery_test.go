package policy

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Figures of the operators' pages on discovery, and the timeouts of a call of package discovery.
const (
	assumedReceivedAfter = 6 * Second      // a change counts as received so long after discovery had it and could be reached
	callTimeout          = 9 * Second / 4  // discovery.WatchTimeouts.FirstValue
	connectTimeout       = Second          // of a call to a service that is cut off
	answerAfterTimeout   = 3 * Second / 4  // what a service that had left a call without an answer may take for the next one
	longestCrowd         = 8 * Second      // what discovery may need for one call of each router
	crowdSize            = 300             // routers
	modelStep            = Second / 100    // resolution of the virtual time
	modelEnd             = 3 * 60 * Second // far beyond every bound
)

// After a failed poll, whatever its kind and however many failed before, the list is there in time: the next poll starts,
// and may take its whole timeout, within the time after which changes count as received.
func TestDiscovery_PollsAgainBeforeChangesAreAssumedReceivedHoweverOftenPollsFailed(t *testing.T) {
	for name, test := range map[string]struct{ failsAfter, answersWithin Time }{
		"refused or reset": {0, callTimeout},
		"no connection":    {connectTimeout, answerAfterTimeout},
		"no response":      {callTimeout, answerAfterTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				f, _ := newFakeFleet(t, func(config *Config) { config.Seed = seed })
				f.advance(modelStep)
				for range 12 {
					polls, polledAt := f.polls, f.now
					f.advance(test.failsAfter)
					f.router.EndpointsChanged(f.now, nil, false)
					for f.polls == polls {
						f.advance(modelStep)
					}
					require.LessOrEqual(t, f.now+test.answersWithin-polledAt, assumedReceivedAfter+2*modelStep)
				}
			}
		})
	}
}

// queuedCall is a call of a router in the queue of discovery.
type queuedCall struct {
	router   int
	polledAt Time
}

// crowdModel plays routers against one discovery service that handles calls in turn. It also works on calls whose router
// has stopped waiting.
type crowdModel struct {
	routers     []*fakeFleet
	serviceTime Time
	down        func(now Time) bool // calls are reset at once
	silent      func(now Time) bool // calls are accepted and never answered
	keepsCalls  bool                // whether a router still uses the answer to a call that has timed out

	queue    []queuedCall
	idleAt   Time // when the service has finished the call that it works on
	polls    []int
	lastPoll []Time
	waiting  []bool // for the answer to the last poll
	listAt   []Time // when each router got the list; 0 before
}

func newCrowdModel(t *testing.T, serviceTime Time) *crowdModel {
	t.Helper()
	m := &crowdModel{serviceTime: serviceTime, polls: make([]int, crowdSize), lastPoll: make([]Time, crowdSize),
		waiting: make([]bool, crowdSize), listAt: make([]Time, crowdSize),
		down: func(Time) bool { return false }, silent: func(Time) bool { return false }}
	for rank := range crowdSize {
		f, _ := newFakeFleet(t, func(config *Config) { config.Routers, config.Rank, config.Seed = crowdSize, rank, uint64(rank) })
		m.routers = append(m.routers, f)
	}
	return m
}

// play returns when the last router got the list, or modelEnd if one never did.
func (m *crowdModel) play() Time {
	for now := modelStep; now < modelEnd; now += modelStep {
		for n, f := range m.routers {
			m.advance(n, f, now)
		}
		m.serve(now)
		if !slices.Contains(m.listAt, 0) {
			return slices.Max(m.listAt)
		}
	}
	return modelEnd
}

// advance advances one router that has no list by a step, and makes the call that it decides on.
func (m *crowdModel) advance(n int, f *fakeFleet, now Time) {
	if m.listAt[n] > 0 {
		return
	}
	f.advance(modelStep)
	if m.waiting[n] && now-m.lastPoll[n] >= callTimeout {
		m.waiting[n] = false
		f.router.EndpointsChanged(now, nil, false)
	}
	if f.polls == m.polls[n] {
		return
	}
	m.polls[n], m.lastPoll[n] = f.polls, now
	switch {
	case m.down(now):
		f.router.EndpointsChanged(now, nil, false)
	case m.silent(now):
		m.waiting[n] = true
	default:
		m.waiting[n] = true
		m.queue = append(m.queue, queuedCall{n, now})
	}
}

// serve answers the calls whose turn has come.
func (m *crowdModel) serve(now Time) {
	for len(m.queue) > 0 && m.idleAt <= now {
		call := m.queue[0]
		m.queue, m.idleAt = m.queue[1:], max(m.idleAt, now-modelStep)+m.serviceTime
		inTime := m.waiting[call.router] && m.lastPoll[call.router] == call.polledAt
		if m.listAt[call.router] == 0 && (inTime || m.keepsCalls) {
			m.listAt[call.router], m.waiting[call.router] = now, false
		}
	}
}

// A service that needs longer for one call of each router than a call may take must answer all of them, after a start and
// after an outage that ends for all at once. Routers keep the calls that have timed out (package jsonstream).
func TestDiscovery_CrowdOfRoutersGetsListFromServiceThatHandlesCallsInTurn(t *testing.T) {
	const outage = 20 * Second
	for name, test := range map[string]struct {
		serviceTime  Time
		down, silent bool
		bound        Time // from the moment when the service can be reached
	}{
		"crowd at the start":              {longestCrowd / crowdSize, false, false, longestCrowd + assumedReceivedAfter},
		"crowd after resets":              {longestCrowd / crowdSize, true, false, longestCrowd + assumedReceivedAfter},
		"crowd after silence":             {longestCrowd / crowdSize, false, true, longestCrowd + assumedReceivedAfter},
		"larger crowd at the start":       {3 * longestCrowd / crowdSize, false, false, 3*longestCrowd + assumedReceivedAfter},
		"fast service at the start":       {callTimeout / crowdSize, false, false, assumedReceivedAfter},
		"fast service after resets":       {callTimeout / crowdSize, true, false, assumedReceivedAfter},
		"idle service after long silence": {answerAfterTimeout / crowdSize, false, true, assumedReceivedAfter},
	} {
		t.Run(name, func(t *testing.T) {
			m := newCrowdModel(t, test.serviceTime)
			m.keepsCalls = true
			reachableAt := Time(0)
			isOut := func(now Time) bool { return now < outage }
			if test.down {
				m.down, reachableAt = isOut, outage
			}
			if test.silent {
				m.silent, reachableAt = isOut, outage
			}
			lastAt := m.play()
			t.Logf("last router after %.2f s", float64(lastAt-reachableAt)/float64(Second))
			require.LessOrEqual(t, lastAt-reachableAt, test.bound)
		})
	}
}
