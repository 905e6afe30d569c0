package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestNode_ForwardsRequestAndResponseUnchanged(t *testing.T) {
	host := newFakeHost(t, "a", func(c net.Conn, r *http.Request, b []byte) bool {
		n, _ := strconv.Atoi(r.Header.Get("Work-Hint"))
		respond(c, 200, "for "+r.Header.Get("Request-Id")+strings.Repeat("x", n))
		return true
	})
	r := startNode(t, host)
	for len(host.received) > 0 {
		<-host.received
	}
	got, id := r.request("POST", "order", "Idempotency-Key: k1")
	require.Equal(t, 200, got.status)
	require.Equal(t, "for "+id, got.body)
	q := <-host.received
	require.Equal(t, "/api?x=1", q.URL.String())
	require.Equal(t, "POST", q.Method)
	require.Equal(t, "k1", q.Header.Get("Idempotency-Key"))
	require.Equal(t, id, q.Header.Get("Request-Id"))
	require.Regexp(t, `^[1-9][0-9]{0,2}$`, q.Header.Get("Request-Timeout-Ms"))
	require.Equal(t, "service", q.Host)
	got, id = r.request("GET", "quote", "Work-Hint: 300000")
	require.Equal(t, 200, got.status)
	require.Equal(t, "for "+id+strings.Repeat("x", 300000), got.body, "a response may be larger than any request")
	require.Equal(t, 200, r.readiness())
}

// A malformed request gets an error response or its connection is closed, and no host receives it.
func TestNode_RejectsMalformedRequestsWithoutForwarding(t *testing.T) {
	host := newFakeHost(t, "a", respondOK)
	r := startNode(t, host)
	headers := "Request-Id: x1\r\nRequest-Class: quote\r\nRequest-Timeout-Ms: 900\r\n"
	get, pay := "GET /api HTTP/1.1\r\nHost: s\r\n", "POST /api HTTP/1.1\r\nHost: s\r\n"
	bad := map[string]string{
		"binary data":                          "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
		"no request line":                      "hello there\r\n\r\n",
		"Content-Length with chunked encoding": pay + strings.Replace(headers, "quote", "pay", 1) + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /api HTTP/1.1\r\nHost: s\r\n" + headers + "\r\n",
		"unknown transfer encoding":            pay + strings.Replace(headers, "quote", "pay", 1) + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"two Content-Length headers":           pay + strings.Replace(headers, "quote", "pay", 1) + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi!",
		"negative Content-Length":              pay + strings.Replace(headers, "quote", "pay", 1) + "Content-Length: -2\r\n\r\nhi",
		"overflowing Content-Length":           pay + strings.Replace(headers, "quote", "pay", 1) + "Content-Length: 99999999999999999999\r\n\r\nhi",
		"body of 60 MB":                        pay + strings.Replace(headers, "quote", "pay", 1) + "Content-Length: 60000000\r\n\r\n" + strings.Repeat("x", 1<<20),
		"oversized head":                       get + "X: " + strings.Repeat("x", 40<<10),
		"unknown class":                        get + strings.Replace(headers, "quote", "zzz", 1) + "\r\n",
		"no class":                             get + "Request-Id: x1\r\nRequest-Timeout-Ms: 900\r\n\r\n",
		"no request id":                        get + "Request-Class: quote\r\nRequest-Timeout-Ms: 900\r\n\r\n",
		"empty request id":                     get + "Request-Id:\r\nRequest-Class: quote\r\nRequest-Timeout-Ms: 900\r\n\r\n",
		"two request ids":                      get + "Request-Id: x2\r\n" + headers + "\r\n",
		"no timeout":                           get + "Request-Id: x1\r\nRequest-Class: quote\r\n\r\n",
		"non-numeric timeout":                  get + strings.Replace(headers, "900", "soon", 1) + "\r\n",
		"timeout of 0":                         get + strings.Replace(headers, "900", "0", 1) + "\r\n",
		"negative timeout":                     get + strings.Replace(headers, "900", "-5", 1) + "\r\n",
		"decimal timeout":                      get + strings.Replace(headers, "900", "9.5", 1) + "\r\n",
		"overflowing timeout":                  get + strings.Replace(headers, "900", "99999999999999999999", 1) + "\r\n",
		"method that does not match the class": strings.Replace(get, "GET", "POST", 1) + headers + "Content-Length: 2\r\n\r\nhi",
		"unsupported method":                   strings.Replace(get, "GET", "PUT", 1) + headers + "Content-Length: 2\r\n\r\nhi",
		"body of a GET request":                get + headers + "Content-Length: 2\r\n\r\nhi",
		"missing idempotency key":              pay + strings.Replace(headers, "quote", "order", 1) + "Content-Length: 2\r\n\r\nhi",
		"forbidden idempotency key":            pay + strings.Replace(headers, "quote", "pay", 1) + "Idempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi",
		"non-numeric work hint":                get + headers + "Work-Hint: lots\r\n\r\n",
		"truncated body":                       pay + strings.Replace(headers, "quote", "pay", 1) + "Content-Length: 9\r\n\r\nhi",
		"truncated head":                       get + "Request-",
		"no bytes":                             "",
	}
	before := host.requests.Load()
	var all sync.WaitGroup
	for name, text := range bad {
		c := r.connect()
		all.Add(1)
		go func() {
			defer all.Done()
			go func() { _, _ = io.WriteString(c, text) }()
			if got := c.read(); got.status != 0 && (got.status < 400 || got.status > 599) {
				t.Errorf("%s: got status %d", name, got.status)
			}
			if _, err := io.Copy(io.Discard, c.in); err != nil && strings.Contains(err.Error(), "timeout") {
				t.Errorf("%s: the connection was not closed", name)
			}
		}()
	}
	got, _ := r.request("GET", "quote", "")
	require.Equal(t, 200, got.status, "valid requests are served at the same time")
	all.Wait()
	require.Equal(t, before+1, host.requests.Load(), "no host received a malformed request")
}

