package policy

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// changeLimits changes the limits of the running router.
func (f *fakeFleet) changeLimits(change func(*Limits)) {
	limits := f.router.limits
	change(&limits)
	f.router.ConfigChanged(f.now, f.router.routers, f.router.rank, limits, f.router.release.config)
}

// Guards against a hedged attempt whose timer was set before a new configuration forbids two attempts at once.
func TestHedge_IsNotSentAfterConfigurationForbidsIt(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.serve(80, f.quote, succeeds)
	request := f.arrive(f.quote)
	f.advance(Second / 50)
	f.changeLimits(func(limits *Limits) { limits.AllowHedging = false })
	f.advance(2 * Second)
	require.Len(t, request.Attempts, 1)
	f.end(request.Attempts[0], TimedOut, 3*Second)
	require.Equal(t, 1, len(f.rejected)+len(f.failed)+len(request.Attempts)-1, "a retry or the final response follows at once")
}

// Guards against a retry that is counted twice, or never sent, when a new configuration allows two attempts at once while an
// attempt with a shortened timeout is in flight, and against a timer of an earlier configuration that hedges after the way back.
func TestRetry_IsCountedOnceWhenHedgingIsForbiddenAndAllowedAgain(t *testing.T) {
	f, _ := newFakeFleet(t, func(config *Config) { config.Limits.AllowHedging = false })
	f.serve(120, f.quote, succeeds)
	shortened := f.arrive(f.quote)
	require.Less(t, f.timeouts[shortened.Attempts[0]], shortened.Timeout)
	f.changeLimits(func(limits *Limits) { limits.AllowHedging = true })
	f.end(shortened.Attempts[0], TimedOut, f.timeouts[shortened.Attempts[0]])
	require.Len(t, shortened.Attempts, 2)
	require.Len(t, f.router.traffic.retries, 1)
	f.end(shortened.Attempts[1], Succeeded, Second/20)

	passedOver := f.arrive(f.quote)
	f.changeLimits(func(limits *Limits) { limits.AllowHedging = false })
	f.advance(Second) // the timer of the hedged attempt is due
	f.changeLimits(func(limits *Limits) { limits.AllowHedging = true })
	f.advance(Second)
	require.Len(t, passedOver.Attempts, 1)
	require.Len(t, f.router.traffic.retries, 1)
	f.end(passedOver.Attempts[0], ConnectionLost, 2*Second)
	require.Len(t, passedOver.Attempts, 2)
	require.Len(t, f.router.traffic.retries, 2)
}

// Guards against a retry beside a shadow attempt after a new configuration forbids two attempts at once.
func TestRetry_WaitsForShadowAttemptAfterConfigurationForbidsTwoAtOnce(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.startCanary(1, 0.5)
	shadow := f.shadowAttempt()
	request := shadow.Request
	require.Len(t, request.Attempts, 2)
	f.changeLimits(func(limits *Limits) { limits.AllowHedging = false })
	f.end(request.Attempts[0], ConnectFailed, Second/20)
	require.Len(t, request.Attempts, 2)
	f.end(shadow, Failed, Second/20)
	require.Len(t, request.Attempts, 3, "the retry follows the shadow attempt")
}

// Guards against an attempt that was decided on before a new configuration forbids it and is written after it.
func TestCheckSend_AppliesLimitsInForce(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.serve(80, f.quote, succeeds)
	request := f.arrive(f.quote)
	f.router.handleRequestEvent(request, attemptSlow)
	require.Len(t, request.Attempts, 2)
	first, hedged := request.Attempts[0], request.Attempts[1]
	require.NoError(t, f.router.CheckSend(hedged, true))
	f.changeLimits(func(limits *Limits) { limits.AllowHedging = false })
	require.ErrorIs(t, f.router.CheckSend(hedged, true), ErrHedgingNotAllowed)
	require.NoError(t, f.router.CheckSend(hedged, false), "the first attempt was not sent, or has ended")
	f.changeLimits(func(limits *Limits) { limits.AllowHedging, limits.MaxAttempts = true, 1 })
	require.ErrorIs(t, f.router.CheckSend(hedged, true), ErrTooManyAttempts)
	require.NoError(t, f.router.CheckSend(first, true))
}

// Guards against an attempt that is sent to a host or a build that was ruled out while the attempt's connection was opened.
func TestCheckSend_AppliesEndpointListAndReleaseStatusInForce(t *testing.T) {
	for name, test := range map[string]struct {
		change func(f *fakeFleet, host *Host)
		err    error
	}{
		"drains":  {func(f *fakeFleet, host *Host) { f.changeEndpoint(host, func(x *EndpointUpdate) { x.State = Draining }) }, ErrHostNotServing},
		"removed": {func(f *fakeFleet, host *Host) { f.changeEndpoint(host, func(x *EndpointUpdate) { x.State = Removed }) }, ErrHostNotServing},
		"restarted": {func(f *fakeFleet, host *Host) {
			f.changeEndpoint(host, func(x *EndpointUpdate) { x.StartedAt = f.now })
		}, ErrHostReplaced},
		"other build": {func(f *fakeFleet, host *Host) { f.changeEndpoint(host, func(x *EndpointUpdate) { x.Build = 3 }) },
			ErrHostReplaced},
		"build rolled back": {func(f *fakeFleet, _ *Host) {
			f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 1, Phase: RollingBack})
		}, ErrBuildNotAllowed},
		"exposure cap 0": {func(f *fakeFleet, _ *Host) {
			f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 1, Phase: Canary})
		}, ErrBuildNotAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			f, _ := newFakeFleet(t, nil)
			f.startCanary(1, 0.5)
			attempt := f.shadowAttempt()
			require.NoError(t, f.router.CheckSend(attempt, true))
			test.change(f, attempt.Host)
			require.ErrorIs(t, f.router.CheckSend(attempt, true), test.err)
		})
	}
}

// changeEndpoint lists a host with a change.
func (f *fakeFleet) changeEndpoint(host *Host, change func(*EndpointUpdate)) {
	update := EndpointUpdate{Host: host, Zone: host.Zone, Cell: host.Cell, State: host.State, Build: host.Build, Weight: host.Weight, StartedAt: host.StartedAt}
	change(&update)
	f.router.EndpointsChanged(f.now, []EndpointUpdate{update}, true)
}

// shadowAttempt serves requests until one has a shadow attempt, and returns that attempt.
func (f *fakeFleet) shadowAttempt() *Attempt {
	f.t.Helper()
	for range 200 {
		request := f.arrive(f.quote)
		if i := slices.IndexFunc(request.Attempts, (*Attempt).IsShadow); i >= 0 {
			return request.Attempts[i]
		}
		f.end(request.Attempts[0], Succeeded, Second/20)
		f.advance(Second / 20)
	}
	f.t.Fatal("no attempt was due at the canary")
	return nil
}
