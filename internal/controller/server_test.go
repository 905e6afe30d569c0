package controller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/control"
	"dapplefront/internal/api"
	"dapplefront/policy"
	"dapplefront/release"
)

var testConfig = control.Config{Rules: release.Rules{Mode: policy.Quorum, Stages: []release.Stage{{HostShare: .1, ExposureCap: .05}, {HostShare: .5, ExposureCap: .5}},
	MinStageTime: policy.Second / 20, VoteTTL: 10 * policy.Second, PromoteQuorum: 1, RollbackQuorum: 1}, RouterTimeout: 5 * policy.Second}

// cluster is a group of instances on loopback.
type cluster struct {
	t       *testing.T
	mu      sync.Mutex
	dirs    []string
	nodes   []*Node
	servers []*Server
	urls    []string
}

func startCluster(t *testing.T, n int) *cluster {
	t.Helper()
	g := &cluster{t: t}
	for i := range n {
		g.dirs = append(g.dirs, t.TempDir())
		g.nodes, g.servers, g.urls = append(g.nodes, nil), append(g.servers, nil), append(g.urls, "127.0.0.1:0")
		g.open(i, "127.0.0.1:0", "127.0.0.1:0")
		if i > 0 {
			require.Eventually(t, func() bool { return g.nodes[0].AddMember(g.name(i), g.nodes[i].Address()) == nil }, 10*time.Second, 20*time.Millisecond)
		} else {
			g.leader()
		}
	}
	t.Cleanup(g.close)
	require.Eventually(t, func() bool {
		known := 0
		g.nodes[0].Read(func(s *control.State, _ policy.Time) { known = len(s.ControllerURLs()) })
		return known == n
	}, 20*time.Second, 10*time.Millisecond)
	return g
}

func (g *cluster) name(i int) string { return fmt.Sprintf("c%d", i+1) }

func (g *cluster) open(i int, raftAt, restAt string) {
	n, err := Open(NodeConfig{Name: g.name(i), Dir: g.dirs[i], Listen: raftAt, Bootstrap: i == 0, FastElections: true, Control: testConfig, InitialBuild: 1}, slog.New(slog.DiscardHandler))
	require.NoError(g.t, err)
	s, err := Serve(n, ServerConfig{Listen: restAt, VotesPerSecond: 1000, BookmarkInterval: 50 * time.Millisecond}, slog.New(slog.DiscardHandler))
	require.NoError(g.t, err)
	g.mu.Lock()
	g.nodes[i], g.servers[i], g.urls[i] = n, s, s.URL()
	g.mu.Unlock()
}

// stop closes an instance. restart opens it again at the same addresses, with its old store.
func (g *cluster) stop(i int) (restart func()) {
	g.mu.Lock()
	n, s := g.nodes[i], g.servers[i]
	g.nodes[i], g.servers[i] = nil, nil
	g.mu.Unlock()
	at, rest := n.Address(), strings.TrimPrefix(s.URL(), "http://")
	s.Close()
	require.NoError(g.t, n.Close())
	return func() { g.open(i, at, rest) }
}

func (g *cluster) close() {
	for i := range g.nodes {
		if g.nodes[i] != nil {
			g.servers[i].Close()
			_ = g.nodes[i].Close()
		}
	}
}

// leader waits until an instance is leader and returns its index.
func (g *cluster) leader() (at int) {
	require.Eventually(g.t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		for i, n := range g.nodes {
			if n != nil {
				if leads, _ := n.IsLeader(); leads {
					at = i
					return true
				}
			}
		}
		return false
	}, 20*time.Second, 5*time.Millisecond)
	return at
}

// request sends a request to an instance and returns the status, headers and body of the response.
func request(t require.TestingT, method, url, body string, headers ...string) (int, http.Header, string) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	got, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer func() { _ = got.Body.Close() }()
	text, err := io.ReadAll(got.Body)
	require.NoError(t, err)
	return got.StatusCode, got.Header, string(text)
}

