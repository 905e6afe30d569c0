package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The soak test runs a router as a process on loopback, sends it a series of signals and checks what clients and hosts
// observe. For manual runs, SOAK_SEEDS sets the number of seeds and SOAK_FIRST the first seed.
const (
	soakSeedsVariable = "SOAK_SEEDS"
	soakFirstVariable = "SOAK_FIRST"
	soakSeeds         = 10

	// A response up to soakLateAllowed after the request timeout is late; after that, it counts as lost.
	soakLateAllowed   = 500 * time.Millisecond
	soakDrainGrace    = 300 * time.Millisecond // how long attempts may still arrive at a host after it is reported as draining
	soakTransitMargin = 150 * time.Millisecond // additional allowance for attempts in transit
	soakCloseRace     = 10 * time.Millisecond  // a request sent this shortly before its connection ends raced with the close
	soakClients       = 8
	soakExtraClients  = 100
)

// soakDeadlines are the deadlines of the classes and the clients' timeouts, in turn by the seed: below, at and above what the
// platform counts for its kill. Ten seeds in a row have each of them with hosts that hang and with hosts that don't.
var soakDeadlines = []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second, 3300 * time.Millisecond, 7600 * time.Millisecond}

// soakNumber returns a number from the environment, or the default if the variable is not set.
func soakNumber(t *testing.T, variable string, defaultNumber int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return defaultNumber
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err)
	return n
}

// Guards against requests without a response, attempts sent to draining hosts, and leaks when several signals follow each
// other.
func TestSoak_AnswersEveryRequestAcrossSignals(t *testing.T) {
	first, seeds := soakNumber(t, soakFirstVariable, 1), soakNumber(t, soakSeedsVariable, soakSeeds)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { newSoak(t, uint64(seed)).run() })
	}
}

// soak is one run of the soak test.
type soak struct {
	*testing.T
	random         *rand.Rand    // used by the goroutine that sends signals
	deadline       time.Duration // of all classes, and the clients' timeout
	hostsHang      bool          // all hosts hang from SIGTERM on
	holdsUp        bool          // the process is held up at SIGTERM and during the shutdown
	hosts          []*fakeHost
	platforms      [2]*fakePlatform
	activePlatform int // index of the platform in the newest configuration
	configFile     string
	address        string
	router         *routerProcess

	terminatedAt     atomic.Int64 // when SIGTERM was sent, as Unix time in ns; 0 before that
	stopConnectingAt atomic.Int64 // when clients stop opening connections, as Unix time in ns; 0 before it is set

	mu       sync.Mutex
	outcomes map[string]int
	findings []string
	drained  *fakeHost
	drainAt  time.Time
}

func newSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	s := &soak{T: t, random: rand.New(rand.NewPCG(seed, 1)), outcomes: map[string]int{}}
	s.deadline = soakDeadlines[seed%uint64(len(soakDeadlines))]
	s.hostsHang, s.holdsUp = seed%2 == 0, seed/2%2 == 0
	var members []string
	for i := range 4 {
		host := s.newHost(fmt.Sprintf("h%d", i), rand.New(rand.NewPCG(seed, uint64(10+i))))
		s.hosts = append(s.hosts, host)
		members = append(members, host.entry())
	}
	for i := range s.platforms {
		s.platforms[i] = newFakePlatform(t, slices.Clone(members)...)
	}
	s.address = freeAddress(t)
	s.configFile = filepath.Join(t.TempDir(), "config.json")
	s.writeConfig(0)
	return s
}

// newHost starts a host that takes up to 0.2 s for a request and leaves 1% of the requests without a response.
func (s *soak) newHost(id string, random *rand.Rand) *fakeHost {
	var mu sync.Mutex
	var host *fakeHost
	host = newFakeHost(s.T, id, func(c net.Conn, r *http.Request, body []byte) bool {
		s.attemptArrived(host)
		mu.Lock()
		work, hangs := time.Duration(random.Float64()*random.Float64()*float64(200*time.Millisecond)), random.Float64() < 0.01
		mu.Unlock()
		if s.hostsHang && s.terminatedAt.Load() != 0 {
			return hang(c, r, body)
		}
		if hangs {
			time.Sleep(2 * time.Second)
			return false
		}
		time.Sleep(work)
		return respondOK(c, r, body)
	})
	return host
}

