package node

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReload_ChangesAddressesWithoutFailingRequests(t *testing.T) {
	host := newFakeHost(t, "a", respondOK)
	r := startNode(t, host)
	next := newFakePlatform(t, host.entry())
	stop, done := make(chan bool), make(chan int)
	go func() {
		n := 0
		for {
			select {
			case <-stop:
				done <- n
				return
			default:
			}
			if got, _ := r.request("GET", "quote", ""); got.status != 200 {
				t.Errorf("got status %d during the reload", got.status)
			}
			n++
		}
	}()
	b := configJSON(next.address(), next.address())
	b["seed"] = "1"
	require.NoError(t, r.node.Reload(parseConfig(t, b)))
	r.eventually(func() bool { return next.streams.Load() == 2 })
	r.platform.CloseClientConnections()
	next.changes <- `{"revision":3,"complete":false,"members":[` + strings.Replace(host.entry(), `"a"`, `"b"`, 1) + `]}`
	r.eventually(func() bool { _, known := r.node.watch.HostID("b", time.Now()); return known })
	close(stop)
	require.Positive(t, <-done)
	other := configJSON(next.address(), next.address())
	other["name"] = "n9"
	require.Error(t, r.node.Reload(parseConfig(t, other)))
	other = configJSON(next.address(), next.address())
	other["settings"].(map[string]any)["MyZone"] = "elsewhere"
	require.ErrorContains(t, r.node.Reload(parseConfig(t, other)), "settings.MyZone")
}

func TestShutdown_ServesNewConnectionsAndRequestsInFlight(t *testing.T) {
	release := make(chan bool)
	host := newFakeHost(t, "a", respondAfter(release))
	r := startNode(t, host)
	inFlight, idle := r.connect(), r.connect()
	text, _ := requestText("POST", "order", "Idempotency-Key: k")
	_, _ = io.WriteString(inFlight, text)
	r.eventually(func() bool { requests, _, _, _ := r.node.instance.InFlight(); return requests == 1 })
	ended := make(chan int)
	n := r.node
	r.node = nil
	n.instance.StartDraining(time.Minute)
	text, _ = requestText("GET", "quote")
	_, _ = io.WriteString(idle, text)
	got := idle.read()
	require.Equal(t, 200, got.status, "a connection opened before the shutdown is served")
	require.True(t, got.closes)
	c, err := net.Dial("tcp", n.instance.Address().String())
	require.NoError(t, err, "new connections are accepted")
	_ = c.Close()
	go func() { ended <- n.Shutdown(nil) }()
	close(release)
	require.Equal(t, 200, inFlight.read().status)
	require.Zero(t, <-ended)
}

// gatedServer accepts connections and responds to each only when the test provides the response.
type gatedServer struct {
	net.Listener
	responses chan string // one for each connection, in order; an empty one closes the connection
}

func newGatedServer(t *testing.T) *gatedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := &gatedServer{l, make(chan string)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				if text := <-g.responses; text == "" {
					_ = c.Close()
				} else {
					_, _ = io.WriteString(c, text)
				}
			}()
		}
	}()
	return g
}

// A router is ready once its first attempts to open the discovery watch and the feed have succeeded or failed.
func TestNode_IsReadyAfterFirstDiscoveryAndFeedAttempts(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	for name, responses := range map[string][2]string{
		"both respond":       {head + `{"revision":2,"complete":true,"members":[]}`, head + `{"type":"stage","object":` + releaseStatus + "}"},
		"both fail":          {"", ""},
		"discovery responds": {head + `{"revision":2,"complete":true,"members":[]}`, ""},
	} {
		t.Run(name, func(t *testing.T) {
			list, feed := newGatedServer(t), newGatedServer(t)
			n, err := Start(parseConfig(t, configJSON(list.Addr().String(), feed.Addr().String())), slog.New(slog.DiscardHandler))
			require.NoError(t, err)
			r := &fixture{T: t, node: n}
			t.Cleanup(n.Close)
			require.Equal(t, 503, r.readiness(), "neither discovery nor the feed has responded")
			list.responses <- responses[0]
			r.eventually(func() bool { return n.watch.Attempted() })
			require.Equal(t, 503, r.readiness(), "the feed has not responded")
			feed.responses <- responses[1]
			r.eventually(func() bool { return r.readiness() == 200 })
			n.instance.StartDraining(time.Minute)
			require.Equal(t, 503, r.readiness(), "not ready during a shutdown")
		})
	}
}

