package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRetry_FailsNonIdempotentRequestThatMayHaveExecuted(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	request := f.arrive(f.payment)
	f.advance(2 * Second) // the attempt is slow, but a non-idempotent request must not be hedged
	require.Len(t, request.Attempts, 1)
	f.end(request.Attempts[0], ConnectionLost, 2*Second)
	require.Equal(t, []*Request{request}, f.failed)
	require.Len(t, request.Attempts, 1)
}

func TestRetry_RetriesNonIdempotentRequestThatWasNotExecuted(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	request := f.arrive(f.payment)
	f.end(request.Attempts[0], ConnectFailed, Second/40)
	require.Len(t, request.Attempts, 2)
	require.NotSame(t, request.Attempts[0].Host, request.Attempts[1].Host)
}

func TestRetry_StaysInDedupScopeAndWindowOfIdempotencyKey(t *testing.T) {
	f, endpoints := newFakeFleet(t, nil)
	f.order.DedupScope = ZoneScope
	endpoints[5].Zone = f.remoteZone
	f.router.EndpointsChanged(f.now, endpoints, true)
	for range 20 {
		request := f.arrive(f.order)
		f.end(request.Attempts[0], Failed, Second/40)
		for _, attempt := range request.Attempts[1:] {
			require.Same(t, request.Attempts[0].Host.Zone, attempt.Host.Zone)
		}
		f.advance(Second)
		f.router.ClientDisconnected(f.now, request)
	}
	late := f.arrive(f.order)
	late.Timeout = 9 * Second
	f.advance(4 * Second) // longer than hosts remember the idempotency key
	n := len(late.Attempts)
	f.end(late.Attempts[0], ConnectionLost, 4*Second)
	require.Len(t, late.Attempts, n)
}

func TestDispatch_SendsNoSecondConcurrentAttemptWithoutHedging(t *testing.T) {
	f, _ := newFakeFleet(t, func(config *Config) { config.Limits.AllowHedging = false })
	f.startCanary(1, 0.5)
	for range 40 {
		request := f.arrive(f.quote)
		require.LessOrEqual(t, len(request.Attempts), 1)
		if attempt := request.Attempts[0]; attempt.build == 2 { // a shadow attempt that is sent first leaves time for the primary attempt
			require.Less(t, f.timeouts[attempt], request.Timeout/2)
			f.end(attempt, TimedOut, f.timeouts[attempt])
			require.Len(t, request.Attempts, 2)
			require.Equal(t, 1, request.Attempts[1].build)
		}
		f.advance(Second / 20)
		f.end(request.Attempts[len(request.Attempts)-1], Succeeded, Second/20)
	}
	require.Positive(t, f.canaryAttempts())
}

func TestRetryBudget_LimitsAttemptsWithShortenedTimeout(t *testing.T) {
	f, _ := newFakeFleet(t, func(config *Config) { config.Limits.AllowHedging = false })
	f.serve(120, f.quote, succeeds)
	cutShort := 0
	for range 200 { // all hosts are slower than before
		request := f.arrive(f.quote)
		f.advance(Second / 40)
		if attempt := request.Attempts[0]; f.timeouts[attempt] < request.Timeout {
			cutShort++
			f.end(attempt, TimedOut, f.timeouts[attempt])
		}
		f.end(request.Attempts[len(request.Attempts)-1], Succeeded, Second/20)
	}
	require.Positive(t, cutShort)
	require.Less(t, cutShort, 60) // the budget is one for every eight requests of the last five seconds, plus a few
}

func TestRetryBudget_LimitsRetries(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.serve(80, f.quote, succeeds)
	f.attempts = nil
	f.serve(100, f.quote, func(*Attempt) Outcome { return Failed })
	require.Less(t, len(f.attempts), 130)
}
