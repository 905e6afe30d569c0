package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAdmission_AdmitsWhileOnlyHungHostsAreSlow(t *testing.T) {
	f, endpoints := newFakeFleet(t, func(config *Config) { config.Routers = 50 })
	for range 300 {
		request := f.arrive(f.quote)
		f.advance(Second / 10)
		for _, attempt := range request.Attempts {
			if attempt.Host != endpoints[0].Host && attempt.Host != endpoints[1].Host {
				f.end(attempt, Succeeded, Second/20)
			}
		}
	}
	require.Empty(t, f.rejected)
}

func TestAdmission_RejectsEarlyUnderOverloadAndAdmitsOnceIdle(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.serve(60, f.quote, succeeds)
	for range 400 { // hosts no longer respond
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

// If one class is slow at all hosts, no host is ejected and no other class is rejected.
func TestAdmission_ClassSlowAtAllHostsAffectsNoOtherClass(t *testing.T) {
	f, endpoints := newGossipingFleet(t, nil)
	for range 6 {
		for _, class := range []*Class{f.quote, f.order, f.payment} {
			f.router.StatsReported(f.now, BuildStats{Build: 1, Class: class, Samples: 60, MeanLatency: Second / 20, Window: 2 * Second})
		}
	}
	usual := f.order.usualLatency
	for range 60 {
		slow, fast := f.arrive(f.order), f.arrive(f.quote)
		f.advance(Second / 20)
		for _, attempt := range fast.Attempts {
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
	require.Equal(t, usual, f.order.usualLatency, "the usual latency must not change")
	for _, endpoint := range endpoints {
		require.NotEqual(t, ejected, endpoint.Host.health)
	}
	for _, request := range f.rejected {
		require.Equal(t, f.order, request.Class)
	}
}

// The router gives a final response before the method for the event that causes it returns. A rejection has a
// retry-after time if the limits allow one.
func TestRouter_GivesFinalResponseBeforeMethodReturns(t *testing.T) {
	f, endpoints := newGossipingFleet(t, func(config *Config) { config.Limits.MaxRetryAfter = 2 * Second })
	for i := range endpoints {
		endpoints[i].State = Removed
	}
	f.router.EndpointsChanged(f.now, endpoints, true)
	request := f.arrive(f.quote)
	require.Equal(t, []*Request{request}, f.rejected, "rejected before RequestArrived returns")
	require.Positive(t, f.retryAfters[0])
	require.LessOrEqual(t, f.retryAfters[0], 2*Second)

	f, _ = newGossipingFleet(t, func(config *Config) { config.Limits.MaxAttempts = 1 })
	request = f.arrive(f.payment)
	f.end(request.Attempts[0], ConnectionLost, Second/20)
	require.Equal(t, []*Request{request}, f.failed, "the request may have been executed")
}
