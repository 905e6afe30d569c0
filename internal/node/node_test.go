package node

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestATaskPassesOnUnchangedAndItsAnswerComesBack(t *testing.T) {
	m := newFakeHost(t, "a", func(c net.Conn, r *http.Request, b []byte) bool {
		n, _ := strconv.Atoi(r.Header.Get("Work-Hint"))
		respond(c, 200, "for "+r.Header.Get("Request-Id")+strings.Repeat("x", n))
		return true
	})
	r := startNode(t, m)
	for len(m.received) > 0 {
		<-m.received
	}
	got, id := r.request("POST", "order", "Idempotency-Key: k1")
	require.Equal(t, 200, got.status)
	require.Equal(t, "for "+id, got.body)
	q := <-m.received
	require.Equal(t, "/api?x=1", q.URL.String())
	require.Equal(t, "POST", q.Method)
	require.Equal(t, "k1", q.Header.Get("Idempotency-Key"))
	require.Equal(t, id, q.Header.Get("Request-Id"))
	require.Regexp(t, `^[1-9][0-9]{0,2}$`, q.Header.Get("Request-Timeout-Ms"))
	require.Equal(t, "service", q.Host)
	got, id = r.request("GET", "quote", "Work-Hint: 300000")
	require.Equal(t, 200, got.status)
	require.Equal(t, "for "+id+strings.Repeat("x", 300000), got.body, "an answer may be larger than any request")
	require.Equal(t, 200, r.readiness())
}

// What can't be taken as a task gets an error or a close, and no host hears of it.
func TestBadClientsGetAnErrorOrACloseAndHostsHearNothing(t *testing.T) {
	m := newFakeHost(t, "a", respondOK)
	r := startNode(t, m)
	usual := "Request-Id: x1\r\nRequest-Class: quote\r\nRequest-Timeout-Ms: 900\r\n"
	get, pay := "GET /api HTTP/1.1\r\nHost: s\r\n", "POST /api HTTP/1.1\r\nHost: s\r\n"
	bad := map[string]string{
		"noise":                    "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
		"no request":               "hello there\r\n\r\n",
		"a length beside chunks":   pay + strings.Replace(usual, "quote", "pay", 1) + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /api HTTP/1.1\r\nHost: s\r\n" + usual + "\r\n",
		"chunks spelt oddly":       pay + strings.Replace(usual, "quote", "pay", 1) + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"two lengths":              pay + strings.Replace(usual, "quote", "pay", 1) + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi!",
		"a negative length":        pay + strings.Replace(usual, "quote", "pay", 1) + "Content-Length: -2\r\n\r\nhi",
		"a huge length":            pay + strings.Replace(usual, "quote", "pay", 1) + "Content-Length: 99999999999999999999\r\n\r\nhi",
		"60 MB":                    pay + strings.Replace(usual, "quote", "pay", 1) + "Content-Length: 60000000\r\n\r\n" + strings.Repeat("x", 1<<20),
		"a head without end":       get + "X: " + strings.Repeat("x", 40<<10),
		"an unknown category":      get + strings.Replace(usual, "quote", "zzz", 1) + "\r\n",
		"no category":              get + "Request-Id: x1\r\nRequest-Timeout-Ms: 900\r\n\r\n",
		"no id":                    get + "Request-Class: quote\r\nRequest-Timeout-Ms: 900\r\n\r\n",
		"an empty id":              get + "Request-Id:\r\nRequest-Class: quote\r\nRequest-Timeout-Ms: 900\r\n\r\n",
		"two ids":                  get + "Request-Id: x2\r\n" + usual + "\r\n",
		"no patience":              get + "Request-Id: x1\r\nRequest-Class: quote\r\n\r\n",
		"patience that is no time": get + strings.Replace(usual, "900", "soon", 1) + "\r\n",
		"patience of nothing":      get + strings.Replace(usual, "900", "0", 1) + "\r\n",
		"patience below nothing":   get + strings.Replace(usual, "900", "-5", 1) + "\r\n",
		"patience with a point":    get + strings.Replace(usual, "900", "9.5", 1) + "\r\n",
		"patience beyond numbers":  get + strings.Replace(usual, "900", "99999999999999999999", 1) + "\r\n",
		"another method":           strings.Replace(get, "GET", "POST", 1) + usual + "Content-Length: 2\r\n\r\nhi",
		"a method not served":      strings.Replace(get, "GET", "PUT", 1) + usual + "Content-Length: 2\r\n\r\nhi",
		"a body where none may be": get + usual + "Content-Length: 2\r\n\r\nhi",
		"no key":                   pay + strings.Replace(usual, "quote", "order", 1) + "Content-Length: 2\r\n\r\nhi",
		"a key where none may be":  pay + strings.Replace(usual, "quote", "pay", 1) + "Idempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi",
		"a hint that is no number": get + usual + "Work-Hint: lots\r\n\r\n",
		"half a request":           pay + strings.Replace(usual, "quote", "pay", 1) + "Content-Length: 9\r\n\r\nhi",
		"half a head":              get + "Request-",
		"nothing":                  "",
	}
	before := m.requests.Load()
	var all sync.WaitGroup
	for name, text := range bad {
		c := r.client()
		all.Add(1)
		go func() {
			defer all.Done()
			go func() { _, _ = io.WriteString(c, text) }()
			if got := c.read(); got.status != 0 && (got.status < 400 || got.status > 599) {
				t.Errorf("%s: answered with %d", name, got.status)
			}
			if _, err := io.Copy(io.Discard, c.in); err != nil && strings.Contains(err.Error(), "timeout") {
				t.Errorf("%s: the connection stays open", name)
			}
		}()
	}
	got, _ := r.request("GET", "quote", "")
	require.Equal(t, 200, got.status, "usual clients go on")
	all.Wait()
	require.Equal(t, before+1, m.requests.Load(), "nothing else came to a host")
}