func (s *soak) attemptArrived(host *fakeHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if host == s.drained && time.Since(s.drainAt) > soakDrainGrace+soakTransitMargin {
		s.findings = append(s.findings, fmt.Sprintf("host %s received an attempt %v after it was reported as draining", host.id, time.Since(s.drainAt)))
	}
}

// writeConfig writes a router configuration that uses the platform with the given index.
func (s *soak) writeConfig(platform int) {
	b := configJSON(s.platforms[platform].address(), s.platforms[platform].address())
	b["listen"] = s.address
	for class := range 3 {
		classSettings(b, class)["DeadlineUs"] = s.deadline.Microseconds()
	}
	writeConfigFile(s, s.configFile, b)
}

func (s *soak) run() {
	s.router = startRouterProcess(s, s.configFile, s.address)
	var clients sync.WaitGroup
	manyClients := s.random.IntN(3) == 0
	n := soakClients
	if manyClients {
		n += soakExtraClients
	}
	for i := range n {
		random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(i)))
		clients.Go(func() { s.runClient(random, manyClients) })
	}
	s.pause(300, 600)
	s.reloadSeries()
	s.pause(500, 700) // until only the newest configuration's watch is open
	s.drainHost()
	s.pause(300, 900)
	s.terminate()
	clients.Wait()
	s.Logf("deadline %v, hosts hang %v, hold-ups %v, many clients %v: %v", s.deadline, s.hostsHang, s.holdsUp, manyClients, s.outcomes)
	require.Empty(s, s.findings, s.router.output.String())
	require.Positive(s, s.outcomes["200"])
}

// pause sleeps for a random time from least to most, in ms.
func (s *soak) pause(least, most int) {
	time.Sleep(time.Duration(least+s.random.IntN(most-least+1)) * time.Millisecond)
}

// reloadSeries sends SIGHUP one to four times in a row and rewrites the configuration before each.
func (s *soak) reloadSeries() {
	for range 1 + s.random.IntN(4) {
		s.activePlatform = s.random.IntN(2)
		s.writeConfig(s.activePlatform)
		s.router.signal(syscall.SIGHUP)
		s.pause(0, 60)
	}
}