func TestNode_RejectsRequestIDThatIsInFlight(t *testing.T) {
	release := make(chan bool)
	host := newFakeHost(t, "a", respondAfter(release))
	r := startNode(t, host)
	c, d := r.connect(), r.connect()
	text, id := requestText("POST", "pay")
	_, _ = io.WriteString(c, text)
	r.eventually(func() bool { requests, _, _, _ := r.node.instance.InFlight(); return requests == 1 })
	_, _ = io.WriteString(d, text)
	require.Equal(t, 400, d.read().status)
	release <- true
	got := c.read()
	require.Equal(t, 200, got.status)
	require.Equal(t, "for "+id, got.body)
	_, _ = io.WriteString(c, text)
	release <- true
	require.Equal(t, 200, c.read().status, "the id can be used again after the response")
}

func TestNode_ClosesIdleConnectionsForNewOnesAtLimit(t *testing.T) {
	r := startNode(t, newFakeHost(t, "a", respondOK))
	for range 2 * r.node.config.Router.Downstream.MaxConnections {
		r.connect()
	}
	r.eventually(func() bool { got, _ := r.request("GET", "quote", ""); return got.status == 200 })
	_, connections, _, _ := r.node.instance.InFlight()
	limits := r.node.config.Router.Downstream
	require.LessOrEqual(t, connections, limits.MaxConnections+limits.RejectedConnections)
}

// A non-idempotent request is sent to another host only if it certainly did not run on the first one.
func TestNode_RetriesNonIdempotentRequestOnlyIfNotStarted(t *testing.T) {
	id := func(r *http.Request) string { return "for " + r.Header.Get("Request-Id") }
	for name, x := range map[string]struct {
		serve   func(net.Conn, *http.Request) bool
		status  int // of the client's response; 200 comes from the retry, or from the first host if its response is valid
		retried bool
	}{
		"503 with Not-Started":    {func(c net.Conn, _ *http.Request) bool { respond(c, 503, "", "Not-Started: 1"); return true }, 200, true},
		"504 with Not-Started":    {func(c net.Conn, _ *http.Request) bool { respond(c, 504, "", "Not-Started: 1"); return true }, 200, true},
		"503 without Not-Started": {func(c net.Conn, _ *http.Request) bool { respond(c, 503, ""); return true }, 502, false},
		"500 with Not-Started":    {func(c net.Conn, _ *http.Request) bool { respond(c, 500, "", "Not-Started: 1"); return true }, 502, false},
		"404":                     {func(c net.Conn, _ *http.Request) bool { respond(c, 404, "x"); return true }, 502, false},
		"connection closed":       {func(net.Conn, *http.Request) bool { return false }, 502, false},
		"connection closed during the response": {func(c net.Conn, _ *http.Request) bool {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			return false
		}, 502, false},
		"no Content-Length": {func(c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n", id(r))
			return false
		}, 502, false},
		"malformed response":    {func(c net.Conn, _ *http.Request) bool { _, _ = fmt.Fprint(c, "\x00\x01zzz\r\n\r\n"); return true }, 502, false},
		"malformed status line": {func(c net.Conn, _ *http.Request) bool { _, _ = fmt.Fprint(c, "HTTP/1.1 2zz\r\n\r\n"); return true }, 502, false},
		"oversized head": {func(c net.Conn, _ *http.Request) bool {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 40<<10))
			return true
		}, 502, false},
		"response of 3 GB": {func(c net.Conn, _ *http.Request) bool {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxx")
			return true
		}, 502, false},
		"no response": {func(net.Conn, *http.Request) bool { return true }, 504, false},
		"informational response first": {func(c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprint(c, "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n")
			respond(c, 200, id(r))
			return true
		}, 200, false},
		"malformed load report": {func(c net.Conn, r *http.Request) bool {
			respond(c, 200, id(r), "Server-Load: active=lots,,")
			return true
		}, 200, false},
		"second response": {func(c net.Conn, r *http.Request) bool { respond(c, 200, id(r)); respond(c, 200, "again"); return true }, 200, false},
		"bytes after the response": {func(c net.Conn, r *http.Request) bool {
			respond(c, 200, id(r))
			_, _ = fmt.Fprint(c, "zzz")
			return true
		}, 200, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var once sync.Once
			first := make(chan string, 1)
			serve := func(c net.Conn, q *http.Request, b []byte) bool {
				if q.Method != http.MethodPost {
					return respondOK(c, q, b)
				}
				isFirst := false
				once.Do(func() { isFirst = true; first <- q.Header.Get("Request-Id") })
				if isFirst {
					return x.serve(c, q)
				}
				return respondOK(c, q, b)
			}
			a, b := newFakeHost(t, "a", serve), newFakeHost(t, "b", serve)
			r := startNode(t, a, b)
			before := a.requests.Load() + b.requests.Load()
			got, id := r.request("POST", "pay", "")
			require.Equal(t, id, <-first)
			require.Equal(t, x.status, got.status)
			if got.status == 200 {
				require.Equal(t, "for "+id, got.body)
			}
			attempts := a.requests.Load() + b.requests.Load() - before
			require.Equal(t, map[bool]int64{false: 1, true: 2}[x.retried], attempts)
			for range 4 { // bytes after the response are not taken for another request's response
				got, id := r.request("GET", "quote", "")
				require.Equal(t, 200, got.status)
				require.Equal(t, "for "+id, got.body)
			}
		})
	}
}

