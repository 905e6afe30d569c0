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

var figures = control.Config{Rules: release.Rules{Mode: policy.Quorum, Stages: []release.Stage{{HostShare: .1, ExposureCap: .05}, {HostShare: .5, ExposureCap: .5}},
	MinStageTime: policy.Second / 20, VoteTTL: 10 * policy.Second, PromoteQuorum: 1, RollbackQuorum: 1}, RouterTimeout: 5 * policy.Second}

// group is some instances on loopback.
type group struct {
	t      *testing.T
	mu     sync.Mutex
	dirs   []string
	nodes  []*Node
	fronts []*Server
	urls   []string
}

func start(t *testing.T, n int) *group {
	g := &group{t: t}
	for i := range n {
		g.dirs = append(g.dirs, t.TempDir())
		g.nodes, g.fronts, g.urls = append(g.nodes, nil), append(g.fronts, nil), append(g.urls, "127.0.0.1:0")
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

func (g *group) name(i int) string { return fmt.Sprintf("c%d", i+1) }

func (g *group) open(i int, raftAt, restAt string) {
	n, err := Open(NodeConfig{Name: g.name(i), Dir: g.dirs[i], Listen: raftAt, Bootstrap: i == 0, Quick: true, Control: figures, Build: 1}, slog.New(slog.DiscardHandler))
	require.NoError(g.t, err)
	s, err := Serve(n, ServerConfig{Listen: restAt, VotesPerSecond: 1000, BookmarkInterval: 50 * time.Millisecond}, slog.New(slog.DiscardHandler))
	require.NoError(g.t, err)
	g.mu.Lock()
	g.nodes[i], g.fronts[i], g.urls[i] = n, s, s.URL()
	g.mu.Unlock()
}

// kill ends an instance; back opens it again at the same places.
func (g *group) kill(i int) (back func()) {
	g.mu.Lock()
	n, s := g.nodes[i], g.fronts[i]
	g.nodes[i], g.fronts[i] = nil, nil
	g.mu.Unlock()
	at, rest := n.Address(), strings.TrimPrefix(s.URL(), "http://")
	s.Close()
	require.NoError(g.t, n.Close())
	return func() { g.open(i, at, rest) }
}

func (g *group) close() {
	for i := range g.nodes {
		if g.nodes[i] != nil {
			g.fronts[i].Close()
			_ = g.nodes[i].Close()
		}
	}
}

// leader waits for one and returns its number.
func (g *group) leader() (at int) {
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

// call asks an instance; it returns status, headers and body.
func call(t require.TestingT, method, url, body string, headers ...string) (int, http.Header, string) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	got, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer got.Body.Close()
	text, err := io.ReadAll(got.Body)
	require.NoError(t, err)
	return got.StatusCode, got.Header, string(text)
}

// ask repeats a call while there is no leader.
func ask(t require.TestingT, method, url, body string, headers ...string) (int, http.Header, string) {
	for range 400 {
		status, h, text := call(t, method, url, body, headers...)
		if status != http.StatusServiceUnavailable {
			return status, h, text
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.Fail(t, "no leader", url)
	return 0, nil, ""
}

func object(t require.TestingT, text string) (o api.ReleaseObject) {
	require.NoError(t, json.Unmarshal([]byte(text), &o), text)
	return o
}

func TestAReleaseFromRequestToEnd(t *testing.T) {
	g := start(t, 1)
	u := g.urls[0]
	status, h, text := call(t, "POST", u+"/v1/releases", `{"build":2,"labels":{"team":"pay"}}`, "Idempotency-Key", "k1")
	require.Equal(t, 201, status, text)
	require.Equal(t, "/v1/releases/2", h.Get("Location"))
	tag := h.Get("ETag")
	status, _, _ = call(t, "POST", u+"/v1/releases", `{"build":2,"labels":{"team":"pay"}}`, "Idempotency-Key", "k1")
	require.Equal(t, 200, status, "the same creation again")
	status, _, text = call(t, "POST", u+"/v1/releases", `{"build":3}`, "Idempotency-Key", "k1")
	require.Equal(t, 409, status, text)
	status, _, text = call(t, "POST", u+"/v1/releases", `{"build":2}`)
	require.Equal(t, 409, status, text)
	require.Contains(t, text, `"field":"build"`)
	status, _, text = call(t, "POST", u+"/v1/releases", `{"build":"x"}`)
	require.Equal(t, 400, status)
	require.Contains(t, text, `"field":"build"`)
	status, _, text = call(t, "POST", u+"/v1/releases", `{"bild":3}`)
	require.Equal(t, 400, status, text)

	status, _, _ = call(t, "PATCH", u+"/v1/releases/2", `{"note":"x"}`, "If-Match", `"99"`)
	require.Equal(t, 412, status)
	status, h, text = call(t, "PATCH", u+"/v1/releases/2", `{"note":"x","labels":{"team":null,"risk":"low"}}`, "If-Match", tag)
	require.Equal(t, 200, status, text)
	require.NotEqual(t, tag, h.Get("ETag"))
	require.Equal(t, map[string]string{"risk": "low"}, object(t, text).Labels)
	status, _, _ = call(t, "GET", u+"/v1/releases/2", "", "If-None-Match", h.Get("ETag"))
	require.Equal(t, 304, status)

	status, _, text = call(t, "PUT", u+"/v1/releases/2/votes/r1", `{"stage":1,"voice":"on"}`)
	require.Equal(t, 409, status, text)
	status, _, _ = call(t, "PUT", u+"/v1/releases/2/orders/ready", "")
	require.Equal(t, 204, status)
	for stage := range 2 {
		status, _, text = call(t, "PUT", u+"/v1/releases/2/votes/r1", fmt.Sprintf(`{"stage":%d,"voice":"on"}`, stage))
		require.Equal(t, 200, status, text)
		require.Eventually(t, func() bool {
			_, _, text = call(t, "GET", u+"/v1/releases/2?fresh=1", "")
			o := object(t, text)
			return o.Stage == stage+1 || o.Phase == "released"
		}, 10*time.Second, 10*time.Millisecond, "time alone moves the stage on once its votes stand")
		call(t, "PUT", u+"/v1/releases/2/orders/ready", "")
	}
	o := object(t, text)
	require.Equal(t, "released", o.Phase)
	var trace []string
	for _, m := range o.History {
		trace = append(trace, m.Text)
	}
	require.Equal(t, []string{"requested", "hosts asked for: 10% of the places", "on trial, stage 0", "hosts asked for: 50% of the places",
		"on trial, stage 1", "released, stage 1"}, trace)

	status, _, text = call(t, "GET", u+"/v1/releases?phase=released&limit=1", "")
	require.Equal(t, 200, status)
	var page api.ReleaseList
	require.NoError(t, json.Unmarshal([]byte(text), &page))
	require.Equal(t, 1, page.Next)
	_, _, text = call(t, "GET", u+"/v1/releases?phase=released&limit=1&after=1", "")
	page = api.ReleaseList{}
	require.NoError(t, json.Unmarshal([]byte(text), &page))
	require.Equal(t, 2, page.Releases[0].Build)
	require.Zero(t, page.Next)
	_, _, text = call(t, "GET", u+"/v1/releases?label=risk=low", "")
	require.Contains(t, text, `"build":2`)
	require.NotContains(t, text, `"build":1`)

	status, _, _ = call(t, "DELETE", u+"/v1/releases/2", "")
	require.Equal(t, 409, status, "it serves")
	status, _, text = call(t, "POST", u+"/v1/releases/2/withdraw", "")
	require.Equal(t, 200, status, text)
	require.Equal(t, "going-back", object(t, text).Phase)
	call(t, "PUT", u+"/v1/releases/2/orders/gone", "")
	_, _, text = call(t, "GET", u+"/v1/releases/2", "")
	require.Equal(t, "withdrawn", object(t, text).Phase)
	status, _, _ = call(t, "GET", u+"/v1/releases/9", "")
	require.Equal(t, 404, status)
}

func TestStepsHoldAStageAndForbidTheWayBack(t *testing.T) {
	g := start(t, 1)
	u := g.urls[0]
	w := follow(t, u+"/v1/watch", "")
	status, _, text := call(t, "POST", u+"/v1/releases", `{"build":2,"steps":[{"name":"add-column","stage":0,"withinMs":50},{"name":"fill","stage":0},{"name":"drop","stage":1,"final":true}]}`)
	require.Equal(t, 201, status, text)
	require.Equal(t, "add-column", object(t, text).WaitsFor)
	require.Eventually(t, func() bool {
		_, _, text = call(t, "GET", u+"/v1/releases/2", "")
		return object(t, text).Steps[0].State == "stalled"
	}, 10*time.Second, 10*time.Millisecond)
	status, _, text = call(t, "PUT", u+"/v1/releases/2/steps/fill", `{}`)
	require.Equal(t, 409, status)
	require.Contains(t, text, "add-column comes before it")
	for range 2 { // reported twice counts once
		status, _, _ = call(t, "PUT", u+"/v1/releases/2/steps/add-column", `{"by":"worker-1"}`)
		require.Equal(t, 200, status)
	}
	require.Zero(t, w.count("place"), "no host of the build before its steps are done")
	status, _, text = call(t, "PUT", u+"/v1/releases/2/steps/drop", `{}`)
	require.Equal(t, 409, status)
	status, _, text = call(t, "PUT", u+"/v1/releases/2/steps/fill", `{}`)
	require.Equal(t, 200, status, text)
	require.Eventually(t, func() bool { return w.count("place") == 1 }, 10*time.Second, 5*time.Millisecond)
	call(t, "PUT", u+"/v1/releases/2/orders/ready", "")
	call(t, "PUT", u+"/v1/releases/2/votes/r1", `{"stage":0,"voice":"on"}`)
	require.Eventually(t, func() bool {
		_, _, text = call(t, "GET", u+"/v1/releases/2", "")
		return object(t, text).WaitsFor == "drop"
	}, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, 1, w.count("place"))
	status, _, text = call(t, "PUT", u+"/v1/releases/2/steps/drop", `{"by":"worker-2"}`)
	require.Equal(t, 200, status, text)
	status, _, text = call(t, "POST", u+"/v1/releases/2/withdraw", "")
	require.Equal(t, 409, status)
	require.Contains(t, text, "can't be undone")
	status, _, text = call(t, "PUT", u+"/v1/releases/2/votes/r1", `{"stage":1,"voice":"back"}`)
	require.Equal(t, 409, status)
	require.Contains(t, text, "can't be undone")
	status, _, text = call(t, "POST", u+"/v1/releases", `{"build":3}`)
	require.Equal(t, 409, status, text)
}

// watcher reads a watch in the background.
type watcher struct {
	mu   sync.Mutex
	ids  []string
	kind []string
	data []string
	stop func()
	end  chan struct{}
}

func follow(t *testing.T, url, after string) *watcher {
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, "GET", url, nil)
	require.NoError(t, err)
	if after != "" {
		r.Header.Set("Last-Event-ID", after)
	}
	got, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.Equal(t, 200, got.StatusCode)
	w := &watcher{stop: cancel, end: make(chan struct{})}
	t.Cleanup(cancel)
	go func() {
		defer close(w.end)
		defer got.Body.Close()
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
				w.ids, w.kind, w.data = append(w.ids, id), append(w.kind, kind), append(w.data, value)
				w.mu.Unlock()
			}
		}
	}()
	return w
}

func (w *watcher) count(kind string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.kind {
		if k == kind {
			n++
		}
	}
	return n
}

// of are the events of a kind, as id and data.
func (w *watcher) of(kind string) (out []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, k := range w.kind {
		if k == kind {
			out = append(out, w.ids[i]+" "+w.data[i])
		}
	}
	return out
}

func TestAWatchIsTakenUpAtAnotherInstanceWithoutAGapOrARepeat(t *testing.T) {
	g := start(t, 3)
	whole := follow(t, g.urls[0]+"/v1/watch", "")
	var seen []string
	last, at := "", 1
	w := follow(t, g.urls[at]+"/v1/watch", "")
	tell := func(i int) {
		status, _, text := ask(t, "POST", g.urls[i%3]+"/v1/counts", fmt.Sprintf(`{"build":1,"category":"c","bad":0,"samples":%d,"meanMs":0,"ageMs":0}`, i))
		require.Equal(t, 202, status, text)
	}
	for i := range 60 {
		tell(i)
		if i%7 == 6 { // cut, and taken up at another instance
			require.Eventually(t, func() bool { return w.count("counts") > 0 }, 10*time.Second, time.Millisecond)
			w.stop()
			<-w.end
			seen = append(seen, w.of("counts")...)
			w.mu.Lock()
			last = w.ids[len(w.ids)-1]
			w.mu.Unlock()
			at = (at + 1) % 3
			w = follow(t, g.urls[at]+"/v1/watch", last)
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
	require.Eventually(t, func() bool { return len(seen)+w.count("counts") >= 60 && whole.count("counts") >= 60 }, 20*time.Second, 5*time.Millisecond)
	require.Equal(t, samples(whole.of("counts")), samples(append(seen, w.of("counts")...)))
}

func TestEventsThatWereDroppedAreTold(t *testing.T) {
	was := figures
	figures.MaxEvents = 20
	defer func() { figures = was }()
	g := start(t, 1)
	for i := range 60 {
		call(t, "POST", g.urls[0]+"/v1/counts", fmt.Sprintf(`{"build":1,"category":"c","bad":0,"samples":%d,"meanMs":0,"ageMs":0}`, i))
	}
	status, h, text := call(t, "GET", g.urls[0]+"/v1/watch", "", "Last-Event-ID", "1")
	require.Equal(t, 410, status, text)
	require.NotEmpty(t, h.Get("Dapplefront-Oldest"))
	status, _, _ = call(t, "GET", g.urls[0]+"/v1/watch", "", "Last-Event-ID", "x")
	require.Equal(t, 400, status)
}

func TestNothingAcceptedIsLostWhenInstancesDie(t *testing.T) {
	g := start(t, 3)
	accepted := map[int]string{}
	for n := range 12 {
		build := n + 2
		at := g.leader()
		status, h, text := ask(t, "POST", g.urls[(at+n)%3]+"/v1/releases", fmt.Sprintf(`{"build":%d}`, build), "Idempotency-Key", fmt.Sprint("k", n))
		if status == http.StatusGatewayTimeout { // unclear: asked again with the same key
			status, h, text = ask(t, "POST", g.urls[(at+n)%3]+"/v1/releases", fmt.Sprintf(`{"build":%d}`, build), "Idempotency-Key", fmt.Sprint("k", n))
		}
		require.Contains(t, []int{200, 201}, status, text)
		accepted[build] = h.Get("ETag")
		if n%3 == 1 { // the leader dies; the others go on, and it comes back with its old disk
			at = g.leader()
			back := g.kill(at)
			next := g.leader()
			require.NotEqual(t, at, next)
			status, _, text = ask(t, "PATCH", g.urls[next]+fmt.Sprintf("/v1/releases/%d", build), `{"note":"while one is away"}`)
			require.Equal(t, 200, status, text)
			back()
		}
	}
	at := g.leader()
	_, _, text := ask(t, "GET", g.urls[at]+"/v1/releases?fresh=1", "")
	var all api.ReleaseList
	require.NoError(t, json.Unmarshal([]byte(text), &all))
	require.Len(t, all.Releases, 13)
	for i := range g.nodes { // all come to the same state
		require.Eventually(t, func() bool {
			_, _, x := call(t, "GET", g.urls[i]+"/v1/releases/13", "")
			return object(t, x).Build == 13
		}, 10*time.Second, 10*time.Millisecond)
	}
}

func TestWithoutMostInstancesNothingChangesAndReadsSayHowOldTheyAre(t *testing.T) {
	g := start(t, 3)
	at := g.leader()
	var backs []func()
	for i := range 3 {
		if i != at {
			backs = append(backs, g.kill(i))
		}
	}
	require.Eventually(t, func() bool {
		status, h, _ := call(t, "POST", g.urls[at]+"/v1/releases", `{"build":2}`)
		return status == 503 && h.Get("Retry-After") == "1"
	}, 10*time.Second, 20*time.Millisecond)
	status, _, text := call(t, "GET", g.urls[at]+"/v1/releases/1", "")
	require.Equal(t, 200, status, "what is known is still told")
	require.Equal(t, "released", object(t, text).Phase)
	status, _, _ = call(t, "GET", g.urls[at]+"/v1/releases/1?fresh=1", "")
	require.Equal(t, 503, status)
	for _, back := range backs {
		back()
	}
	status, _, text = ask(t, "POST", g.urls[at]+"/v1/releases", `{"build":2}`)
	require.Contains(t, []int{201, 409}, status, text) // the first one may have come through
}

func TestRoutersCountWhileTheyWatch(t *testing.T) {
	was := figures
	figures.PromoteShare, figures.RouterTimeout = .5, policy.Second
	defer func() { figures = was }()
	g := start(t, 1)
	u := g.urls[0]
	var routers []*watcher
	for i := range 4 {
		routers = append(routers, follow(t, fmt.Sprintf("%s/v1/watch?router=r%d", u, i), ""))
	}
	call(t, "POST", u+"/v1/releases", `{"build":2}`)
	needed := func(n int) {
		require.Eventually(t, func() bool {
			_, _, text := call(t, "GET", u+"/v1/releases/2", "")
			return object(t, text).Votes.Needed == n
		}, 10*time.Second, 10*time.Millisecond, "%d votes needed", n)
	}
	needed(2)
	routers[3].stop()
	routers[2].stop()
	needed(1)
	status, _, _ := call(t, "DELETE", u+"/v1/routers/r1", "")
	require.Equal(t, 204, status)
}

func TestAStoreThatIsDamagedIsRefusedAndMended(t *testing.T) {
	g := start(t, 1)
	for i := range 20 {
		call(t, "PATCH", g.urls[0]+"/v1/releases/1", fmt.Sprintf(`{"note":"%d"}`, i))
	}
	g.kill(0)
	require.NoError(t, CheckStore(g.dirs[0], figures))
	var out bytes.Buffer
	require.NoError(t, Export(g.dirs[0], figures, &out))
	require.Contains(t, out.String(), `"note":"19"`)

	other := t.TempDir() + "/new"
	require.NoError(t, Import(NodeConfig{Name: "c1", Dir: other, Listen: "127.0.0.1:0", Control: figures}, bytes.NewReader(out.Bytes())))
	require.NoError(t, CheckStore(other, figures))
	require.ErrorContains(t, Import(NodeConfig{Name: "c1", Dir: other, Control: figures}, bytes.NewReader(out.Bytes())), "not empty")
	newer := strings.Replace(out.String(), `"format":2`, `"format":3`, 1)
	require.ErrorContains(t, Import(NodeConfig{Name: "c1", Dir: t.TempDir() + "/x", Control: figures}, strings.NewReader(newer)), "newer than this program's 2")
	older := strings.Replace(out.String(), `"format":2`, `"format":1`, 1)
	require.NoError(t, Import(NodeConfig{Name: "c1", Dir: t.TempDir() + "/y", Control: figures}, strings.NewReader(older)))

	damage(t, g.dirs[0]+"/log.db")
	_, err := Open(NodeConfig{Name: "c1", Dir: g.dirs[0], Listen: "127.0.0.1:0", Control: figures}, slog.New(slog.DiscardHandler))
	require.ErrorContains(t, err, "damaged")
}