func TestTheIdOfAnOpenTaskIsTurnedDownAndTheTaskGoesOn(t *testing.T) {
	goOn := make(chan bool)
	m := newFakeHost(t, "a", respondWhenReleased(goOn))
	r := startNode(t, m)
	c, d := r.client(), r.client()
	text, id := requestText("POST", "pay")
	_, _ = io.WriteString(c, text)
	r.eventually(func() bool { tasks, _, _, _ := r.node.instance.InFlight(); return tasks == 1 })
	_, _ = io.WriteString(d, text)
	require.Equal(t, 400, d.read().status)
	goOn <- true
	got := c.read()
	require.Equal(t, 200, got.status)
	require.Equal(t, "for "+id, got.body)
	_, _ = io.WriteString(c, text)
	goOn <- true
	require.Equal(t, 200, c.read().status, "once it is answered the id is free")
}

func TestSilentConnectionsMakeRoomForThoseThatAsk(t *testing.T) {
	r := startNode(t, newFakeHost(t, "a", respondOK))
	for range 2 * r.node.config.Router.Downstream.MaxConnections {
		r.client()
	}
	r.eventually(func() bool { got, _ := r.request("GET", "quote", ""); return got.status == 200 })
	_, guests, _, _ := r.node.instance.InFlight()
	require.LessOrEqual(t, guests, r.node.config.Router.Downstream.MaxConnections)
}