// If hedging is off, the connection of an attempt that timed out is closed before the next attempt is sent.
func TestNode_ClosesTimedOutAttemptBeforeRetry(t *testing.T) {
	var mu sync.Mutex
	var silent net.Conn
	var silentID string
	findings := make(chan string, 100)
	serve := func(c net.Conn, q *http.Request, b []byte) bool {
		id := q.Header.Get("Request-Id")
		mu.Lock()
		defer mu.Unlock()
		switch {
		case q.URL.Query().Get("x") == "1" && silent == nil && q.Header.Get("Work-Hint") == "1":
			silent, silentID = c, id
			time.AfterFunc(5*time.Second, func() { _ = c.Close() })
			return true
		case id == silentID:
			_ = silent.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			if _, err := silent.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
				findings <- fmt.Sprint("the first attempt's connection is still open: ", err)
			}
			silent, silentID = nil, ""
		}
		return respondOK(c, q, b)
	}
	r := startNode(t, newFakeHost(t, "a", serve), newFakeHost(t, "b", serve))
	for range 5 {
		got, id := r.request("GET", "quote", "Work-Hint: 1")
		require.Equal(t, 200, got.status)
		require.Equal(t, "for "+id, got.body)
	}
	require.Empty(t, findings)
}

func TestNode_FailsNonIdempotentRequestOnTruncatedResponse(t *testing.T) {
	var mu sync.Mutex
	truncateAt, attempts := 0, 0
	serve := func(c net.Conn, q *http.Request, b []byte) bool {
		if q.Method == http.MethodGet {
			return respondOK(c, q, b)
		}
		text := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
		mu.Lock()
		defer mu.Unlock()
		attempts++
		_, _ = io.WriteString(c, text[:min(truncateAt, len(text))])
		return truncateAt >= len(text)
	}
	r := startNode(t, newFakeHost(t, "a", serve))
	for truncateAt < 42 {
		got, _ := r.request("POST", "pay", "")
		require.Equal(t, 502, got.status, "response truncated at byte %d", truncateAt)
		mu.Lock()
		truncateAt++
		require.Equal(t, truncateAt, attempts, "a non-idempotent request that may have run is not retried")
		mu.Unlock()
	}
	got, _ := r.request("POST", "pay", "")
	require.Equal(t, 200, got.status)
	require.Equal(t, "body", got.body)
}

func TestNode_SetsRetryAfterOnRejection(t *testing.T) {
	host := newFakeHost(t, "a", func(c net.Conn, r *http.Request, b []byte) bool {
		if r.Method == http.MethodPost {
			respond(c, 503, "", "Not-Started: 1")
			return true
		}
		return respondOK(c, r, b)
	})
	r := startNode(t, host)
	got, _ := r.request("POST", "pay", "")
	require.Equal(t, 503, got.status)
	require.Regexp(t, `^\d+\.\d+$`, got.Get("Retry-After"))
}
