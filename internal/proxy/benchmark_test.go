package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"runtime/pprof"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/controller"
	"dapplefront/internal/controlplane/native"
	"dapplefront/internal/inifile"
	"dapplefront/internal/routerconfig"
	"dapplefront/internal/testbed"
	"dapplefront/policy"
)

// TestMain also runs the router, the reverse proxy that it is compared with, and hosts as processes of their own, so that
// measurements of the router leave out the hosts and the load generator. DAPPLEFRONT_BENCH selects what to run.
func TestMain(m *testing.M) {
	switch os.Getenv("DAPPLEFRONT_BENCH") {
	case "router":
		s := inifile.Parse("bench", os.Getenv("DAPPLEFRONT_CHARTER"))
		c := routerconfig.From(s)
		if err := s.Err(); err != nil {
			fmt.Println("error", err)
			os.Exit(2)
		}
		i, err := Start(native.Protocols(c), c, slog.New(slog.DiscardHandler), nil)
		if err != nil {
			fmt.Println("error", err)
			os.Exit(2)
		}
		fmt.Println(i.Address())
		if file := os.Getenv("DAPPLEFRONT_PROFILE"); file != "" { // profiles the first seconds under load
			time.Sleep(time.Second)
			f, err := os.Create(file)
			if err == nil && pprof.StartCPUProfile(f) == nil {
				time.Sleep(4 * time.Second)
				pprof.StopCPUProfile()
				_ = f.Close()
			}
		}
		select {}
	case "hosts":
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fmt.Println("error", err)
			os.Exit(2)
		}
		fmt.Println(l.Addr())
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(4 * time.Second)
			_, _ = io.WriteString(w, "right")
		}))
	case "peer":
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fmt.Println("error", err)
			os.Exit(2)
		}
		fmt.Println(l.Addr())
		_ = http.Serve(l, twoChoices(strings.Split(os.Getenv("DAPPLEFRONT_HOSTS"), ",")))
	default:
		os.Exit(m.Run())
	}
}

// twoChoices is net/http's reverse proxy. It sends each request to the one of two random hosts with fewer requests in
// flight.
func twoChoices(hosts []string) http.Handler {
	open := make([]atomic.Int64, len(hosts))
	type hostIndexKey struct{}
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConns, t.MaxIdleConnsPerHost = 0, 256
	proxy := &httputil.ReverseProxy{Transport: t, Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(&url.URL{Scheme: "http", Host: hosts[r.In.Context().Value(hostIndexKey{}).(int)]})
		r.SetXForwarded()
	}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, b := rand.IntN(len(hosts)), rand.IntN(len(hosts))
		if open[b].Load() < open[a].Load() {
			a = b
		}
		open[a].Add(1)
		defer open[a].Add(-1)
		proxy.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), hostIndexKey{}, a)))
	})
}

// child is a router, the reverse proxy that it is compared with, or a host, in another process.
type child struct {
	cmd     *exec.Cmd
	address string
}

func startChild(b *testing.B, env ...string) *child {
	b.Helper()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), env...)
	c.Stderr = os.Stderr
	out, err := c.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, c.Start())
	b.Cleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(b, err)
	require.False(b, strings.HasPrefix(line, "error"), line)
	return &child{c, strings.TrimSpace(line)}
}

// cpuTime returns the processor time that all threads of the process have used.
func (c *child) cpuTime(b *testing.B) time.Duration {
	b.Helper()
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", c.cmd.Process.Pid))
	require.NoError(b, err)
	var sum time.Duration
	for _, t := range all {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/schedstat", c.cmd.Process.Pid, t.Name()))
		if err == nil {
			ns, _ := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
			sum += time.Duration(ns)
		}
	}
	return sum
}

// residentBytes returns the resident size of the process in bytes.
func (c *child) residentBytes(b *testing.B) int64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	require.NoError(b, err)
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// startFastHosts starts n hosts that respond after a delay, which may be 0, and returns their addresses.
func startFastHosts(b *testing.B, n int, delay time.Duration) (hosts []string) {
	b.Helper()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(delay)
			w.Header().Set("Endpoint-Load-Metrics", "TEXT named_metrics.active=1")
			_, _ = io.WriteString(w, "right")
		})}
		go func() { _ = s.Serve(l) }()
		b.Cleanup(func() { _ = s.Close() })
		hosts = append(hosts, l.Addr().String())
	}
	return hosts
}

// startRouter starts a router for the hosts.
func startRouter(b *testing.B, hosts []string, timeout string) *child {
	b.Helper()
	discovery, err := testbed.StartDiscovery("127.0.0.1:0", "shop", nil)
	require.NoError(b, err)
	b.Cleanup(discovery.Stop)
	release, err := controller.StartStandalone(controller.NodeConfig{Name: "c", Dir: b.TempDir(), Listen: "127.0.0.1:0", FastElections: true, InitialBuild: 1},
		controller.ServerConfig{Listen: "127.0.0.1:0"}, slog.New(slog.DiscardHandler))
	require.NoError(b, err)
	b.Cleanup(func() { _ = release.Stop() })
	for i, h := range hosts {
		discovery.Set(testbed.Endpoint{Backend: testbed.RemoteBackend(h, testbed.Machine{ID: uint32(i + 1), Zone: "here", Cores: 1,
			Speed: 1}, 1), State: policy.Serving})
	}
	c := startChild(b, "DAPPLEFRONT_BENCH=router", "DAPPLEFRONT_CHARTER="+fmt.Sprintf(`
[router]
name = r
location = here
listen = 127.0.0.1:0
[hosts]
links = 20000
[register]
address = %s
names = shop/here
[desk]
url = %s
[category quote]
repeat = retriable
paths = /
promised = %s
patience = %s
`, discovery.Address(), release.URL(), timeout, timeout))
	time.Sleep(300 * time.Millisecond)
	return c
}

