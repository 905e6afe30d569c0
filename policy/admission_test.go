package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestHungHostIsNoOverloadWhileResponsesComeInTime(t *testing.T) {
	f, list := newFakeFleet(t, func(p *Config) { p.Routers = 50 })
	for range 300 {
		request := f.arrive(f.quote)
		f.advance(Second / 10)
		for _, attempt := range request.Attempts {
			if attempt.Host != list[0].Host && attempt.Host != list[1].Host {
				f.end(attempt, Succeeded, Second/20)
			}
		}
	}
	require.Empty(t, f.rejected)
}

func TestOverloadRejectsEarlyAndAnIdleFleetAdmitsAgain(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.serve(60, f.quote, succeeds)
	for range 400 { // nothing is answered any more
		f.arrive(f.quote)
		f.advance(Second / 100)
	}
	require.NotEmpty(t, f.rejected)
	for _, attempt := range f.attempts {
		if attempt.outcome == Pending {
			f.end(attempt, TimedOut, 3*Second)
		}
	}
	f.advance(Second)
	require.NotEmpty(t, f.arrive(f.quote).Attempts)
}

// One category waits everywhere: no host is to blame, and the others are not turned back.
func TestClassThatIsSlowAtAllHostsAffectsNoOtherClass(t *testing.T) {
	f, list := newGossipingFleet(t, nil)
	for range 6 {
		for _, class := range []*Class{f.quote, f.order, f.payment} {
			f.router.StatsReported(f.now, BuildStats{Build: 1, Class: class, Samples: 60, MeanLatency: Second / 20, Window: 2 * Second})
		}
	}
	usual := f.order.usualLatency
	for range 60 {
		slow, quick := f.arrive(f.order), f.arrive(f.quote)
		f.advance(Second / 20)
		for _, attempt := range quick.Attempts {
			f.end(attempt, Succeeded, Second/20)
		}
		f.advance(Second / 2)
		for _, attempt := range slow.Attempts {
			f.end(attempt, Succeeded, Second*11/20)
		}
	}
	for range 3 {
		f.router.StatsReported(f.now, BuildStats{Build: 1, Class: f.order, Samples: 60, MeanLatency: 2 * Second, Window: 2 * Second})
	}
	require.Equal(t, usual, f.order.usualLatency, "what is usual stays")
	for _, l := range list {
		require.NotEqual(t, ejected, l.Host.health)
	}
	for _, request := range f.rejected {
		require.Equal(t, f.order, request.Class)
	}
}

// What is given up gets its answer in the event that brings it, with a time to come back where one may be named.
func TestRejectionComesAtOnceWithRetryAfter(t *testing.T) {
	f, list := newGossipingFleet(t, func(p *Config) { p.Limits.MaxRetryAfter = 2 * Second })
	for i := range list {
		list[i].State = Removed
	}
	f.router.EndpointsChanged(f.now, list, true)
	request := f.arrive(f.quote)
	require.Equal(t, []*Request{request}, f.rejected, "before the call returns")
	require.Positive(t, f.retryAfters[0])
	require.LessOrEqual(t, f.retryAfters[0], 2*Second)

	f, _ = newGossipingFleet(t, func(p *Config) { p.Limits.MaxAttempts = 1 })
	request = f.arrive(f.payment)
	f.end(request.Attempts[0], ConnectionLost, Second/20)
	require.Equal(t, []*Request{request}, f.failed, "it may have run, and nothing is held back")
}
