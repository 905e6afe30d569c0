package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Times of the operators' protocol page, section "Figures".
const (
	pageLongestDeadline = 3 * time.Second        // the longest deadline is taken as this where it is longer
	pageKillMargin      = 700 * time.Millisecond // SIGKILL comes no earlier than the longest deadline plus this after SIGTERM
	pageConnecting      = 400 * time.Millisecond // new connections arrive for up to this long after SIGTERM
	pageHoldUp          = 150 * time.Millisecond // a router may be held up for this long
)

// earliestKill is the earliest time of SIGKILL after SIGTERM.
func earliestKill(longestDeadline time.Duration) time.Duration {
	return min(longestDeadline, pageLongestDeadline) + pageKillMargin
}

// shutdownPlay sends requests to a router process before and after SIGTERM, kills the process at the earliest time that
// the page allows and collects what clients saw. Times are relative to SIGTERM.
type shutdownPlay struct {
	deadlines [3]time.Duration // of the classes quote, order and pay
	timeouts  [3]time.Duration // that the clients give their requests; 0 means the deadline
	serve     func(c net.Conn, r *http.Request, body []byte) bool
	from      time.Duration   // when the first request is sent
	every     time.Duration   // time between two requests
	crowd     int             // number of additional requests that are sent at SIGTERM
	holdUps   []time.Duration // when the process is held up for pageHoldUp
}

// hang leaves a request without a response until its client closes the connection.
func hang(c net.Conn, _ *http.Request, _ []byte) bool {
	_, _ = io.Copy(io.Discard, c)
	return false
}

// Requests are sent closely around the time when the router stops serving, so that some cross its closing.
const (
	denseFrom  = 700 * time.Millisecond
	denseUntil = 780 * time.Millisecond
	denseEvery = 5 * time.Millisecond
)

var classNames = [3]string{"quote", "order", "pay"}

// sentRequest is a request of a play and what its client saw.
type sentRequest struct {
	id, class  string
	sentAt     time.Duration
	timeout    time.Duration
	newConn    bool // the connection was opened for this request
	inPieces   bool // the last byte was sent a second after the others, at sentAt
	status     int  // 0 if there was no complete response
	endedAt    time.Duration
	err        error
	wasAtAHost bool // an attempt arrived at a host
}

// isLost reports whether the request had to have a response and had none. A connection that the router closes between two
// requests may cross a request that was not read, which its client then sends again.
func (s *sentRequest) isLost() bool {
	crossed := !s.newConn && !s.inPieces && !s.wasAtAHost && s.endedAt-s.sentAt < soakCloseRace
	return s.status == 0 && !crossed
}

func (s *sentRequest) String() string {
	return fmt.Sprintf("%s %s sent %v, timeout %v, new connection %v, in pieces %v, at a host %v: ended %v: status %d, %v",
		s.id, s.class, s.sentAt.Round(time.Millisecond), s.timeout, s.newConn, s.inPieces, s.wasAtAHost, s.endedAt.Round(time.Millisecond), s.status, s.err)
}

// played is the result of a play.
type played struct {
	requests []*sentRequest
	stopped  bool // the router stopped before the kill
	log      string
}

// lost returns the requests that had to have a response and had none.
func (p *played) lost() (lost []string) {
	for _, r := range p.requests {
		if r.isLost() {
			lost = append(lost, r.String())
		}
	}
	return lost
}

// served counts the requests with the given status.
func (p *played) withStatus(status int) (n int) {
	for _, r := range p.requests {
		if r.status == status {
			n++
		}
	}
	return n
}