// What a host's answer means for a task that must not run twice: only what surely never ran goes to another host.
func TestWhatHostsSayOfABindingTask(t *testing.T) {
	id := func(r *http.Request) string { return "for " + r.Header.Get("Request-Id") }
	for name, x := range map[string]struct {
		serve  func(net.Conn, *http.Request) bool
		status int // of the answer; 200 is the other host's, or this one's where it is right
		again  bool
	}{
		"turned away by 503": {func(c net.Conn, _ *http.Request) bool { respond(c, 503, "", "Not-Started: 1"); return true }, 200, true},
		"turned away by 504": {func(c net.Conn, _ *http.Request) bool { respond(c, 504, "", "Not-Started: 1"); return true }, 200, true},
		"503 alone":          {func(c net.Conn, _ *http.Request) bool { respond(c, 503, ""); return true }, 502, false},
		"500 that claims so": {func(c net.Conn, _ *http.Request) bool { respond(c, 500, "", "Not-Started: 1"); return true }, 502, false},
		"404":                {func(c net.Conn, _ *http.Request) bool { respond(c, 404, "x"); return true }, 502, false},
		"cut":                {func(net.Conn, *http.Request) bool { return false }, 502, false},
		"cut in the answer": {func(c net.Conn, _ *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			return false
		}, 502, false},
		"no length":         {func(c net.Conn, r *http.Request) bool { fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n", id(r)); return false }, 502, false},
		"noise":             {func(c net.Conn, _ *http.Request) bool { fmt.Fprint(c, "\x00\x01zzz\r\n\r\n"); return true }, 502, false},
		"noise like a head": {func(c net.Conn, _ *http.Request) bool { fmt.Fprint(c, "HTTP/1.1 2zz\r\n\r\n"); return true }, 502, false},
		"a head without end": {func(c net.Conn, _ *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 40<<10))
			return true
		}, 502, false},
		"3 GB": {func(c net.Conn, _ *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxx")
			return true
		}, 502, false},
		"silence": {func(net.Conn, *http.Request) bool { return true }, 504, false},
		"1xx in front": {func(c net.Conn, r *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n")
			respond(c, 200, id(r))
			return true
		}, 200, false},
		"an odd load report": {func(c net.Conn, r *http.Request) bool {
			respond(c, 200, id(r), "Server-Load: active=lots,,")
			return true
		}, 200, false},
		"more than its answer": {func(c net.Conn, r *http.Request) bool { respond(c, 200, id(r)); respond(c, 200, "again"); return true }, 200, false},
		"noise behind":         {func(c net.Conn, r *http.Request) bool { respond(c, 200, id(r)); fmt.Fprint(c, "zzz"); return true }, 200, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var once sync.Once
			first := make(chan string, 1)
			serve := func(c net.Conn, q *http.Request, b []byte) bool {
				if q.Method != "POST" {
					return respondOK(c, q, b)
				}
				strange := false
				once.Do(func() { strange = true; first <- q.Header.Get("Request-Id") })
				if strange {
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
			sends := a.requests.Load() + b.requests.Load() - before
			require.Equal(t, map[bool]int64{false: 1, true: 2}[x.again], sends)
			for range 4 { // whatever came behind is nobody's answer
				got, id := r.request("GET", "quote", "")
				require.Equal(t, 200, got.status)
				require.Equal(t, "for "+id, got.body)
			}
		})
	}
}

// Where no two sends of a task may be out at once, a host has been told that one was given up before another comes.
func TestASendIsGivenUpBeforeTheNextOneLeaves(t *testing.T) {
	var mu sync.Mutex
	var silent net.Conn
	var silentTask string
	odd := make(chan string, 100)
	serve := func(c net.Conn, q *http.Request, b []byte) bool {
		id := q.Header.Get("Request-Id")
		mu.Lock()
		defer mu.Unlock()
		switch {
		case q.URL.Query().Get("x") == "1" && silent == nil && q.Header.Get("Work-Hint") == "1":
			silent, silentTask = c, id
			time.AfterFunc(5*time.Second, func() { _ = c.Close() })
			return true
		case id == silentTask:
			_ = silent.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			if _, err := silent.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
				odd <- fmt.Sprint("the first send's connection is still open: ", err)
			}
			silent, silentTask = nil, ""
		}
		return respondOK(c, q, b)
	}
	r := startNode(t, newFakeHost(t, "a", serve), newFakeHost(t, "b", serve))
	for range 5 {
		got, id := r.request("GET", "quote", "Work-Hint: 1")
		require.Equal(t, 200, got.status)
		require.Equal(t, "for "+id, got.body)
	}
	require.Empty(t, odd)
}

