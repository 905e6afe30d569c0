package testbed

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/audit"
	"dapplefront/policy"
)

// testClass returns a class whose requests don't time out during a test.
func testClass() RequestClass {
	return RequestClass{Class: Class{Name: "quote"}, Path: "/quote", Share: 1, LatencyObjective: time.Minute, Timeout: time.Hour}
}

// runClients sends requests to an address until at least ten have ended, and returns the totals of the class.
func runClients(t *testing.T, address string, class RequestClass, behavior Behavior) Score {
	t.Helper()
	recorder := audit.NewRecorder()
	defer recorder.Close()
	behavior.RateFactor = 1
	clients := NewClients([]RequestClass{class}, []Target{{Name: "r1", Address: address, Rate: 100}}, behavior, recorder, "", nil, 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		clients.Run(ctx)
	}()
	defer func() { cancel(); <-ended }()
	total := func() Score {
		scores, _ := clients.Scores()
		return scores[class.Name]
	}
	require.Eventually(t, func() bool { return total().Requests >= 10 }, eventTimeout, pollInterval)
	cancel()
	<-ended
	return total()
}

func TestClients_CountEachOutcome(t *testing.T) {
	respond := func(outcome, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Dapplefront-Outcome", outcome)
			_, _ = io.WriteString(w, body)
		}
	}
	late, abandoned := testClass(), testClass()
	late.LatencyObjective = time.Nanosecond
	abandoned.LatencyObjective = 20 * time.Millisecond
	for _, c := range []struct {
		name     string
		class    RequestClass
		behavior Behavior
		router   http.HandlerFunc
		want     func(requests int) Score
	}{
		{"in time", testClass(), Behavior{}, respond("finished", "right 1"), func(n int) Score { return Score{InTime: n} }},
		{"late", late, Behavior{}, respond("finished", "right 1"), func(n int) Score { return Score{Late: n} }},
		{"wrong", testClass(), Behavior{}, respond("finished", "wrong 1"), func(n int) Score { return Score{InTime: n, Wrong: n} }},
		{"rejected", testClass(), Behavior{}, respond("turned-back", ""), func(n int) Score { return Score{Rejected: n} }},
		{"failed", testClass(), Behavior{}, respond("scrapped", ""), func(n int) Score { return Score{Failed: n} }},
		{"unknown outcome", testClass(), Behavior{}, respond("", ""), func(n int) Score { return Score{Refused: n} }},
		{"connection lost", testClass(), Behavior{}, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			func(n int) Score { return Score{Lost: n} }},
		{"abandoned", abandoned, Behavior{AbandonRate: 1},
			func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // the server detects that the client disconnects only after reading the body
				<-r.Context().Done()
			},
			func(n int) Score { return Score{TimedOut: n} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			router := httptest.NewServer(c.router)
			defer router.Close()
			got := runClients(t, router.Listener.Addr().String(), c.class, c.behavior)
			require.Positive(t, got.Requests)
			want := c.want(got.Requests)
			want.Requests = got.Requests
			require.Equal(t, want, got)
		})
	}
	t.Run("no connection", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		require.NoError(t, listener.Close())
		got := runClients(t, listener.Addr().String(), testClass(), Behavior{})
		require.Positive(t, got.Requests)
		require.Equal(t, Score{Requests: got.Requests, Refused: got.Requests}, got)
	})
}

func TestClients_RetryOnlySafeRequests(t *testing.T) {
	for _, c := range []struct {
		name        string
		outcome     string
		idempotency policy.Idempotency
		attempts    int // of each request
	}{
		{"rejected", "turned-back", policy.NonIdempotent, 3},
		{"failed, idempotent", "scrapped", policy.Idempotent, 3},
		{"failed, idempotent with key", "scrapped", policy.IdempotentWithKey, 1},
		{"failed, non-idempotent", "scrapped", policy.NonIdempotent, 1},
		{"succeeded", "finished", policy.Idempotent, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var mu sync.Mutex
			attempts := 0
			router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				mu.Lock()
				attempts++
				mu.Unlock()
				w.Header().Set("Dapplefront-Outcome", c.outcome)
			}))
			defer router.Close()
			class := testClass()
			class.Idempotency = c.idempotency
			got := runClients(t, router.Listener.Addr().String(), class, Behavior{MaxRetries: 2})
			require.Positive(t, got.Requests)
			require.Equal(t, c.attempts*got.Requests, attempts)
		})
	}
}

// Routers and the readers of recorded traffic parse the text of requests, so it must not change.
func TestClients_WriteExactRequestText(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var connections sync.WaitGroup
	defer connections.Wait()
	defer func() { require.NoError(t, listener.Close()) }()
	var mu sync.Mutex
	texts := map[string]string{} // by attempt id, which is the request body
	connections.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Go(func() {
				defer closeAndLog("connection", conn)
				reader := bufio.NewReader(conn)
				for {
					text, id, err := readRequest(reader)
					if err != nil {
						return
					}
					mu.Lock()
					texts[id] = text
					mu.Unlock()
					_, _ = io.WriteString(conn, "HTTP/1.1 503 x\r\nDapplefront-Outcome: turned-back\r\nContent-Length: 0\r\n\r\n")
				}
			})
		}
	})
	class := testClass()
	class.Idempotency = policy.IdempotentWithKey
	runClients(t, listener.Addr().String(), class, Behavior{MaxRetries: 1, BadRequestRate: 1})

	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, "POST /quote HTTP/1.1\r\nHost: r1\r\nStand-Task: r1-1.0\r\nDapplefront-Patience: Nms\r\n"+
		"Idempotency-Key: r1-1\r\nStand-Bad: 1\r\nContent-Length: 6\r\n\r\nr1-1.0", texts["r1-1.0"])
	require.Equal(t, "POST /quote HTTP/1.1\r\nHost: r1\r\nStand-Task: r1-1.1\r\nDapplefront-Patience: Nms\r\n"+
		"Idempotency-Key: r1-1\r\nStand-Bad: 1\r\nDapplefront-Again: 1\r\nContent-Length: 6\r\n\r\nr1-1.1", texts["r1-1.1"])
}

var timeoutValue = regexp.MustCompile(`Patience: \d+ms`)

// readRequest reads a request. It returns the text, with the timeout replaced by Nms, and the body.
func readRequest(reader *bufio.Reader) (text, body string, err error) {
	var length int
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return "", "", err
		}
		text += line
		_, _ = fmt.Sscanf(line, "Content-Length: %d", &length)
		if line == "\r\n" {
			break
		}
	}
	raw := make([]byte, length)
	if _, err := io.ReadFull(reader, raw); err != nil {
		return "", "", err
	}
	return timeoutValue.ReplaceAllString(text, "Patience: Nms") + string(raw), string(raw), nil
}
