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

// instance is a controller that gives one answer to all requests, and counts them. Status 0 closes the connection.
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

// refusing is a URL where nobody listens.
func refusing(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	url := "http://" + l.Addr().String()
	require.NoError(t, l.Close())
	return url
}

func TestClient_CreateGoesToTheNextInstanceOnlyWhereThatIsHarmless(t *testing.T) {
	for _, c := range []struct {
		name    string
		status  int // of the first instance; -1 where it refuses connections, 0 where it closes them
		key     string
		reached bool // the second instance
		problem int  // status of the error; 0 for none of a controller
		err     string
	}{
		{"refused connection", -1, "", true, 0, ""},
		{"no leader", 503, "", true, 0, ""},
		{"unclear with a key", 504, "k", true, 0, ""},
		{"unclear without a key", 504, "", false, 504, "Gateway Timeout: lost"},
		{"lost answer with a key", 0, "k", true, 0, ""},
		{"lost answer without a key", 0, "", false, 0, "it may have been done: "},
		{"rejection with a key", 409, "k", false, 409, "Conflict: build: lost"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var first string
			switch c.status {
			case -1:
				first = refusing(t)
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

func TestClient_TriesUntilTheContextEnds(t *testing.T) {
	url, requests := instance(t, http.StatusServiceUnavailable, "")
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err := client.New([]string{url}, nil).Get(ctx, 2, true)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	var problem *client.Error
	require.ErrorAs(t, err, &problem, "with the last answer")
	require.Greater(t, requests.Load(), int64(1))
}
