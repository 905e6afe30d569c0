package testbed

import (
	"io"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/policy"
)

// The results of scenarios depend on these exact values.
func TestDraw_DependsOnlyOnItsArguments(t *testing.T) {
	for _, c := range []struct {
		parts []string
		want  float64
	}{
		{[]string{"work", "r1-1.0"}, 0.7854500194944886},
		{[]string{"bad", "r1-2.0", "2"}, 0.749270743129462},
		{[]string{"wrong", "r2-17.1", "3"}, 0.9482029011269061},
	} {
		got := draw(c.parts...)
		require.Equal(t, math.Float64bits(c.want), math.Float64bits(got), "%v: got %v, want %v", c.parts, got, c.want)
	}
}

func TestBackend_CapacityGrowsDuringWarmUp(t *testing.T) {
	machine := Machine{Cores: 2, Speed: 1.5, ColdCapacity: 0.2, WarmUp: 10 * time.Second}
	started := &Backend{Machine: machine, StartedAt: time.Now()}
	for _, c := range []struct {
		age  time.Duration
		want float64
	}{
		{-time.Second, 0.6}, {0, 0.6}, {5 * time.Second, 1.8}, {10 * time.Second, 3}, {time.Hour, 3},
	} {
		require.InDelta(t, c.want, started.capacity(c.age), 1e-9, "age %v", c.age)
	}
	require.InDelta(t, 3.0, (&Backend{Machine: machine}).capacity(0), 1e-9, "a backend that is already warm")
}

func TestKeyStore_ForgetsKeysAfterTheWindow(t *testing.T) {
	var keys KeyStore
	require.True(t, keys.AddIfNew("a", time.Hour))
	require.False(t, keys.AddIfNew("a", time.Hour))
	require.True(t, keys.AddIfNew("b", time.Hour))
	require.True(t, keys.AddIfNew("a", 0), "a key whose window has passed is new again")
}

// startTestBackend starts a backend whose requests of the class quote take 1 ms of work on average.
func startTestBackend(t *testing.T, id uint32, build Build) *Backend {
	t.Helper()
	classes := map[string]Class{"quote": {Name: "quote", Work: time.Millisecond, Idempotency: policy.Idempotent}}
	backend, err := StartBackend(Machine{ID: id, Zone: "here", Cores: 1, Speed: 1}, build, false,
		Environment{Classes: classes, Keys: &KeyStore{}})
	require.NoError(t, err)
	t.Cleanup(backend.Kill)
	return backend
}

// post sends a request of the class quote with additional headers (name, value, ...) on a new connection.
func post(t *testing.T, backend *Backend, headers ...string) (status int, body string, header http.Header, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+backend.Address()+"/quote", nil)
	require.NoError(t, err)
	request.Close = true
	request.Header.Set("Stand-Task", "r1-1.0")
	request.Header.Set("Dapplefront-Category", "quote")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { require.NoError(t, response.Body.Close()) }()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), response.Header, err
}

func TestBackend_RespondsAccordingToBuildAndFault(t *testing.T) {
	for _, c := range []struct {
		name    string
		build   Build
		fault   Fault
		headers []string
		status  int // 0 for no response
		body    string
	}{
		{name: "healthy", status: http.StatusOK, body: "right r1-1.0"},
		{name: "wrong answer", build: Build{WrongAnswerRate: 1}, status: http.StatusOK, body: "wrong r1-1.0"},
		{name: "failing build", build: Build{FailureRate: 1}, status: http.StatusInternalServerError, body: "failed"},
		{name: "failing class", build: Build{FailingClass: "quote", ClassFailureRate: 1}, status: http.StatusInternalServerError,
			body: "failed"},
		{name: "other class fails", build: Build{FailingClass: "order", ClassFailureRate: 1}, status: http.StatusOK,
			body: "right r1-1.0"},
		{name: "bad request", headers: []string{"Stand-Bad", "1"}, status: http.StatusInternalServerError, body: "failed"},
		{name: "fails immediately", fault: Fault{FailureRate: 1}, status: http.StatusInternalServerError, body: "failed"},
		{name: "refuses connections", fault: Fault{RefusesConnections: true}},
		{name: "blocks the router", fault: Fault{BlockedRouter: "r1"}, headers: []string{"Dapplefront-Router", "r1"}},
		{name: "blocks another router", fault: Fault{BlockedRouter: "r2"}, headers: []string{"Dapplefront-Router", "r1"},
			status: http.StatusOK, body: "right r1-1.0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			backend := startTestBackend(t, 1, c.build)
			backend.ChangeFault(func(f *Fault) { *f = c.fault })
			status, body, _, err := post(t, backend, c.headers...)
			if c.status == 0 {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.status, status)
			require.Equal(t, c.body, body)
		})
	}
}

func TestBackend_RejectsRequestsItCannotStartInTime(t *testing.T) {
	backend := startTestBackend(t, 1, Build{})
	backend.Pause(time.Hour)
	status, body, header, err := post(t, backend)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "not looked at", body)
	require.Equal(t, "1", header.Get("Dapplefront-Unseen"))

	backend.Pause(2 * time.Second)
	status, _, _, err = post(t, backend, "Dapplefront-Within", "10ms")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
}

func TestBackend_ChoosesLoadReportFormatByID(t *testing.T) {
	for id, form := range map[uint32]string{3: "TEXT ", 4: "JSON ", 5: "BIN "} {
		_, _, header, err := post(t, startTestBackend(t, id, Build{}))
		require.NoError(t, err)
		report := header.Get("Endpoint-Load-Metrics")
		require.True(t, strings.HasPrefix(report, form), report)
	}
}