func TestAnAnswerCutAtAnyByteIsAnHonestFailure(t *testing.T) {
	var mu sync.Mutex
	at, sends := 0, 0
	serve := func(c net.Conn, q *http.Request, b []byte) bool {
		if q.Method == "GET" {
			return respondOK(c, q, b)
		}
		text := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
		mu.Lock()
		defer mu.Unlock()
		sends++
		_, _ = io.WriteString(c, text[:min(at, len(text))])
		return at >= len(text)
	}
	r := startNode(t, newFakeHost(t, "a", serve))
	for at < 42 {
		got, _ := r.request("POST", "pay", "")
		require.Equal(t, 502, got.status, "cut at byte %d", at)
		mu.Lock()
		at++
		require.Equal(t, at, sends, "a binding task that may have run is not sent again")
		mu.Unlock()
	}
	got, _ := r.request("POST", "pay", "")
	require.Equal(t, 200, got.status)
	require.Equal(t, "body", got.body)
}

func TestWhatTheFileLeavesOutIsTakenFromTheEnvironment(t *testing.T) {
	t.Setenv("EDGE_NAME", "n7")
	t.Setenv("EDGE_LISTEN", "127.0.0.1:9001")
	b := configJSON("127.0.0.1:1", "127.0.0.1:2")
	delete(b, "name")
	p := parseConfig(t, b)
	require.Equal(t, "n7", p.Router.Name)
	require.Equal(t, "127.0.0.1:0", p.Router.Listen, "the file goes first")
}

func TestATurnBackNamesATimeToComeBack(t *testing.T) {
	m := newFakeHost(t, "a", func(c net.Conn, r *http.Request, b []byte) bool {
		if r.Method == "POST" {
			respond(c, 503, "", "Not-Started: 1")
			return true
		}
		return respondOK(c, r, b)
	})
	r := startNode(t, m)
	got, _ := r.request("POST", "pay", "")
	require.Equal(t, 503, got.status)
	require.Regexp(t, `^\d+\.\d+$`, got.Get("Retry-After"))
}

func TestOtherAddressesAreGoneOverToWithoutATaskLost(t *testing.T) {
	m := newFakeHost(t, "a", respondOK)
	r := startNode(t, m)
	next := newFakePlatform(t, m.entry())
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
				t.Errorf("answered with %d", got.status)
			}
			n++
		}
	}()
	b := configJSON(next.address(), next.address())
	b["seed"] = "1"
	require.NoError(t, r.node.Reload(parseConfig(t, b)))
	r.eventually(func() bool { return next.streams.Load() == 2 })
	r.platform.CloseClientConnections()
	next.changes <- `{"revision":3,"complete":false,"members":[` + strings.Replace(m.entry(), `"a"`, `"b"`, 1) + `]}`
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

func TestAPlannedEndServesWhatStillComesAndAnswersAllItHolds(t *testing.T) {
	goOn := make(chan bool)
	m := newFakeHost(t, "a", respondWhenReleased(goOn))
	r := startNode(t, m)
	held, kept := r.client(), r.client()
	text, _ := requestText("POST", "order", "Idempotency-Key: k")
	_, _ = io.WriteString(held, text)
	r.eventually(func() bool { tasks, _, _, _ := r.node.instance.InFlight(); return tasks == 1 })
	ended := make(chan int)
	n := r.node
	r.node = nil
	n.instance.Bow(time.Minute)
	text, _ = requestText("GET", "quote")
	_, _ = io.WriteString(kept, text)
	got := kept.read()
	require.Equal(t, 200, got.status, "a connection that was there before is served")
	require.True(t, got.closes)
	c, err := net.Dial("tcp", n.instance.Address().String())
	require.NoError(t, err, "new ones still come")
	_ = c.Close()
	go func() { ended <- n.Shutdown(nil) }()
	close(goOn)
	require.Equal(t, 200, held.read().status)
	require.Zero(t, <-ended)
}

