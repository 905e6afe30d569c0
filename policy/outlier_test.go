package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOutlier_EjectedHostGetsOnlyIdempotentRequestsAndRecovers(t *testing.T) {
	f, endpoints := newFakeFleet(t, nil)
	failing := true
	outcomeOf := func(attempt *Attempt) Outcome {
		if attempt.Host.ID == 1 && failing {
			return Failed
		}
		return Succeeded
	}
	f.serve(200, f.quote, outcomeOf)
	require.Equal(t, ejected, endpoints[0].Host.health)
	f.attempts = nil
	f.serve(100, f.payment, outcomeOf)
	for _, attempt := range f.attempts {
		require.NotEqual(t, uint32(1), attempt.Host.ID)
	}
	failing = false
	f.serve(100, f.quote, outcomeOf)
	require.Equal(t, healthy, endpoints[0].Host.health)
}

func TestOutlier_EjectsNoHostWhenAllFail(t *testing.T) {
	f, endpoints := newFakeFleet(t, nil)
	f.serve(100, f.quote, func(*Attempt) Outcome { return Failed })
	for _, endpoint := range endpoints[:6] {
		require.Equal(t, healthy, endpoint.Host.health)
	}
}

func TestOutlier_EjectsHungHostBeforeItsAttemptsTimeOut(t *testing.T) {
	f, endpoints := newFakeFleet(t, nil)
	f.serve(100, f.quote, succeeds)
	for range 60 {
		n := len(f.attempts)
		for range 24 { // enough requests for each host to get some
			f.arrive(f.payment)
		}
		f.advance(Second / 20)
		for _, attempt := range f.attempts[n:] {
			if attempt.Host.ID != 1 {
				f.end(attempt, Succeeded, Second/20)
			}
		}
	}
	require.Equal(t, ejected, endpoints[0].Host.health)
	require.Less(t, len(endpoints[0].Host.inFlight), 60) // of 1440 requests; an even share would be 240
}