// play runs the play.
func (s *shutdownPlay) play(t *testing.T) *played {
	t.Helper()
	var mu sync.Mutex
	atHosts := map[string]bool{}
	var members []string
	for i := range 4 {
		host := newFakeHost(t, fmt.Sprintf("h%d", i), func(c net.Conn, r *http.Request, body []byte) bool {
			mu.Lock()
			atHosts[r.Header.Get("Request-Id")] = true
			mu.Unlock()
			return s.serve(c, r, body)
		})
		members = append(members, host.entry())
	}
	platform := newFakePlatform(t, members...)
	config := configJSON(platform.address(), platform.address())
	config["limits"].(map[string]any)["sockets"] = 2048
	for i, deadline := range s.deadlines {
		classSettings(config, i)["DeadlineUs"] = deadline.Microseconds()
	}
	router := startConfiguredProcess(t, config)
	time.Sleep(200 * time.Millisecond) // until the endpoint list has arrived
	terminateAt := time.Now().Add(1100*time.Millisecond - s.from)
	killAt := terminateAt.Add(earliestKill(max(s.deadlines[0], s.deadlines[1], s.deadlines[2])))
	p := &played{}
	const pieces = 6 // one in this many requests arrives in pieces
	var clients, signals sync.WaitGroup
	send := func(at time.Duration, newConn bool) {
		n := len(p.requests)
		r := &sentRequest{id: fmt.Sprintf("r%d", n), class: classNames[n%3], sentAt: at, timeout: s.timeouts[n%3], newConn: newConn}
		r.inPieces = n%pieces == 1 // a POST
		if r.inPieces {
			r.newConn = false
		}
		if r.timeout == 0 {
			r.timeout = s.deadlines[n%3]
		}
		p.requests = append(p.requests, r)
		clients.Go(func() { r.run(router.address, terminateAt, killAt) })
	}
	for at, n := s.from, 0; at < denseFrom; at, n = at+s.every, n+1 {
		send(at, n%2 == 0 && at < pageConnecting)
	}
	for at := denseFrom; at <= denseUntil; at += denseEvery {
		send(at, false)
	}
	for range s.crowd {
		send(0, true)
	}
	for _, at := range s.holdUps {
		signals.Go(func() {
			time.Sleep(time.Until(terminateAt.Add(at)))
			router.holdUp(pageHoldUp)
		})
	}
	time.Sleep(time.Until(terminateAt))
	router.signal(syscall.SIGTERM)
	p.stopped = router.awaitEnd(killAt)
	signals.Wait()
	clients.Wait()
	p.log = router.output.String()
	mu.Lock()
	defer mu.Unlock()
	for _, r := range p.requests {
		r.wasAtAHost = atHosts[r.id]
	}
	return p
}

// run sends the request and waits for its response. A connection that is not new is opened a second earlier.
func (s *sentRequest) run(address string, terminateAt, killAt time.Time) {
	if !s.newConn {
		time.Sleep(time.Until(terminateAt.Add(s.sentAt - time.Second)))
	} else {
		time.Sleep(time.Until(terminateAt.Add(s.sentAt)))
	}
	conn, err := net.Dial("tcp", address)
	if err == nil {
		defer func() { _ = conn.Close() }()
		text := s.text()
		if s.inPieces {
			_, _ = io.WriteString(conn, text[:len(text)-1])
			text = text[len(text)-1:]
		}
		time.Sleep(time.Until(terminateAt.Add(s.sentAt)))
		s.sentAt = time.Since(terminateAt)
		_ = conn.SetDeadline(killAt.Add(time.Second))
		if _, err = io.WriteString(conn, text); err == nil {
			s.status, err = readStatus(conn)
		}
	}
	s.endedAt, s.err = time.Since(terminateAt), err
}

// readStatus reads a complete response and returns its status.
func readStatus(conn net.Conn) (int, error) {
	got, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = got.Body.Close() }()
	if _, err := io.Copy(io.Discard, got.Body); err != nil {
		return 0, errors.Join(errors.New("truncated response"), err)
	}
	return got.StatusCode, nil
}

// text returns the request as it is sent.
func (s *sentRequest) text() string {
	fields := fmt.Sprintf(" /api HTTP/1.1\r\nHost: service\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: %d\r\n",
		s.id, s.class, s.timeout.Milliseconds())
	switch s.class {
	case "quote":
		return "GET" + fields + "\r\n"
	case "order":
		fields += "Idempotency-Key: key-" + s.id + "\r\n"
	}
	return "POST" + fields + "Content-Length: 2\r\n\r\nhi"
}