// requestWithRetry sends a request and retries it while there is no leader.
func requestWithRetry(t require.TestingT, method, url, body string, headers ...string) (int, http.Header, string) {
	for range 400 {
		status, h, text := request(t, method, url, body, headers...)
		if status != http.StatusServiceUnavailable {
			return status, h, text
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.Fail(t, "no leader", url)
	return 0, nil, ""
}

func decodeRelease(t require.TestingT, text string) (o api.ReleaseObject) {
	require.NoError(t, json.Unmarshal([]byte(text), &o), text)
	return o
}

func TestServer_RunsReleaseFromCreationToRollback(t *testing.T) {
	g := startCluster(t, 1)
	u := g.urls[0]
	status, h, text := request(t, "POST", u+"/v1/releases", `{"build":2,"labels":{"team":"pay"}}`, "Idempotency-Key", "k1")
	require.Equal(t, 201, status, text)
	require.Equal(t, "/v1/releases/2", h.Get("Location"))
	tag := h.Get("ETag")
	status, _, _ = request(t, "POST", u+"/v1/releases", `{"build":2,"labels":{"team":"pay"}}`, "Idempotency-Key", "k1")
	require.Equal(t, 200, status, "a repeated creation with the same key must return the release")
	status, _, text = request(t, "POST", u+"/v1/releases", `{"build":3}`, "Idempotency-Key", "k1")
	require.Equal(t, 409, status, text)
	status, _, text = request(t, "POST", u+"/v1/releases", `{"build":2}`)
	require.Equal(t, 409, status, text)
	require.Contains(t, text, `"field":"build"`)
	status, _, text = request(t, "POST", u+"/v1/releases", `{"build":"x"}`)
	require.Equal(t, 400, status)
	require.Contains(t, text, `"field":"build"`)
	status, _, text = request(t, "POST", u+"/v1/releases", `{"bild":3}`)
	require.Equal(t, 400, status, text)

	status, _, _ = request(t, "PATCH", u+"/v1/releases/2", `{"note":"x"}`, "If-Match", `"99"`)
	require.Equal(t, 412, status)
	status, h, text = request(t, "PATCH", u+"/v1/releases/2", `{"note":"x","labels":{"team":null,"risk":"low"}}`, "If-Match", tag)
	require.Equal(t, 200, status, text)
	require.NotEqual(t, tag, h.Get("ETag"))
	require.Equal(t, map[string]string{"risk": "low"}, decodeRelease(t, text).Labels)
	status, _, _ = request(t, "GET", u+"/v1/releases/2", "", "If-None-Match", h.Get("ETag"))
	require.Equal(t, 304, status)

	status, _, text = request(t, "PUT", u+"/v1/releases/2/votes/r1", `{"stage":1,"voice":"on"}`)
	require.Equal(t, 409, status, text)
	status, _, _ = request(t, "PUT", u+"/v1/releases/2/orders/ready", "")
	require.Equal(t, 204, status)
	for stage := range 2 {
		status, _, text = request(t, "PUT", u+"/v1/releases/2/votes/r1", fmt.Sprintf(`{"stage":%d,"voice":"on"}`, stage))
		require.Equal(t, 200, status, text)
		require.Eventually(t, func() bool {
			_, _, text = request(t, "GET", u+"/v1/releases/2?fresh=1", "")
			o := decodeRelease(t, text)
			return o.Stage == stage+1 || o.Phase == "released"
		}, 10*time.Second, 10*time.Millisecond, "the stage must be promoted without further requests once it has its votes")
		request(t, "PUT", u+"/v1/releases/2/orders/ready", "")
	}
	o := decodeRelease(t, text)
	require.Equal(t, "released", o.Phase)
	var trace []string
	for _, m := range o.History {
		trace = append(trace, m.Text)
	}
	require.Equal(t, []string{"requested", "hosts asked for: 10% of the places", "on trial, stage 0", "hosts asked for: 50% of the places",
		"on trial, stage 1", "released, stage 1"}, trace)

	status, _, text = request(t, "GET", u+"/v1/releases?phase=released&limit=1", "")
	require.Equal(t, 200, status)
	var page api.ReleaseList
	require.NoError(t, json.Unmarshal([]byte(text), &page))
	require.Equal(t, 1, page.Next)
	_, _, text = request(t, "GET", u+"/v1/releases?phase=released&limit=1&after=1", "")
	page = api.ReleaseList{}
	require.NoError(t, json.Unmarshal([]byte(text), &page))
	require.Equal(t, 2, page.Releases[0].Build)
	require.Zero(t, page.Next)
	_, _, text = request(t, "GET", u+"/v1/releases?label=risk=low", "")
	require.Contains(t, text, `"build":2`)
	require.NotContains(t, text, `"build":1`)

	status, _, _ = request(t, "DELETE", u+"/v1/releases/2", "")
	require.Equal(t, 409, status, "the release of a build that serves must not be deleted")
	status, _, text = request(t, "POST", u+"/v1/releases/2/withdraw", "")
	require.Equal(t, 200, status, text)
	require.Equal(t, "going-back", decodeRelease(t, text).Phase)
	request(t, "PUT", u+"/v1/releases/2/orders/gone", "")
	_, _, text = request(t, "GET", u+"/v1/releases/2", "")
	require.Equal(t, "withdrawn", decodeRelease(t, text).Phase)
	status, _, _ = request(t, "GET", u+"/v1/releases/9", "")
	require.Equal(t, 404, status)
}

func TestServer_DelaysStageUntilItsStepsAreDoneAndRejectsRollbackAfterIrreversibleStep(t *testing.T) {
	g := startCluster(t, 1)
	u := g.urls[0]
	w := followWatch(t, u+"/v1/watch", "")
	status, _, text := request(t, "POST", u+"/v1/releases", `{"build":2,"steps":[{"name":"add-column","stage":0,"withinMs":50},{"name":"fill","stage":0},{"name":"drop","stage":1,"final":true}]}`)
	require.Equal(t, 201, status, text)
	require.Equal(t, "add-column", decodeRelease(t, text).WaitsFor)
	require.Eventually(t, func() bool {
		_, _, text = request(t, "GET", u+"/v1/releases/2", "")
		return decodeRelease(t, text).Steps[0].State == "stalled"
	}, 10*time.Second, 10*time.Millisecond)
	status, _, text = request(t, "PUT", u+"/v1/releases/2/steps/fill", `{}`)
	require.Equal(t, 409, status)
	require.Contains(t, text, "add-column comes before it")
	for range 2 { // the repeated report has no effect
		status, _, _ = request(t, "PUT", u+"/v1/releases/2/steps/add-column", `{"by":"worker-1"}`)
		require.Equal(t, 200, status)
	}
	require.Zero(t, w.count("place"), "the build must not be deployed before its steps are done")
	status, _, text = request(t, "PUT", u+"/v1/releases/2/steps/drop", `{}`)
	require.Equal(t, 409, status)
	status, _, text = request(t, "PUT", u+"/v1/releases/2/steps/fill", `{}`)
	require.Equal(t, 200, status, text)
	require.Eventually(t, func() bool { return w.count("place") == 1 }, 10*time.Second, 5*time.Millisecond)
	request(t, "PUT", u+"/v1/releases/2/orders/ready", "")
	request(t, "PUT", u+"/v1/releases/2/votes/r1", `{"stage":0,"voice":"on"}`)
	require.Eventually(t, func() bool {
		_, _, text = request(t, "GET", u+"/v1/releases/2", "")
		return decodeRelease(t, text).WaitsFor == "drop"
	}, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, 1, w.count("place"))
	status, _, text = request(t, "PUT", u+"/v1/releases/2/steps/drop", `{"by":"worker-2"}`)
	require.Equal(t, 200, status, text)
	status, _, text = request(t, "POST", u+"/v1/releases/2/withdraw", "")
	require.Equal(t, 409, status)
	require.Contains(t, text, "can't be undone")
	status, _, text = request(t, "PUT", u+"/v1/releases/2/votes/r1", `{"stage":1,"voice":"back"}`)
	require.Equal(t, 409, status)
	require.Contains(t, text, "can't be undone")
	status, _, text = request(t, "POST", u+"/v1/releases", `{"build":3}`)
	require.Equal(t, 409, status, text)
}

// watchReader reads the events of a watch in the background.
type watchReader struct {
	mu    sync.Mutex
	ids   []string
	kinds []string
	data  []string
	stop  func()
	done  chan struct{}
}

func followWatch(t *testing.T, url, after string) *watchReader {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	require.NoError(t, err)
	if after != "" {
		r.Header.Set("Last-Event-ID", after)
	}
	got, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.Equal(t, 200, got.StatusCode)
	t.Cleanup(func() { _ = got.Body.Close() })
	w := &watchReader{stop: cancel, done: make(chan struct{})}
	t.Cleanup(cancel)
	go func() {
		defer close(w.done)
		in := bufio.NewScanner(got.Body)
		in.Buffer(nil, 1<<20)
		id, kind := "", ""
		for in.Scan() {
			name, value, _ := strings.Cut(in.Text(), ": ")
			switch name {
			case "id":
				id = value
			case "event":
				kind = value
			case "data":
				w.mu.Lock()
				w.ids, w.kinds, w.data = append(w.ids, id), append(w.kinds, kind), append(w.data, value)
				w.mu.Unlock()
			}
		}
	}()
	return w
}

func (w *watchReader) count(kind string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.kinds {
		if k == kind {
			n++
		}
	}
	return n
}

// eventsOf returns the events of a kind, each as "id data".
func (w *watchReader) eventsOf(kind string) (out []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, k := range w.kinds {
		if k == kind {
			out = append(out, w.ids[i]+" "+w.data[i])
		}
	}
	return out
}

func TestWatch_ResumesOnAnotherInstanceWithoutGapsOrDuplicates(t *testing.T) {
	g := startCluster(t, 3)
	uninterrupted := followWatch(t, g.urls[0]+"/v1/watch", "")
	var seen []string
	at := 1
	w := followWatch(t, g.urls[at]+"/v1/watch", "")
	emit := func(i int) {
		status, _, text := requestWithRetry(t, "POST", g.urls[i%3]+"/v1/counts", fmt.Sprintf(`{"build":1,"category":"c","bad":0,"samples":%d,"meanMs":0,"ageMs":0}`, i))
		require.Equal(t, 202, status, text)
	}
	for i := range 60 {
		emit(i)
		if i%7 == 6 { // end the watch and resume it on another instance
			require.Eventually(t, func() bool { return w.count("counts") > 0 }, 10*time.Second, time.Millisecond)
			w.stop()
			<-w.done
			seen = append(seen, w.eventsOf("counts")...)
			w.mu.Lock()
			last := w.ids[len(w.ids)-1]
			w.mu.Unlock()
			at = (at + 1) % 3
			w = followWatch(t, g.urls[at]+"/v1/watch", last)
		}
	}
	samples := func(all []string) (out []string) {
		for _, x := range all {
			id, data, _ := strings.Cut(x, " ")
			var c api.Counts
			require.NoError(t, json.Unmarshal([]byte(data), &c))
			out = append(out, fmt.Sprint(id, ":", c.Samples))
		}
		return out
	}
	require.Eventually(t, func() bool { return len(seen)+w.count("counts") >= 60 && uninterrupted.count("counts") >= 60 }, 20*time.Second, 5*time.Millisecond)
	require.Equal(t, samples(uninterrupted.eventsOf("counts")), samples(append(seen, w.eventsOf("counts")...)))
}

func TestWatch_ReturnsGoneIfEventsWereDropped(t *testing.T) {
	original := testConfig
	testConfig.MaxEvents = 20
	defer func() { testConfig = original }()
	g := startCluster(t, 1)
	for i := range 60 {
		request(t, "POST", g.urls[0]+"/v1/counts", fmt.Sprintf(`{"build":1,"category":"c","bad":0,"samples":%d,"meanMs":0,"ageMs":0}`, i))
	}
	status, h, text := request(t, "GET", g.urls[0]+"/v1/watch", "", "Last-Event-ID", "1")
	require.Equal(t, 410, status, text)
	require.NotEmpty(t, h.Get("Dapplefront-Oldest"))
	status, _, _ = request(t, "GET", g.urls[0]+"/v1/watch", "", "Last-Event-ID", "x")
	require.Equal(t, 400, status)
}

func TestCluster_KeepsAcceptedChangesWhenLeadersStop(t *testing.T) {
	g := startCluster(t, 3)
	accepted := map[int]string{}
	for n := range 12 {
		build := n + 2
		at := g.leader()
		status, h, text := requestWithRetry(t, "POST", g.urls[(at+n)%3]+"/v1/releases", fmt.Sprintf(`{"build":%d}`, build), "Idempotency-Key", fmt.Sprint("k", n))
		if status == http.StatusGatewayTimeout { // indeterminate: retried with the same key
			status, h, text = requestWithRetry(t, "POST", g.urls[(at+n)%3]+"/v1/releases", fmt.Sprintf(`{"build":%d}`, build), "Idempotency-Key", fmt.Sprint("k", n))
		}
		require.Contains(t, []int{200, 201}, status, text)
		accepted[build] = h.Get("ETag")
		if n%3 == 1 { // stop the leader; the others go on, and it restarts with its old store
			at = g.leader()
			restart := g.stop(at)
			next := g.leader()
			require.NotEqual(t, at, next)
			status, _, text = requestWithRetry(t, "PATCH", g.urls[next]+fmt.Sprintf("/v1/releases/%d", build), `{"note":"while one is away"}`)
			require.Equal(t, 200, status, text)
			restart()
		}
	}
	at := g.leader()
	_, _, text := requestWithRetry(t, "GET", g.urls[at]+"/v1/releases?fresh=1", "")
	var all api.ReleaseList
	require.NoError(t, json.Unmarshal([]byte(text), &all))
	require.Len(t, all.Releases, 13)
	for i := range g.nodes { // all instances must reach the same state
		require.Eventually(t, func() bool {
			_, _, x := request(t, "GET", g.urls[i]+"/v1/releases/13", "")
			return decodeRelease(t, x).Build == 13
		}, 10*time.Second, 10*time.Millisecond)
	}
}

func TestCluster_RejectsChangesAndServesReadsWithoutMajority(t *testing.T) {
	g := startCluster(t, 3)
	at := g.leader()
	var restarts []func()
	for i := range 3 {
		if i != at {
			restarts = append(restarts, g.stop(i))
		}
	}
	require.Eventually(t, func() bool {
		status, h, _ := request(t, "POST", g.urls[at]+"/v1/releases", `{"build":2}`)
		return status == 503 && h.Get("Retry-After") == "1"
	}, 10*time.Second, 20*time.Millisecond)
	status, _, text := request(t, "GET", g.urls[at]+"/v1/releases/1", "")
	require.Equal(t, 200, status, "reads of the local state must still work")
	require.Equal(t, "released", decodeRelease(t, text).Phase)
	status, _, _ = request(t, "GET", g.urls[at]+"/v1/releases/1?fresh=1", "")
	require.Equal(t, 503, status)
	for _, restart := range restarts {
		restart()
	}
	status, _, text = requestWithRetry(t, "POST", g.urls[at]+"/v1/releases", `{"build":2}`)
	require.Contains(t, []int{201, 409}, status, text) // 409 if an earlier attempt was applied after all
}

func TestServer_CountsWatchingRoutersAsMembers(t *testing.T) {
	original := testConfig
	testConfig.PromoteShare, testConfig.RouterTimeout = .5, policy.Second
	defer func() { testConfig = original }()
	g := startCluster(t, 1)
	u := g.urls[0]
	var routers []*watchReader
	for i := range 4 {
		routers = append(routers, followWatch(t, fmt.Sprintf("%s/v1/watch?router=r%d", u, i), ""))
	}
	request(t, "POST", u+"/v1/releases", `{"build":2}`)
	awaitQuorum := func(n int) {
		require.Eventually(t, func() bool {
			_, _, text := request(t, "GET", u+"/v1/releases/2", "")
			return decodeRelease(t, text).Votes.PromoteQuorum == n
		}, 10*time.Second, 10*time.Millisecond, "the promote quorum must become %d", n)
	}
	awaitQuorum(2)
	routers[3].stop()
	routers[2].stop()
	awaitQuorum(1)
	status, _, _ := request(t, "DELETE", u+"/v1/routers/r1", "")
	require.Equal(t, 204, status)
}

func TestStore_ExportsAndImportsStateAndRejectsDamage(t *testing.T) {
	g := startCluster(t, 1)
	for i := range 20 {
		request(t, "PATCH", g.urls[0]+"/v1/releases/1", fmt.Sprintf(`{"note":"%d"}`, i))
	}
	g.stop(0)
	require.NoError(t, CheckStore(g.dirs[0], testConfig))
	var out bytes.Buffer
	require.NoError(t, Export(g.dirs[0], testConfig, &out))
	require.Contains(t, out.String(), `"note":"19"`)

	other := t.TempDir() + "/new"
	require.NoError(t, Import(NodeConfig{Name: "c1", Dir: other, Listen: "127.0.0.1:0", Control: testConfig}, bytes.NewReader(out.Bytes())))
	require.NoError(t, CheckStore(other, testConfig))
	require.ErrorContains(t, Import(NodeConfig{Name: "c1", Dir: other, Control: testConfig}, bytes.NewReader(out.Bytes())), "not empty")
	newer := strings.Replace(out.String(), `"format":2`, `"format":3`, 1)
	require.ErrorContains(t, Import(NodeConfig{Name: "c1", Dir: t.TempDir() + "/x", Control: testConfig}, strings.NewReader(newer)), "newer than this program's 2")
	older := strings.Replace(out.String(), `"format":2`, `"format":1`, 1)
	require.NoError(t, Import(NodeConfig{Name: "c1", Dir: t.TempDir() + "/y", Control: testConfig}, strings.NewReader(older)))

	corruptPages(t, g.dirs[0]+"/log.db")
	_, err := Open(NodeConfig{Name: "c1", Dir: g.dirs[0], Listen: "127.0.0.1:0", Control: testConfig}, slog.New(slog.DiscardHandler))
	require.ErrorContains(t, err, "damaged")
}