// runLoad sends n requests over conns connections at a rate per second, and returns the latencies of the responses.
func runLoad(b *testing.B, address string, n, conns int, rate float64) []time.Duration {
	b.Helper()
	began := time.Now()
	var next atomic.Int64
	times := make([]time.Duration, n)
	var wait sync.WaitGroup
	var bad atomic.Int64
	for range conns {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c, err := net.Dial("tcp", address)
			if err != nil {
				bad.Add(1)
				return
			}
			defer func() { _ = c.Close() }()
			in := bufio.NewReader(c)
			for {
				i := int(next.Add(1)) - 1
				if i >= n {
					return
				}
				due := began.Add(time.Duration(float64(i) / rate * float64(time.Second)))
				time.Sleep(time.Until(due))
				_, err := io.WriteString(c, "POST /quote HTTP/1.1\r\nHost: r\r\nUser-Agent: bench\r\nContent-Length: 5\r\n\r\nhello")
				var got *http.Response
				if err == nil {
					got, err = http.ReadResponse(in, nil)
				}
				if err != nil {
					bad.Add(1)
					return
				}
				_, _ = io.Copy(io.Discard, got.Body)
				_ = got.Body.Close()
				if got.StatusCode != http.StatusOK {
					bad.Add(1)
				}
				times[i] = time.Since(due) // measured from when the request was due, so that a late start counts
			}
		}()
	}
	wait.Wait()
	if n := bad.Load(); n > 0 {
		b.Logf("%d of %d requests had no response with 200", n, len(times))
	}
	return times
}

// BenchmarkPeer compares the router with a peer, which is net/http's reverse proxy with two random choices. Both get the
// same hosts and load in the same run. It reports the processor time per request, and the router's as a fraction of the
// peer's. With -benchtime 6000x, each gets 6000 requests.
func BenchmarkPeer(b *testing.B) {
	for _, size := range []struct {
		hosts, conns int
		rate         float64
	}{{4, 64, 1000}, {24, 64, 1000}, {300, 64, 1000}, {24, 64, 4000}} {
		b.Run(fmt.Sprintf("hosts=%d/rate=%.0f", size.hosts, size.rate), func(b *testing.B) {
			hosts := startFastHosts(b, size.hosts, 0)
			ours := startRouter(b, hosts, "2s")
			peer := startChild(b, "DAPPLEFRONT_BENCH=peer", "DAPPLEFRONT_HOSTS="+strings.Join(hosts, ","))
			measure := func(c *child) (cpu time.Duration, times []time.Duration) {
				runLoad(b, c.address, max(500, b.N/10), size.conns, size.rate) // opens connections
				was := c.cpuTime(b)
				times = runLoad(b, c.address, b.N, size.conns, size.rate)
				slices.Sort(times)
				return c.cpuTime(b) - was, times
			}
			b.ResetTimer()
			a, at := measure(ours)
			z, zt := measure(peer)
			b.StopTimer()
			n := float64(b.N)
			b.ReportMetric(a.Seconds()*1e6/n, "router-us/task")
			b.ReportMetric(z.Seconds()*1e6/n, "peer-us/task")
			b.ReportMetric(float64(a)/float64(z), "cpu-share")
			b.ReportMetric(at[len(at)*99/100].Seconds()*1e6, "router-p99-us")
			b.ReportMetric(zt[len(zt)*99/100].Seconds()*1e6, "peer-p99-us")
		})
	}
}

// BenchmarkMemory measures the resident memory per idle connection, with 10,000 of them, and then the resident memory per
// request in flight. For the latter it sends 8,000 requests; each request that the router admits also has a connection to a
// host. The hosts run in processes of their own, because one process may open only 20,000 files.
func BenchmarkMemory(b *testing.B) {
	const conns, open = 10_000, 8_000
	var hosts []string
	for range 8 {
		hosts = append(hosts, startChild(b, "DAPPLEFRONT_BENCH=hosts").address)
	}
	ours := startRouter(b, hosts, "60s")
	base := ours.residentBytes(b)
	var all []net.Conn
	for range conns {
		c, err := net.Dial("tcp", ours.address)
		require.NoError(b, err)
		all = append(all, c)
	}
	time.Sleep(500 * time.Millisecond)
	idle := ours.residentBytes(b)
	for _, c := range all[:open] {
		_, _ = io.WriteString(c, "GET /quote HTTP/1.1\r\nHost: r\r\n\r\n")
		time.Sleep(100 * time.Microsecond)
	}
	time.Sleep(time.Second)
	busy := ours.residentBytes(b)
	var responses atomic.Int64
	var wait sync.WaitGroup
	for _, c := range all {
		wait.Add(1)
		go func() {
			defer wait.Done()
			_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
			if got, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
				if got.StatusCode == http.StatusOK {
					responses.Add(1)
				}
				_ = got.Body.Close()
			}
			_ = c.Close()
		}()
	}
	wait.Wait()
	b.ReportMetric(float64(idle-base)/conns, "B/idle-conn")
	// The router rejects the requests that it considers too many for eight hosts. The others were in flight at the measurement.
	b.ReportMetric(float64(busy-idle)/float64(max(1, responses.Load())), "B/open-task")
	b.ReportMetric(float64(responses.Load()), "open-tasks")
	for range b.N { // there is one measurement, whatever b.N is
	}
}