// requireAllAnswered checks that no request was lost.
func (p *played) requireAllAnswered(t *testing.T) {
	t.Helper()
	t.Logf("%d requests: %d served, %d rejected, %d and %d failed; stopped before the kill: %v", len(p.requests), p.withStatus(http.StatusOK),
		p.withStatus(http.StatusServiceUnavailable), p.withStatus(http.StatusBadGateway), p.withStatus(http.StatusGatewayTimeout), p.stopped)
	require.Empty(t, p.lost(), "requests without a response; the router's log: %s", p.log)
}

// deadlinesOf returns the deadlines of the classes, which are given in seconds.
func deadlinesOf(quote, order, pay float64) (d [3]time.Duration) {
	for i, seconds := range []float64{quote, order, pay} {
		d[i] = time.Duration(seconds * float64(time.Second))
	}
	return d
}

// Guards against requests of a stopping router that hosts leave without a response until SIGKILL (report 86ce44).
func TestShutdown_AnswersEveryRequestBeforeEarliestKill(t *testing.T) {
	for name, deadlines := range map[string][3]time.Duration{
		"deadlines of 0.3 s":            deadlinesOf(0.3, 0.3, 0.3),
		"deadlines of 0.6 s":            deadlinesOf(0.6, 0.6, 0.6),
		"deadlines up to 1 s":           deadlinesOf(0.6, 1, 1),
		"deadlines up to 2.9 s":         deadlinesOf(2.9, 1, 2.9),
		"deadlines of 3.3 s":            deadlinesOf(3.3, 3.3, 3.3),
		"deadlines up to 7.6 s":         deadlinesOf(5.7, 7.6, 7.6),
		"deadlines of 20 s":             deadlinesOf(20, 20, 20),
		"one class far above the other": deadlinesOf(0.4, 20, 0.4),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play := shutdownPlay{deadlines: deadlines, serve: hang, from: -2 * time.Second, every: 30 * time.Millisecond}
			play.play(t).requireAllAnswered(t)
		})
	}
}

// Guards against a router whose last responses are due so late that a hold-up of the process keeps them back until SIGKILL.
func TestShutdown_AnswersEveryRequestDespiteHoldUps(t *testing.T) {
	for _, longest := range []float64{1, 5.7} {
		deadlines := deadlinesOf(longest, longest, longest)
		kill := earliestKill(deadlines[0])
		for name, holdUps := range map[string][]time.Duration{
			"at SIGTERM":                 {-pageHoldUp / 2},
			"0.5 s before the kill":      {kill - 500*time.Millisecond},
			"0.35 s before the kill":     {kill - 350*time.Millisecond},
			"right before the kill":      {kill - pageHoldUp},
			"at SIGTERM and at the kill": {-pageHoldUp / 2, kill - 350*time.Millisecond},
			"when it stops serving":      {denseFrom - pageHoldUp/2},
		} {
			t.Run(fmt.Sprintf("%s, deadlines of %v s", name, longest), func(t *testing.T) {
				t.Parallel()
				play := shutdownPlay{deadlines: deadlines, serve: hang, from: -time.Second, every: 40 * time.Millisecond, holdUps: holdUps}
				play.play(t).requireAllAnswered(t)
			})
		}
	}
}

// Guards against attempts that a stopping router gives up although their hosts respond in time.
func TestShutdown_ServesRequestsOfSlowHostsUntilLastResponse(t *testing.T) {
	const latency = 1200 * time.Millisecond
	respondSlowly := func(c net.Conn, r *http.Request, body []byte) bool {
		time.Sleep(latency)
		return respondOK(c, r, body)
	}
	deadlines := deadlinesOf(5.7, 7.6, 7.6)
	play := shutdownPlay{deadlines: deadlines, serve: respondSlowly, from: -2 * time.Second, every: 30 * time.Millisecond}
	played := play.play(t)
	played.requireAllAnswered(t)
	lastServed := earliestKill(deadlines[0]) - 3*pageHoldUp
	attempted := 0
	for _, r := range played.requests {
		if r.wasAtAHost && r.sentAt+latency < lastServed {
			attempted++
			require.Equal(t, http.StatusOK, r.status, r.String())
		}
	}
	require.Positive(t, attempted)
}

