package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEjectedHostGetsFewRequestsAndRecovers(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	ill := true
	fate := func(attempt *Attempt) Outcome {
		if attempt.Host.ID == 1 && ill {
			return Failed
		}
		return Succeeded
	}
	f.serve(200, f.quote, fate)
	require.Equal(t, ejected, list[0].Host.health)
	f.attempts = nil
	f.serve(100, f.payment, fate)
	for _, attempt := range f.attempts {
		require.NotEqual(t, uint32(1), attempt.Host.ID)
	}
	ill = false
	f.serve(100, f.quote, fate)
	require.Equal(t, healthy, list[0].Host.health)
}

func TestNoHostIsEjectedWhenAllFail(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	f.serve(100, f.quote, func(*Attempt) Outcome { return Failed })
	for _, l := range list[:6] {
		require.Equal(t, healthy, l.Host.health)
	}
}

func TestHungHostIsEjectedBeforeItsAttemptsTimeOut(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	f.serve(100, f.quote, succeeds)
	for range 60 {
		n := len(f.attempts)
		for range 24 { // a busy moment: each host gets its share
			f.arrive(f.payment)
		}
		f.advance(Second / 20)
		for _, attempt := range f.attempts[n:] {
			if attempt.Host.ID != 1 {
				f.end(attempt, Succeeded, Second/20)
			}
		}
	}
	require.Equal(t, ejected, list[0].Host.health)
	require.Less(t, len(list[0].Host.inFlight), 60) // of 1440 tasks; an even share would be 240
}
