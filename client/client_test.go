package client_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/client"
	"dapplefront/internal/api"
)

// instance starts a controller that sends the same response to all requests, and counts them. For status 0 it closes the
// connection instead.
func instance(t *testing.T, status int, body string) (url string, requests *atomic.Int64) {
	t.Helper()
	requests = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return s.URL, requests
}

// refusingURL returns a URL at which connections are refused.
func refusingURL(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	url := "http://" + l.Addr().String()
	require.NoError(t, l.Close())
	return url
}

func TestClient_CreateRetriesAtNextInstanceOnlyIfSafe(t *testing.T) {
	for _, c := range []struct {
		name    string
		status  int // of the first instance; -1 if it refuses connections, 0 if it closes them
		key     string
		reached bool // the second instance received the request
		problem int  // status of the controller's error; 0 if the error is not a controller's
		err     string
	}{
		{"refused connection", -1, "", true, 0, ""},
		{"no leader", 503, "", true, 0, ""},
		{"unknown outcome with a key", 504, "k", true, 0, ""},
		{"unknown outcome without a key", 504, "", false, 504, "Gateway Timeout: lost"},
		{"lost response with a key", 0, "k", true, 0, ""},
		{"lost response without a key", 0, "", false, 0, "outcome unknown: the change may have been made: "},
		{"rejection with a key", 409, "k", false, 409, "Conflict: build: lost"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var first string
			switch c.status {
			case -1:
				first = refusingURL(t)
			case 409:
				first, _ = instance(t, c.status, `{"title":"Conflict","field":"build","detail":"lost","status":1}`)
			default:
				first, _ = instance(t, c.status, `{"title":"Gateway Timeout","detail":"lost"}`)
			}
			second, requests := instance(t, http.StatusCreated, `{"build":2}`)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			r, err := client.New([]string{first + "/", second}, nil).Create(ctx, api.CreateRelease{Build: 2}, c.key)
			require.Equal(t, c.reached, requests.Load() == 1)
			if c.reached {
				require.NoError(t, err)
				require.Equal(t, 2, r.Build)
				return
			}
			require.ErrorContains(t, err, c.err)
			var problem *client.Error
			if c.problem == 0 {
				require.NotErrorAs(t, err, &problem)
				return
			}
			require.ErrorAs(t, err, &problem)
			require.Equal(t, c.problem, problem.Status)
		})
	}
}

func TestClient_RetriesUntilContextEnds(t *testing.T) {
	url, requests := instance(t, http.StatusServiceUnavailable, "")
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err := client.New([]string{url}, nil).Get(ctx, 2, true)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	var problem *client.Error
	require.ErrorAs(t, err, &problem, "the error must include the last response")
	require.Greater(t, requests.Load(), int64(1))
}