// Guards against requests of a stopping router that stay without a response because hosts break their connections.
func TestShutdown_AnswersEveryRequestWhenHostsFail(t *testing.T) {
	hosts := map[string]func(net.Conn, *http.Request, []byte) bool{
		"half a response, then silence": func(c net.Conn, r *http.Request, body []byte) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
			return hang(c, r, body)
		},
		"a reset after 0.4 s": func(c net.Conn, _ *http.Request, _ []byte) bool {
			time.Sleep(400 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		},
		"an end after each response": func(c net.Conn, r *http.Request, body []byte) bool {
			_ = respondOK(c, r, body)
			return false
		},
	}
	for name, serve := range hosts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play := shutdownPlay{deadlines: deadlinesOf(5.7, 0.6, 7.6), serve: serve, from: -time.Second, every: 30 * time.Millisecond, crowd: 100}
			play.play(t).requireAllAnswered(t)
		})
	}
}

// Guards against a stopping router that exits while a request is half read: its client gets a response before the kill.
func TestShutdown_RefusesRequestThatStopsInTheMiddle(t *testing.T) {
	host := newFakeHost(t, "h0", respondOK)
	platform := newFakePlatform(t, host.entry())
	config := configJSON(platform.address(), platform.address())
	router := startConfiguredProcess(t, config)
	c, err := net.Dial("tcp", router.address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST /api HTTP/1.1\r\nHost: service\r\nContent-Length: 2\r\nRequest-Id: r0\r\n\r\nh")
	time.Sleep(50 * time.Millisecond)
	router.signal(syscall.SIGTERM)
	killAt := time.Now().Add(earliestKill(time.Second))
	_ = c.SetReadDeadline(killAt)
	status, err := readStatus(c)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	_ = c.Close()
	require.True(t, router.awaitEnd(killAt.Add(time.Second)))
}

// Guards against a router that drops requests when SIGTERM comes before it is ready, among SIGHUPs that change the settings.
func TestShutdown_AnswersRequestsWhenSignaledBeforeReady(t *testing.T) {
	silent := newGatedServer(t) // discovery and feed that never respond, so that the router is not ready
	config := configJSON(silent.Addr().String(), silent.Addr().String())
	address := freeAddress(t)
	config["listen"] = address
	file := filepath.Join(t.TempDir(), "config.json")
	writeConfigFile(t, file, config)
	router := startUnreadyProcess(t, file, address)
	requests := make([]*sentRequest, 20)
	terminateAt := time.Now().Add(200 * time.Millisecond)
	killAt := terminateAt.Add(earliestKill(time.Second))
	var clients sync.WaitGroup
	for n := range requests {
		r := &sentRequest{id: fmt.Sprintf("r%d", n), class: classNames[n%3], sentAt: time.Duration(n*25-150) * time.Millisecond,
			timeout: 900 * time.Millisecond, newConn: true}
		requests[n] = r
		clients.Go(func() { r.run(address, terminateAt, killAt) })
	}
	settingsAt(config, "Obligations")["DrainGraceUs"] = 500000
	writeConfigFile(t, file, config)
	router.signal(syscall.SIGHUP)
	time.Sleep(time.Until(terminateAt))
	router.signal(syscall.SIGHUP)
	router.signal(syscall.SIGTERM)
	router.signal(syscall.SIGHUP)
	router.awaitEnd(killAt)
	clients.Wait()
	for _, r := range requests {
		require.False(t, r.isLost(), r.String())
	}
}
