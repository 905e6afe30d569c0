package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// fireShutdownTimers fires the timers of a shutdown that are due, each at its time.
func (f *fakeFleet) fireShutdownTimers() {
	for i := 0; i < len(f.timers); i++ {
		if f.timers[i].shutdown != noShutdownStep && f.timersDue[i] <= f.now {
			f.router.TimerFired(f.now, f.timers[i])
			f.timers[i] = &Timer{shutdown: noShutdownStep, polls: true}
		}
	}
}

// shutDownWithRequest starts the shutdown of a router that has a non-idempotent request in flight.
func shutDownWithRequest(t *testing.T) (*fakeFleet, *Request) {
	t.Helper()
	f, _ := newFakeFleet(t, nil)
	request := &Request{Class: f.payment, Timeout: 20 * Second}
	f.router.RequestArrived(f.now, request)
	f.router.ShutdownStarted(f.now, 37_000, []*Request{request})
	return f, request
}

func TestNewShutdownSchedule_LeavesTimeForHoldUpsBeforeKill(t *testing.T) {
	for killAfter, want := range map[Time]ShutdownSchedule{
		37_000:  {ServeUntil: 7_500, LastResponse: 33_500, Kill: 37_000},
		10_000:  {ServeUntil: 6_500, LastResponse: 6_500, Kill: 10_000},
		7_000:   {ServeUntil: 3_500, LastResponse: 3_500, Kill: 7_000},
		1_000:   {Kill: 1_000},
		100_000: {ServeUntil: 7_500, LastResponse: 96_500, Kill: 100_000},
	} {
		require.Equal(t, want, NewShutdownSchedule(killAfter))
	}
}

func TestShutdown_GivesUpRequestsInFlightAtLastResponse(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	var requests []*Request
	for _, class := range []*Class{f.quote, f.order, f.payment} {
		request := &Request{Class: class, Timeout: 20 * Second}
		f.router.RequestArrived(f.now, request)
		requests = append(requests, request)
	}
	f.router.ShutdownStarted(f.now, 37_000, requests)
	late := &Request{Class: f.payment, Timeout: 20 * Second}
	f.router.RequestArrived(f.now, late)
	f.now = 33_499
	f.fireShutdownTimers()
	require.Empty(t, f.failed, "no request is given up before its time")
	f.now = 33_500
	f.fireShutdownTimers()
	require.Equal(t, append(requests, late), f.failed)
	require.Empty(t, f.rejected)
}

func TestShutdown_RejectsRequestWhoseOnlyAttemptWasNeverSent(t *testing.T) {
	f, request := shutDownWithRequest(t)
	f.now = 33_500
	for i := range f.timers {
		if f.timers[i].shutdown == cancelUnsentStep {
			f.router.TimerFired(f.now, f.timers[i])
		}
	}
	require.Equal(t, []*Request{request}, f.unsentCanceled)
	f.router.AttemptEnded(f.now, f.attempts[len(f.attempts)-1], NotSent, 0, false, nil)
	require.Equal(t, []*Request{request}, f.rejected)
	attempts := len(f.attempts)
	f.fireShutdownTimers()
	require.Empty(t, f.failed)
	require.Len(t, f.attempts, attempts, "nothing is retried")
}

func TestShutdown_LimitsAttemptsAndRetriesToTimeLeft(t *testing.T) {
	f, request := shutDownWithRequest(t)
	f.now = 30_000
	f.router.AttemptEnded(f.now, f.attempts[len(f.attempts)-1], ConnectFailed, 0, false, nil)
	retry := f.attempts[len(f.attempts)-1]
	require.Equal(t, Time(3_500), f.timeouts[retry])
	f.now = 33_490
	f.router.AttemptEnded(f.now, retry, ConnectFailed, 0, false, nil)
	require.Equal(t, []*Request{request}, f.rejected, "too little time is left for another attempt")
}

func TestShutdown_BringsLastResponseForwardOnly(t *testing.T) {
	f, request := shutDownWithRequest(t)
	f.router.ShutdownStarted(f.now, 90_000, []*Request{request})
	require.Equal(t, Time(33_500), f.router.shutdown.deadline)
	f.now = 100
	f.router.ShutdownStarted(f.now, 0, []*Request{request})
	f.fireShutdownTimers()
	require.Equal(t, []*Request{request}, f.failed)
}