// A configuration that changes a fixed field is rejected with the field's name, and its addresses are not used.
func TestReload_RejectsChangedFixedFields(t *testing.T) {
	r := startNode(t, newFakeHost(t, "a", respondOK))
	next := newFakePlatform(t)
	for where, change := range map[string]func(map[string]any){
		"settings.Report.Fields":           func(b map[string]any) { settingsAt(b, "Report")["Fields"] = []string{"cpu"} },
		"settings.Categories.1.DeadlineUs": func(b map[string]any) { classSettings(b, 1)["DeadlineUs"] = 2000000 },
		"settings.Categories.2.Name":       func(b map[string]any) { classSettings(b, 2)["Name"] = "settle" },
		"settings.Categories.count":        func(b map[string]any) { settingsAt(b)["Categories"] = settingsAt(b)["Categories"].([]any)[:2] },
		"limits":                           func(b map[string]any) { b["limits"].(map[string]any)["sockets"] = 300 },
		"settings.Permissions.ConnIdleUs":  func(b map[string]any) { settingsAt(b, "Permissions")["ConnIdleUs"] = 9000000 },
	} {
		t.Run(where, func(t *testing.T) {
			b := configJSON(next.address(), next.address())
			change(b)
			require.ErrorContains(t, r.node.Reload(parseConfig(t, b)), where)
		})
	}
	require.Equal(t, r.platform.address(), r.node.watch.Address())
	require.Zero(t, next.streams.Load())
	b := configJSON(r.platform.address(), r.platform.address()) // the changed fields may change in a running router
	settingsAt(b, "Obligations")["DrainGraceUs"], classSettings(b, 0)["AimUs"] = 500000, 200000
	require.NoError(t, r.node.Reload(parseConfig(t, b)))
	got, _ := r.request("GET", "quote", "")
	require.Equal(t, 200, got.status)
}

// Further terminate and reload signals during a shutdown do not cancel requests in flight.
func TestRun_IgnoresFurtherSignalsDuringShutdown(t *testing.T) {
	release := make(chan bool)
	host := newFakeHost(t, "a", respondAfter(release))
	platform := newFakePlatform(t, host.entry())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := configJSON(platform.address(), platform.address())
	b["listen"] = l.Addr().String()
	_ = l.Close()
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, []byte(encode(t, b)), 0o600))
	terminate, reload, ended := make(chan os.Signal), make(chan os.Signal), make(chan int, 1)
	go func() {
		unanswered, err := Run(file, slog.New(slog.DiscardHandler), terminate, reload)
		if err != nil {
			unanswered = -1
		}
		ended <- unanswered
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", b["listen"].(string))
		if err != nil {
			return nil
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		return c
	}
	require.Eventually(t, func() bool {
		c := dial()
		if c == nil {
			return false
		}
		text, _ := requestText("GET", "quote")
		_, _ = io.WriteString(c, text)
		return (&client{c, bufio.NewReader(c)}).read().status == 200
	}, 20*time.Second, time.Millisecond)
	require.NoError(t, os.WriteFile(file, []byte("half a fi"), 0o600))
	reload <- syscall.SIGHUP // the file is invalid, so the configuration stays
	inFlight := dial()
	text, id := requestText("POST", "order", "Idempotency-Key: k")
	_, _ = io.WriteString(inFlight, text)
	for q := range host.received {
		if q.Header.Get("Request-Id") == id {
			break
		}
	}
	terminate <- syscall.SIGTERM
	terminate <- syscall.SIGTERM
	reload <- syscall.SIGHUP
	terminate <- syscall.SIGTERM
	release <- true
	got := (&client{inFlight, bufio.NewReader(inFlight)}).read()
	require.Equal(t, 200, got.status)
	require.Equal(t, "for "+id, got.body)
	require.True(t, got.closes)
	require.Zero(t, <-ended)
}