func TestAConfigurationThatCanNotBeSaysWhatAndWhere(t *testing.T) {
	read := func(text string) error {
		file := filepath.Join(t.TempDir(), "config.json")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		_, err := Read(file)
		require.ErrorContains(t, err, file)
		return err
	}
	require.ErrorContains(t, read(`{"name":"n0",`), "byte")
	require.Error(t, read(`[]`))
	for where, change := range map[string]func(map[string]any){
		"name":                func(b map[string]any) { b["name"] = "" },
		"listen":              func(b map[string]any) { b["listen"] = "here" },
		"discovery":           func(b map[string]any) { b["discovery"] = "127.0.0.1" },
		"platform.address":    func(b map[string]any) { b["platform"].(map[string]any)["address"] = "127.0.0.1:0" },
		"platform.news":       func(b map[string]any) { b["platform"].(map[string]any)["news"] = map[string]any{"release": 1} },
		"seed":                func(b map[string]any) { b["seed"] = "zz" },
		"limits":              func(b map[string]any) { b["limits"] = map[string]any{"cores": 0.5} },
		"known: members[0]":   func(b map[string]any) { b["known"] = map[string]any{"members": []any{map[string]any{"id": "a"}}} },
		"settings":            func(b map[string]any) { b["settings"] = []any{1} },
		"settings.Categories": func(b map[string]any) { b["settings"].(map[string]any)["Categories"] = []any{} },
		"settings.MyZone":     func(b map[string]any) { delete(b["settings"].(map[string]any), "MyZone") },
		"settings.Rank":       func(b map[string]any) { b["settings"].(map[string]any)["Rank"] = 7 },
	} {
		b := configJSON("127.0.0.1:1", "127.0.0.1:2")
		change(b)
		require.ErrorContains(t, read(encode(t, b)), where)
	}
	p := parseConfig(t, configJSON("127.0.0.1:1", "127.0.0.1:2"))
	p.Router.Listen = "127.0.0.1:99999"
	_, err := Start(p, slog.New(slog.DiscardHandler))
	require.Error(t, err)
}

// gatedServer is a service that accepts connections and says nothing until it is told to go on.
type gatedServer struct {
	net.Listener
	responses chan string // what to do with the connection that came next
}

func newGatedServer(t *testing.T) *gatedServer {
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

// A router is ready once it has asked for its list and its feed and has been answered, or has failed to be.
func TestReadyAfterTheFirstAttemptAtListAndFeed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	for name, say := range map[string][2]string{
		"both tell":  {head + `{"revision":2,"complete":true,"members":[]}`, head + `{"type":"stage","object":` + releaseStatus + "}"},
		"both fail":  {"", ""},
		"list is up": {head + `{"revision":2,"complete":true,"members":[]}`, ""},
	} {
		t.Run(name, func(t *testing.T) {
			list, feed := newGatedServer(t), newGatedServer(t)
			n, err := Start(parseConfig(t, configJSON(list.Addr().String(), feed.Addr().String())), slog.New(slog.DiscardHandler))
			require.NoError(t, err)
			r := &fixture{T: t, node: n}
			t.Cleanup(n.Close)
			require.Equal(t, 503, r.readiness(), "neither has been heard of")
			list.responses <- say[0]
			r.eventually(func() bool { return n.watch.Attempted() })
			require.Equal(t, 503, r.readiness(), "nothing of the feed")
			feed.responses <- say[1]
			r.eventually(func() bool { return r.readiness() == 200 })
			n.instance.Bow(time.Minute)
			require.Equal(t, 503, r.readiness(), "no more once it ends")
		})
	}
}

// settingsAt is a part of a configuration's settings, by its path.
func settingsAt(b map[string]any, path ...string) map[string]any {
	at := b["settings"].(map[string]any)
	for _, p := range path {
		at = at[p].(map[string]any)
	}
	return at
}

func classSettings(b map[string]any, n int) map[string]any {
	return settingsAt(b)["Categories"].([]any)[n].(map[string]any)
}

