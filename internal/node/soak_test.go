package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
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

// The soak runs a router as a process on loopback, sends it signals in series and judges what clients and hosts saw. By
// hand, SOAK_SEEDS says how many seeds are run and SOAK_FIRST the first one.
const (
	soakRouterVariable = "DAPPLEFRONT_SOAK_ROUTER" // makes a process of this test the router; the configuration file
	soakSeedsVariable  = "SOAK_SEEDS"
	soakFirstVariable  = "SOAK_FIRST"
	soakSeeds          = 8

	soakPatience = 900 * time.Millisecond // that clients say; the longest deadline of the classes is a second
	// An answer up to soakLateAllowed after its time is late; a later one counts as lost.
	soakLateAllowed  = 500 * time.Millisecond
	soakKillAfter    = 1700 * time.Millisecond // after SIGTERM: the longest deadline and 0.7 s
	soakGrace        = 300 * time.Millisecond  // that attempts may still reach a host after it was told to drain
	soakTransit      = 150 * time.Millisecond  // allowed for what is under way
	soakCrossing     = 10 * time.Millisecond   // a connection that ends so soon after a request was sent crossed it
	soakClients      = 8
	soakCrowd        = 100
	soakGoroutineEnd = 2 * time.Second // for the goroutines of a router that has ended
	exitSoakLeak     = 9
	soakEnded        = "ended" // what a router's process writes when the router has ended
)

func TestMain(m *testing.M) {
	if file := os.Getenv(soakRouterVariable); file != "" {
		os.Exit(runSoakRouter(file))
	}
	os.Exit(m.Run())
}

// runSoakRouter is the router's process. It fails if goroutines or descriptors are left when the router has ended.
func runSoakRouter(file string) int {
	terminate, reload := make(chan os.Signal, 2), make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM)
	signal.Notify(reload, syscall.SIGHUP)
	goroutines, descriptors := runtime.NumGoroutine(), openDescriptors()
	if _, err := Run(file, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})), terminate, reload); err != nil {
		fmt.Fprintln(os.Stderr, "run:", err)
		return 1
	}
	fmt.Println(soakEnded)
	const poller = 2 // descriptors of the runtime's poller, which come with the first socket
	for end := time.Now().Add(soakGoroutineEnd); runtime.NumGoroutine() > goroutines || openDescriptors() > descriptors+poller; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			stacks := make([]byte, 1<<20)
			fmt.Fprintf(os.Stderr, "left: %d goroutines, %d descriptors\n%s", runtime.NumGoroutine()-goroutines, openDescriptors()-descriptors,
				stacks[:runtime.Stack(stacks, true)])
			return exitSoakLeak
		}
	}
	return 0
}

func openDescriptors() int {
	entries, _ := os.ReadDir("/proc/self/fd")
	return len(entries)
}

// soakNumber is a number from the environment.
func soakNumber(t *testing.T, variable string, otherwise int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err)
	return n
}

// Guards against requests without an answer, attempts at draining hosts and leaks, as signals come in series.
func TestSoak_AnswersEveryRequestAcrossSignals(t *testing.T) {
	first, seeds := soakNumber(t, soakFirstVariable, 1), soakNumber(t, soakSeedsVariable, soakSeeds)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { newSoak(t, uint64(seed)).run() })
	}
}

// soak is one play of the soak.
type soak struct {
	*testing.T
	random     *rand.Rand // of the goroutine that sends signals
	hosts      []*fakeHost
	platforms  [2]*fakePlatform
	present    int // the platform of the newest configuration
	configFile string
	address    string
	process    *exec.Cmd
	lines      io.Reader // of the process
	output     strings.Builder

	terminatedAt atomic.Int64 // when SIGTERM was sent, in ns; 0 before
	noNewAfter   atomic.Int64 // when clients cease to connect, in ns; 0 for not yet

	mu       sync.Mutex
	outcomes map[string]int
	findings []string
	drained  *fakeHost
	drainAt  time.Time
}

func newSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	s := &soak{T: t, random: rand.New(rand.NewPCG(seed, 1)), outcomes: map[string]int{}}
	var members []string
	for i := range 4 {
		host := s.newHost(fmt.Sprintf("h%d", i), rand.New(rand.NewPCG(seed, uint64(10+i))))
		s.hosts = append(s.hosts, host)
		members = append(members, host.entry())
	}
	for i := range s.platforms {
		s.platforms[i] = newFakePlatform(t, slices.Clone(members)...)
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = free.Addr().String()
	require.NoError(t, free.Close())
	s.configFile = filepath.Join(t.TempDir(), "config.json")
	s.writeConfig(0)
	return s
}

// newHost starts a host that needs up to 0.2 s for a request, and now and then doesn't answer one.
func (s *soak) newHost(id string, random *rand.Rand) *fakeHost {
	var mu sync.Mutex
	var host *fakeHost
	host = newFakeHost(s.T, id, func(c net.Conn, r *http.Request, body []byte) bool {
		s.attemptArrived(host)
		mu.Lock()
		work, hangs := time.Duration(random.Float64()*random.Float64()*float64(200*time.Millisecond)), random.Float64() < 0.01
		mu.Unlock()
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
	if host == s.drained && time.Since(s.drainAt) > soakGrace+soakTransit {
		s.findings = append(s.findings, fmt.Sprintf("host %s got an attempt %v after it was told to drain", host.id, time.Since(s.drainAt)))
	}
}

// writeConfig writes the router's configuration with one of the platforms.
func (s *soak) writeConfig(platform int) {
	b := configJSON(s.platforms[platform].address(), s.platforms[platform].address())
	b["listen"] = s.address
	next := s.configFile + ".next"
	require.NoError(s, os.WriteFile(next, []byte(encode(s.T, b)), 0o600))
	require.NoError(s, os.Rename(next, s.configFile))
}

func (s *soak) run() {
	s.startRouter()
	var clients sync.WaitGroup
	crowd := s.random.IntN(3) == 0
	n := soakClients
	if crowd {
		n += soakCrowd
	}
	for i := range n {
		random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(i)))
		clients.Go(func() { s.runClient(random, crowd) })
	}
	s.pause(300, 600)
	s.reloadSeries()
	s.pause(500, 700) // until the newest configuration's watch is the only one
	s.drainHost()
	s.pause(300, 900)
	s.terminate()
	clients.Wait()
	s.Logf("crowd %v: %v", crowd, s.outcomes)
	require.Empty(s, s.findings, s.output.String())
	require.Positive(s, s.outcomes["200"])
}

func (s *soak) startRouter() {
	program, err := os.Executable()
	require.NoError(s, err)
	s.process = exec.Command(program)
	s.process.Env = append(os.Environ(), soakRouterVariable+"="+s.configFile)
	s.process.Stderr = &s.output
	s.lines, err = s.process.StdoutPipe()
	require.NoError(s, err)
	require.NoError(s, s.process.Start())
	require.Eventually(s, func() bool {
		c, err := net.Dial("tcp", s.address)
		if err != nil {
			return false
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
		got, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return false
		}
		defer func() { _ = got.Body.Close() }()
		return got.StatusCode == http.StatusOK
	}, 20*time.Second, 5*time.Millisecond)
}

// pause waits for a random time between two, in ms.
func (s *soak) pause(least, most int) {
	time.Sleep(time.Duration(least+s.random.IntN(most-least+1)) * time.Millisecond)
}

// reloadSeries sends SIGHUP a few times in a row, each with the configuration changed before.
func (s *soak) reloadSeries() {
	for range 1 + s.random.IntN(4) {
		s.present = s.random.IntN(2)
		s.writeConfig(s.present)
		_ = s.process.Process.Signal(syscall.SIGHUP)
		s.pause(0, 60)
	}
}

// drainHost has both platforms tell that a host drains.
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
	// What is written on the open watch counts as told.
	require.Eventually(s, func() bool { return len(s.platforms[s.present].changes) == 0 }, 10*time.Second, time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained, s.drainAt = host, time.Now()
}