// drainHost has both platforms report that a host is draining.
func (s *soak) drainHost() {
	host := s.hosts[s.random.IntN(len(s.hosts))]
	draining := strings.Replace(host.entry(), `"phase":"up"`, `"phase":"draining"`, 1)
	draining = strings.Replace(draining, `"revision_no":1`, `"revision_no":2`, 1)
	for _, p := range s.platforms {
		p.mu.Lock()
		for i, entry := range p.endpoints {
			if entry == host.entry() {
				p.endpoints[i] = draining
			}
		}
		p.mu.Unlock()
		p.changes <- `{"revision":3,"complete":false,"members":[` + draining + `]}`
	}
	// The router counts as notified once the message is written to the open watch.
	require.Eventually(s, func() bool { return len(s.platforms[s.activePlatform].changes) == 0 }, 10*time.Second, time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained, s.drainAt = host, time.Now()
}

// terminate sends SIGTERM, with SIGHUP before and after it, and kills the process at the earliest time that the operators'
// protocol page allows.
func (s *soak) terminate() {
	if s.random.IntN(2) == 0 {
		s.writeConfig(s.random.IntN(2))
		s.router.signal(syscall.SIGHUP)
		s.pause(0, 20)
	}
	var holdUps sync.WaitGroup
	if s.holdsUp {
		holdUps.Go(func() { s.router.holdUp(pageHoldUp) })
		s.pause(0, int(pageHoldUp.Milliseconds()))
	}
	s.router.signal(syscall.SIGTERM)
	now := time.Now()
	killAt := now.Add(earliestKill(s.deadline))
	if s.holdsUp {
		at := killAt.Add(-time.Duration(150+s.random.IntN(500)) * time.Millisecond)
		holdUps.Go(func() {
			time.Sleep(time.Until(at))
			s.router.holdUp(pageHoldUp)
		})
	}
	s.terminatedAt.Store(now.UnixNano())
	s.stopConnectingAt.Store(now.Add(time.Duration(200+s.random.IntN(200)) * time.Millisecond).UnixNano())
	for range s.random.IntN(3) {
		s.pause(0, 300)
		s.router.signal(syscall.SIGHUP)
	}
	defer holdUps.Wait()
	if s.router.awaitEnd(killAt) {
		s.count("exited before the kill")
	} else {
		s.count("killed")
	}
}

func (s *soak) count(outcome string) {
	s.mu.Lock()
	s.outcomes[outcome]++
	s.mu.Unlock()
}

func (s *soak) addFinding(format string, values ...any) {
	s.mu.Lock()
	s.findings = append(s.findings, fmt.Sprintf(format, values...))
	s.mu.Unlock()
}

// mayConnect reports whether clients may still open connections.
func (s *soak) mayConnect() bool {
	at := s.stopConnectingAt.Load()
	return at == 0 || time.Now().UnixNano() < at
}

// runClient sends requests one after the other, on each connection until it closes.
func (s *soak) runClient(random *rand.Rand, manyClients bool) {
	for s.mayConnect() {
		conn, err := net.Dial("tcp", s.address)
		if err != nil {
			if s.terminatedAt.Load() == 0 {
				s.addFinding("connection failed: %v", err)
			}
			return
		}
		s.useConnection(conn, random, manyClients)
		_ = conn.Close()
	}
}

// useConnection sends requests until the connection closes.
func (s *soak) useConnection(conn net.Conn, random *rand.Rand, manyClients bool) {
	in := bufio.NewReader(conn)
	for {
		maxPauseMs := 20
		if manyClients {
			maxPauseMs = 400
		}
		time.Sleep(time.Duration(random.IntN(maxPauseMs)) * time.Millisecond)
		if _, err := in.Peek(in.Buffered()); err != nil || isClosed(conn, in) {
			return
		}
		text, _ := requestText("POST", "order", "Idempotency-Key: k"+strconv.Itoa(random.Int()))
		switch random.IntN(3) {
		case 0:
			text, _ = requestText("GET", "quote")
		case 1:
			text, _ = requestText("POST", "pay")
		}
		text = strings.Replace(text, "Timeout-Ms: 900", "Timeout-Ms: "+strconv.FormatInt(s.deadline.Milliseconds(), 10), 1)
		sentAt := time.Now()
		_ = conn.SetDeadline(sentAt.Add(s.deadline + soakLateAllowed))
		_, err := io.WriteString(conn, text)
		var got *http.Response
		if err == nil {
			got, err = http.ReadResponse(in, nil)
		}
		if err != nil {
			s.unanswered(sentAt, err)
			return
		}
		_, err = io.Copy(io.Discard, got.Body)
		_ = got.Body.Close()
		if err != nil {
			s.addFinding("response truncated %v after its request was sent: %v", time.Since(sentAt), err)
			return
		}
		s.count(strconv.Itoa(got.StatusCode))
		if got.Close {
			return
		}
	}
}

// isClosed reports whether the router has closed the connection or sent unexpected bytes.
func isClosed(conn net.Conn, in *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(100 * time.Microsecond))
	_, err := in.Peek(1)
	var netErr net.Error
	return err == nil || !errors.As(err, &netErr) || !netErr.Timeout()
}

// unanswered records a request that got no response. It is a finding unless the request raced with the connection's close.
func (s *soak) unanswered(sentAt time.Time, err error) {
	waited := time.Since(sentAt)
	if waited < soakCloseRace {
		s.count("raced with the connection's close")
		return
	}
	since := time.Duration(0)
	if at := s.terminatedAt.Load(); at != 0 {
		since = sentAt.Sub(time.Unix(0, at))
	}
	s.addFinding("request sent %v after SIGTERM got no response within %v: %v", since, waited, err)
}