func TestSettingsThatCanNotBeAreRefusedByName(t *testing.T) {
	for where, change := range map[string]func(map[string]any){
		"settings.Obligations.DrainGraceUs: a number":      func(b map[string]any) { settingsAt(b, "Obligations")["DrainGraceUs"] = -1 },
		"settings.Obligations.DrainGraceUs: missing":       func(b map[string]any) { delete(settingsAt(b, "Obligations"), "DrainGraceUs") },
		"settings.Obligations.StartCapacity":               func(b map[string]any) { settingsAt(b, "Obligations")["StartCapacity"] = 1.5 },
		"settings.Obligations.AskWithinUs":                 func(b map[string]any) { settingsAt(b, "Obligations")["AskWithinUs"] = "soon" },
		"settings.Permissions.MaxAttempts":                 func(b map[string]any) { settingsAt(b, "Permissions")["MaxAttempts"] = 0 },
		"settings.Permissions.ConnIdleUs":                  func(b map[string]any) { settingsAt(b, "Permissions")["ConnIdleUs"] = 1e13 },
		"settings.Permissions.RetryAfter":                  func(b map[string]any) { settingsAt(b, "Permissions")["RetryAfter"] = "perhaps" },
		"settings.RegistryMode":                            func(b map[string]any) { settingsAt(b)["RegistryMode"] = "guessed" },
		"settings.Balancers":                               func(b map[string]any) { settingsAt(b)["Balancers"] = 2.5 },
		"settings.Extra.StageCap.1":                        func(b map[string]any) { settingsAt(b, "Extra")["StageCap"] = []float64{0.1, 2} },
		"settings.Extra.Control":                           func(b map[string]any) { settingsAt(b, "Extra")["Control"] = "whim" },
		"settings.Categories.1.Semantics":                  func(b map[string]any) { classSettings(b, 1)["Semantics"] = "sometimes" },
		"settings.Categories.1.DedupScope":                 func(b map[string]any) { delete(classSettings(b, 1), "DedupScope") },
		"settings.Categories.1.WindowUs: missing":          func(b map[string]any) { delete(classSettings(b, 1), "WindowUs") },
		"settings.Categories.2.DeadlineUs":                 func(b map[string]any) { classSettings(b, 2)["DeadlineUs"] = 0 },
		"settings.Categories.0.AimUs: missing":             func(b map[string]any) { delete(classSettings(b, 0), "AimUs") },
		`settings.Categories.2.Name: "quote" stands twice`: func(b map[string]any) { classSettings(b, 2)["Name"] = "quote" },
		"settings.Parties.0.QuotaPerS": func(b map[string]any) {
			settingsAt(b)["Parties"] = []any{map[string]any{"Name": "a", "QuotaPerS": -3}}
		},
	} {
		b := configJSON("127.0.0.1:1", "127.0.0.1:2")
		change(b)
		_, err := parse([]byte(encode(t, b)))
		require.ErrorContains(t, err, where)
	}
	b := configJSON("127.0.0.1:1", "127.0.0.1:2")
	classSettings(b, 0)["AimUs"], classSettings(b, 1)["AimUs"] = -1, "x"
	_, err := parse([]byte(encode(t, b)))
	require.ErrorContains(t, err, "settings.Categories.0.AimUs")
	require.ErrorContains(t, err, "settings.Categories.1.AimUs", "all at once")
}