// terminate sends SIGTERM, with SIGHUP beside it, and kills the process at the earliest moment that the page allows.
func (s *soak) terminate() {
	if s.random.IntN(2) == 0 {
		s.writeConfig(s.random.IntN(2))
		_ = s.process.Process.Signal(syscall.SIGHUP)
		s.pause(0, 20)
	}
	require.NoError(s, s.process.Process.Signal(syscall.SIGTERM))
	now := time.Now()
	s.terminatedAt.Store(now.UnixNano())
	s.noNewAfter.Store(now.Add(time.Duration(200+s.random.IntN(200)) * time.Millisecond).UnixNano())
	for range s.random.IntN(3) {
		s.pause(0, 300)
		_ = s.process.Process.Signal(syscall.SIGHUP)
	}
	s.awaitEnd(now)
}

// awaitEnd waits for the router's end, or kills it, and then for that of its process.
func (s *soak) awaitEnd(terminated time.Time) {
	line := make(chan string, 1)
	go func() {
		text, _ := bufio.NewReader(s.lines).ReadString('\n')
		line <- strings.TrimSpace(text)
	}()
	select {
	case text := <-line:
		require.Equal(s, soakEnded, text, s.output.String())
		s.count("ended by itself")
		require.NoError(s, s.process.Wait(), s.output.String())
	case <-time.After(time.Until(terminated.Add(soakKillAfter))):
		s.count("killed")
		_ = s.process.Process.Kill()
		_ = s.process.Wait() // it was killed
	}
}

func (s *soak) count(outcome string) {
	s.mu.Lock()
	s.outcomes[outcome]++
	s.mu.Unlock()
}

func (s *soak) find(format string, values ...any) {
	s.mu.Lock()
	s.findings = append(s.findings, fmt.Sprintf(format, values...))
	s.mu.Unlock()
}

// mayConnect reports whether clients still open connections.
func (s *soak) mayConnect() bool {
	at := s.noNewAfter.Load()
	return at == 0 || time.Now().UnixNano() < at
}

// runClient sends requests one after the other, on a connection for as long as that stays open.
func (s *soak) runClient(random *rand.Rand, crowd bool) {
	for s.mayConnect() {
		conn, err := net.Dial("tcp", s.address)
		if err != nil {
			if s.terminatedAt.Load() == 0 {
				s.find("no connection: %v", err)
			}
			return
		}
		s.useConnection(conn, random, crowd)
		_ = conn.Close()
	}
}

// useConnection sends requests until the connection ends.
func (s *soak) useConnection(conn net.Conn, random *rand.Rand, crowd bool) {
	in := bufio.NewReader(conn)
	for {
		rest := 20
		if crowd {
			rest = 400
		}
		time.Sleep(time.Duration(random.IntN(rest)) * time.Millisecond)
		if _, err := in.Peek(in.Buffered()); err != nil || hasEnded(conn, in) {
			return
		}
		text, _ := requestText("POST", "order", "Idempotency-Key: k"+strconv.Itoa(random.Int()))
		switch random.IntN(3) {
		case 0:
			text, _ = requestText("GET", "quote")
		case 1:
			text, _ = requestText("POST", "pay")
		}
		sentAt := time.Now()
		_ = conn.SetDeadline(sentAt.Add(soakPatience + soakLateAllowed))
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
			s.find("a response was cut off %v after its request was sent: %v", time.Since(sentAt), err)
			return
		}
		s.count(strconv.Itoa(got.StatusCode))
		if got.Close {
			return
		}
	}
}

// hasEnded reports whether the router has closed the connection.
func hasEnded(conn net.Conn, in *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(100 * time.Microsecond))
	_, err := in.Peek(1)
	var netErr net.Error
	return err == nil || !errors.As(err, &netErr) || !netErr.Timeout()
}

// unanswered judges a request that got no response.
func (s *soak) unanswered(sentAt time.Time, err error) {
	waited := time.Since(sentAt)
	if waited < soakCrossing {
		s.count("crossed the end of the connection")
		return
	}
	since := time.Duration(0)
	if at := s.terminatedAt.Load(); at != 0 {
		since = sentAt.Sub(time.Unix(0, at))
	}
	s.find("no answer to a request sent %v after SIGTERM, %v later: %v", since, waited, err)
}