// Other customers: one class or a dozen, tenants, lists that are pushed, and things allowed that this protocol has not.
func TestSettingsOfOtherCustomersAreServedBy(t *testing.T) {
	for name, change := range map[string]func(map[string]any){
		"one class": func(b map[string]any) { settingsAt(b)["Categories"] = settingsAt(b)["Categories"].([]any)[:1] },
		"a dozen": func(b map[string]any) {
			all := settingsAt(b)["Categories"].([]any)
			for n := range 9 {
				c := maps.Clone(all[n%3].(map[string]any))
				c["Name"] = fmt.Sprint("more-", n)
				all = append(all, c)
			}
			settingsAt(b)["Categories"] = all
		},
		"tenants": func(b map[string]any) {
			settingsAt(b)["Parties"] = []any{map[string]any{"Name": "a", "QuotaPerS": 5}, map[string]any{"Name": "b", "QuotaPerS": 7.5}}
		},
		"pushed": func(b map[string]any) { settingsAt(b)["RegistryMode"] = "pushed" },
		"peers and probes": func(b map[string]any) {
			settingsAt(b, "Permissions")["Peers"], settingsAt(b, "Permissions")["Probes"] = true, true
		},
		"counts": func(b map[string]any) {
			settingsAt(b, "Extra")["MetricsPeriodUs"], settingsAt(b, "Extra")["SampledShare"] = 1000000, 0.5
		},
		"no load report":      func(b map[string]any) { settingsAt(b)["Report"] = map[string]any{"Fields": []string{}, "How": "off"} },
		"second copies":       func(b map[string]any) { settingsAt(b, "Permissions")["SecondCopies"] = true },
		"small limits":        func(b map[string]any) { b["limits"] = map[string]any{"cores": 0.1, "memory_mb": 24, "sockets": 64} },
		"no releases by vote": func(b map[string]any) { settingsAt(b)["Extra"] = map[string]any{} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newFakeHost(t, "a", respondOK)
			at := newFakePlatform(t, m.entry())
			b := configJSON(at.address(), at.address())
			change(b)
			p := parseConfig(t, b)
			require.False(t, p.Router.Router.Limits.HealthChecks || p.Router.Router.Limits.MaxGossipBytes > 0 || p.Router.Router.Release.SampledShare > 0,
				"no wait for what the protocol has not")
			n, err := Start(p, slog.New(slog.DiscardHandler))
			require.NoError(t, err)
			t.Cleanup(n.Close)
			r := &fixture{T: t, node: n, platform: at}
			r.eventually(func() bool { got, _ := r.request("GET", "quote", ""); return got.status == 200 })
		})
	}
}

// A change that a running router can't make is refused whole, by name, and the addresses of that file are not gone over to.
func TestAChangeThatCanNotBeIsRefusedWhole(t *testing.T) {
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
		b := configJSON(next.address(), next.address())
		change(b)
		require.ErrorContains(t, r.node.Reload(parseConfig(t, b)), where)
	}
	require.Equal(t, r.platform.address(), r.node.watch.Address())
	require.Zero(t, next.streams.Load())
	b := configJSON(r.platform.address(), r.platform.address()) // what may change does
	settingsAt(b, "Obligations")["DrainGraceUs"], classSettings(b, 0)["AimUs"] = 500000, 200000
	require.NoError(t, r.node.Reload(parseConfig(t, b)))
	got, _ := r.request("GET", "quote", "")
	require.Equal(t, 200, got.status)
}

// A router that is told to end twice, or to read its file anew meanwhile, answers what it holds all the same.
func TestSignalsWhileTheRouterEndsCutNothingOff(t *testing.T) {
	goOn := make(chan bool)
	m := newFakeHost(t, "a", respondWhenReleased(goOn))
	at := newFakePlatform(t, m.entry())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := configJSON(at.address(), at.address())
	b["listen"] = l.Addr().String()
	_ = l.Close()
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, []byte(encode(t, b)), 0o600))
	end, reload, ended := make(chan os.Signal), make(chan os.Signal), make(chan int, 1)
	go func() {
		left, err := Run(file, slog.New(slog.DiscardHandler), end, reload)
		if err != nil {
			left = -1
		}
		ended <- left
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
	reload <- syscall.SIGHUP // changes nothing
	held := dial()
	text, id := requestText("POST", "order", "Idempotency-Key: k")
	_, _ = io.WriteString(held, text)
	for q := range m.received {
		if q.Header.Get("Request-Id") == id {
			break
		}
	}
	end <- syscall.SIGTERM
	end <- syscall.SIGTERM
	reload <- syscall.SIGHUP
	end <- syscall.SIGTERM
	goOn <- true
	got := (&client{held, bufio.NewReader(held)}).read()
	require.Equal(t, 200, got.status)
	require.Equal(t, "for "+id, got.body)
	require.True(t, got.closes)
	require.Zero(t, <-ended)
}
