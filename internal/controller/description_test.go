package controller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	descriptions "dapplefront/api"
	"dapplefront/control"
	"dapplefront/internal/api"
	"dapplefront/policy"
)

// description holds the OpenAPI and AsyncAPI descriptions as trees, and which parts of them have occurred in tests.
type description struct {
	t       *testing.T
	open    map[string]any
	async   map[string]any
	schemas *jsonschema.Compiler
	mu      sync.Mutex
	seen    map[string]bool // "operationId status" and "event kind"
	fields  map[string]bool // "schema.field" that occurred in responses and events
}

func loadDescription(t *testing.T) *description {
	t.Helper()
	d := &description{t: t, seen: map[string]bool{}, fields: map[string]bool{}, schemas: jsonschema.NewCompiler()}
	require.NoError(t, yaml.Unmarshal(descriptions.OpenAPI, &d.open))
	require.NoError(t, yaml.Unmarshal(descriptions.AsyncAPI, &d.async))
	for name, tree := range map[string]map[string]any{"openapi.yaml": d.open, "asyncapi.yaml": d.async} {
		text, err := json.Marshal(tree)
		require.NoError(t, err)
		doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
		require.NoError(t, err)
		require.NoError(t, d.schemas.AddResource(name, doc))
	}
	return d
}

func lookup(tree any, path ...string) any {
	for _, p := range path {
		m, ok := tree.(map[string]any)
		if !ok {
			return nil
		}
		tree = m[p]
	}
	return tree
}

// resolve resolves a reference within the OpenAPI description.
func (d *description) resolve(x any) map[string]any {
	m, _ := x.(map[string]any)
	if ref, ok := m["$ref"].(string); ok {
		m, _ = lookup(d.open, strings.Split(strings.TrimPrefix(ref, "#/"), "/")...).(map[string]any)
	}
	return m
}

// operation returns the documented operation of a request, and its path template.
func (d *description) operation(method, path string) (map[string]any, string) {
	path, _, _ = strings.Cut(path, "?")
	parts := strings.Split(path, "/")
	best, bestFixed := "", -1
	for template := range d.open["paths"].(map[string]any) {
		t := strings.Split(template, "/")
		fixed := 0
		if len(t) != len(parts) {
			continue
		}
		for i := range t {
			if strings.HasPrefix(t[i], "{") {
				continue
			}
			if t[i] != parts[i] {
				fixed = -1
				break
			}
			fixed++
		}
		if fixed > bestFixed {
			best, bestFixed = template, fixed
		}
	}
	op, _ := lookup(d.open, "paths", best, strings.ToLower(method)).(map[string]any)
	return op, best
}

// validate checks a value against the schema at a JSON pointer in a description. It returns "" if the value is valid, otherwise
// the error.
func (d *description) validate(pointer string, body []byte) string {
	d.mu.Lock()
	s, err := d.schemas.Compile(pointer)
	d.mu.Unlock()
	if err != nil {
		return err.Error()
	}
	v, err := jsonschema.UnmarshalJSON(bytes.NewReader(body))
	if err != nil {
		return err.Error()
	}
	if err := s.Validate(v); err != nil {
		return err.Error()
	}
	name := pointer[strings.LastIndex(pointer, "/")+1:]
	if m, ok := v.(map[string]any); ok {
		d.mu.Lock()
		for k := range m {
			d.fields[name+"."+k] = true
		}
		d.mu.Unlock()
	}
	return ""
}

// validateResponse checks a response against the documentation of its request. It returns "" if the response is documented,
// otherwise the difference.
func (d *description) validateResponse(method, path string, status int, h http.Header, body string) string {
	op, template := d.operation(method, path)
	if op == nil {
		return fmt.Sprintf("%s %s is not documented", method, path)
	}
	documented := lookup(op, "responses", fmt.Sprint(status))
	if documented == nil {
		return fmt.Sprintf("%s %s: the status %d is not documented: %s", method, template, status, body)
	}
	d.mu.Lock()
	d.seen[fmt.Sprintf("%s %d", op["operationId"], status)] = true
	d.mu.Unlock()
	r := d.resolve(documented)
	content, _ := r["content"].(map[string]any)
	if content == nil {
		if body != "" {
			return fmt.Sprintf("%s %s, %d: a body that is not documented: %s", method, template, status, body)
		}
		return ""
	}
	kind, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	schema, _ := lookup(content, kind, "schema").(map[string]any)
	if schema == nil {
		return fmt.Sprintf("%s %s, %d: the type %q is not documented", method, template, status, kind)
	}
	if kind == "text/event-stream" {
		return ""
	}
	if why := d.validate("openapi.yaml"+schema["$ref"].(string), []byte(body)); why != "" {
		return fmt.Sprintf("%s %s, %d: %s", method, template, status, why)
	}
	return ""
}

// call sends a request and requires a documented response.
func (d *description) call(method, url, path, body string, headers ...string) (int, string) {
	d.t.Helper()
	status, h, text := request(d.t, method, url+path, body, headers...)
	require.Empty(d.t, d.validateResponse(method, path, status, h, text))
	return status, text
}

func TestServer_GivesExactlyDocumentedResponsesAndEvents(t *testing.T) {
	original := testConfig
	testConfig.MaxEvents = 400
	defer func() { testConfig = original }()
	d := loadDescription(t)
	g := startCluster(t, 3)
	lead := g.leader()
	u := g.urls[lead]
	all := followWatch(t, u+"/v1/watch", "")
	own := followWatch(t, u+"/v1/watch?router=r1", "")
	do := func(want int, method, path, body string, headers ...string) string {
		t.Helper()
		status, text := d.call(method, u, path, body, headers...)
		require.Equal(t, want, status, "%s %s: %s", method, path, text)
		return text
	}
	do(201, "POST", "/v1/releases", `{"build":2,"digest":"d","note":"n","labels":{"a":"b"},"steps":[{"name":"one","stage":0,"withinMs":60000},{"name":"two","stage":1,"final":true}]}`, "Idempotency-Key", "k")
	do(200, "POST", "/v1/releases", `{"build":2,"digest":"d","note":"n","labels":{"a":"b"},"steps":[{"name":"one","stage":0,"withinMs":60000},{"name":"two","stage":1,"final":true}]}`, "Idempotency-Key", "k")
	do(400, "POST", "/v1/releases", `{"build":0}`)
	do(409, "POST", "/v1/releases", `{"build":2}`)
	do(200, "GET", "/v1/releases?limit=1", "")
	do(400, "GET", "/v1/releases?phase=x", "")
	do(200, "GET", "/v1/releases/2?fresh=1", "")
	_, h, _ := request(t, "GET", u+"/v1/releases/2", "")
	do(304, "GET", "/v1/releases/2", "", "If-None-Match", h.Get("ETag"))
	do(400, "GET", "/v1/releases/x", "")
	do(404, "GET", "/v1/releases/9", "")
	do(200, "PATCH", "/v1/releases/2", `{"labels":{"a":null}}`)
	do(400, "PATCH", "/v1/releases/2", `{"labels":3}`)
	do(404, "PATCH", "/v1/releases/9", `{}`)
	do(412, "PATCH", "/v1/releases/2", `{}`, "If-Match", `"77"`)
	do(200, "PUT", "/v1/releases/2/steps/one", `{"by":"w"}`)
	do(400, "PUT", "/v1/releases/2/steps/one", `{"bye":"w"}`)
	do(404, "PUT", "/v1/releases/2/steps/none", `{}`)
	do(409, "PUT", "/v1/releases/2/steps/two", `{}`)
	do(204, "PUT", "/v1/releases/2/orders/ready", "")
	do(400, "PUT", "/v1/releases/x/orders/ready", "")
	do(404, "PUT", "/v1/releases/2/orders/none", "")
	do(200, "PUT", "/v1/releases/2/votes/r1", `{"stage":0,"voice":"on"}`)
	do(400, "PUT", "/v1/releases/2/votes/r1", `{"stage":0,"voice":"loud"}`)
	do(404, "PUT", "/v1/releases/9/votes/r1", `{"stage":0,"voice":"on"}`)
	do(409, "PUT", "/v1/releases/1/votes/r1", `{"stage":0,"voice":"on"}`)
	do(204, "POST", "/v1/releases/2/reports", `{"tasks":{"finished":3},"hosts":{"serving":1}}`)
	do(400, "POST", "/v1/releases/2/reports", `{"tasks":{"finished":-3}}`)
	do(404, "POST", "/v1/releases/9/reports", `{}`)
	do(200, "GET", "/v1/releases/2", "")
	do(202, "POST", "/v1/counts", `{"build":1,"category":"c","bad":0,"samples":1,"meanMs":2,"ageMs":0}`)
	do(400, "POST", "/v1/counts", `{"build":1,"category":"c","bad":3,"samples":1,"meanMs":2,"ageMs":0}`)
	do(202, "POST", "/v1/complaints", `{"router":"r1","host":1,"category":"c","ageMs":0}`)
	do(400, "POST", "/v1/complaints", `{"router":"","host":1,"category":"c","ageMs":0}`)
	do(204, "PUT", "/v1/plans/1", `{"build":2,"stage":1,"forMs":60000,"for":{"north":{"near":{"1":5},"far":{"2":5},"cross":7,"copies":1}}}`)
	do(400, "PUT", "/v1/plans/2", `{"forMs":0,"for":{}}`)
	do(409, "PUT", "/v1/plans/1", `{"forMs":60000,"for":{}}`)
	do(200, "GET", "/v1/plans/1/for/north", "")
	do(404, "GET", "/v1/plans/1/for/south", "")
	do(204, "PUT", "/v1/plans/1/routers/r1", `{"followed":true}`)
	do(400, "PUT", "/v1/plans/1/routers/r1", `{"followed":false}`)
	do(409, "PUT", "/v1/plans/4/routers/r1", `{"followed":true}`)
	do(204, "PUT", "/v1/routers/r9", "")
	do(204, "DELETE", "/v1/routers/r9", "")
	mine := followWatch(t, u+"/v1/agents/h1/orders", "")
	do(400, "GET", "/v1/agents/h1/orders", "", "Last-Event-ID", "x")
	do(201, "POST", "/v1/agents/h1/orders", `{"digest":"d","build":2,"goal":"stage"}`)
	do(400, "POST", "/v1/agents/h1/orders", `{"digest":"d","build":2,"goal":"sit"}`)
	for range 2 { // the repeated report counts once
		do(204, "POST", "/v1/agents/h1/reports", `[{"number":1,"build":2,"digest":"d","from":"fetching","to":"staged","atMs":5}]`)
	}
	do(400, "POST", "/v1/agents/h1/reports", `[{"number":0,"build":2,"digest":"d","atMs":5}]`)
	do(200, "GET", "/v1/status", "")
	do(204, "PUT", "/v1/controllers/c9", `{"url":"http://127.0.0.1:1"}`)
	do(400, "PUT", "/v1/controllers/c9", `{"urls":""}`)
	do(204, "DELETE", "/v1/controllers/c9", "")
	do(400, "GET", "/v1/watch", "", "Last-Event-ID", "x")
	do(409, "DELETE", "/v1/releases/2", "")
	do(400, "DELETE", "/v1/releases/x", "")
	do(404, "DELETE", "/v1/releases/9", "")
	do(412, "DELETE", "/v1/releases/2", "", "If-Match", `"77"`)
	do(400, "POST", "/v1/releases/x/withdraw", "")
	do(404, "POST", "/v1/releases/9/withdraw", "")
	do(412, "POST", "/v1/releases/2/withdraw", "", "If-Match", `"77"`)
	do(409, "POST", "/v1/releases/1/withdraw", "")
	do(200, "POST", "/v1/releases/2/withdraw", "")
	do(204, "PUT", "/v1/releases/2/orders/gone", "")
	do(201, "POST", "/v1/releases", `{"build":3}`)
	do(204, "DELETE", "/v1/releases/2", "")
	for range 40 {
		status, _ := d.call("PUT", u, "/v1/releases/1/votes/r1", `{"stage":0,"voice":"none"}`)
		require.Contains(t, []int{200, 409}, status)
	}
	g.servers[lead].voteLimiter.SetBurst(0)
	do(429, "PUT", "/v1/releases/1/votes/r1", `{"stage":0,"voice":"on"}`)
	for i := range 500 {
		_, err := g.nodes[lead].Propose(control.Command{Kind: control.EmitEvent, Name: api.EventCounts,
			Body: fmt.Appendf(nil, `{"build":1,"category":"c","bad":0,"samples":%d,"meanMs":0,"ageMs":0}`, i)})
		require.NoError(t, err)
	}
	do(410, "GET", "/v1/watch", "", "Last-Event-ID", "1")
	d.mu.Lock()
	d.seen["watch 200"] = true // followWatch has checked the status
	d.mu.Unlock()

	// Validate each event against its payload schema.
	require.Eventually(t, func() bool { return all.count("bookmark") > 0 && all.count("deleted") > 0 }, 10*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return own.count("complaint") > 0 }, 10*time.Second, 10*time.Millisecond)
	var kinds, data []string
	require.Eventually(t, func() bool { return mine.count("order") == 1 && all.count("agent") == 1 }, 10*time.Second, 10*time.Millisecond)
	d.seen["orders 200"] = true // followWatch has checked the status
	for _, w := range []*watchReader{all, own, mine} {
		w.mu.Lock()
		kinds, data = append(kinds, w.kinds...), append(data, w.data...)
		w.mu.Unlock()
	}
	f := g.servers[lead]
	f.mu.Lock()
	f.config.MaxWatchers = 0
	f.mu.Unlock()
	do(503, "GET", "/v1/watch", "")
	f.mu.Lock()
	f.config.MaxWatchers = 100
	f.mu.Unlock()
	for i, kind := range kinds {
		require.NotNil(t, lookup(d.async, "components", "messages", kind), "the event %s is not documented", kind)
		require.Empty(t, d.validate("asyncapi.yaml#/components/messages/"+kind+"/payload", []byte(data[i])), kind)
		d.seen["event "+kind] = true
	}

	// Open a WebSocket, and send requests of a caller without roles.
	_, _, status := dialWebSocket(t, u, "", "")
	require.Equal(t, 101, status)
	d.seen["watch 101"] = true
	closed, err := Serve(g.nodes[lead], ServerConfig{Listen: "127.0.0.1:0", URL: u, Authorizer: &Authorizer{}}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer closed.Close()
	named := strings.NewReplacer("{build}", "1", "{router}", "r1", "{step}", "one", "{order}", "ready", "{version}", "9", "{name}", "c2", "{location}", "north")
	for template, methods := range d.open["paths"].(map[string]any) {
		for method := range methods.(map[string]any) {
			if method != "parameters" {
				status, text := d.call(strings.ToUpper(method), "http://"+closed.listener.Addr().String(), named.Replace(template), "")
				require.Equal(t, 403, status, text)
			}
		}
	}

	// Send requests while there is no leader.
	for i := range g.nodes {
		if i != lead {
			g.stop(i)
		}
	}
	require.Eventually(t, func() bool { leads, _ := g.nodes[lead].IsLeader(); return !leads }, 10*time.Second, 5*time.Millisecond)
	for template, methods := range d.open["paths"].(map[string]any) {
		for method, op := range methods.(map[string]any) {
			if method == "parameters" || lookup(op, "responses", "503") == nil {
				continue
			}
			path := named.Replace(template)
			body := "{}"
			if strings.HasSuffix(path, "/reports") && strings.Contains(path, "agents") {
				body = "[]"
			}
			if path == "/v1/watch" {
				continue // a watch works without a leader
			}
			if method == "get" {
				path += "?fresh=1"
			}
			do(503, strings.ToUpper(method), path, body)
		}
	}

	// Every documented response, event and field must have occurred, except 504: it requires that the leader is lost during a
	// change, which occurs in the crash and partition tests.
	var missing []string
	for _, methods := range d.open["paths"].(map[string]any) {
		for method, op := range methods.(map[string]any) {
			if method == "parameters" {
				continue
			}
			for status := range lookup(op, "responses").(map[string]any) {
				if k := fmt.Sprintf("%s %s", lookup(op, "operationId"), status); status != "504" && !d.seen[k] {
					missing = append(missing, k)
				}
			}
		}
	}
	for kind := range lookup(d.async, "components", "messages").(map[string]any) {
		if !d.seen["event "+kind] {
			missing = append(missing, "event "+kind)
		}
	}
	for _, name := range []string{"ReleaseObject", "ReleaseList", "News", "Plan", "Status", "Problem"} {
		for f := range lookup(d.open, "components", "schemas", name, "properties").(map[string]any) {
			if !d.fields[name+"."+f] && (name != "ReleaseObject" || !d.fields["payload."+f]) {
				missing = append(missing, name+"."+f)
			}
		}
	}
	slices.Sort(missing)
	require.Empty(t, missing, "documented, but never occurred")
}

func TestDescription_DetectsUndocumentedResponses(t *testing.T) {
	d := loadDescription(t)
	json := http.Header{"Content-Type": {"application/json"}}
	require.Contains(t, d.validateResponse("GET", "/v1/nothing", 200, json, ""), "not documented")
	require.Contains(t, d.validateResponse("GET", "/v1/status", 418, json, "{}"), "the status 418 is not documented")
	require.Contains(t, d.validateResponse("GET", "/v1/status", 200, json, `{"name":"c","leads":true}`), "missing propert")
	require.Contains(t, d.validateResponse("PUT", "/v1/routers/r", 204, http.Header{}, "x"), "a body that is not documented")
	require.Contains(t, d.validateResponse("GET", "/v1/plans/1/for/x", 200, json, `{"version":1,"forMs":1,"near":{},"extra":1}`), "extra")
	require.NotEmpty(t, d.validate("asyncapi.yaml#/components/messages/place/payload", []byte(`{"build":1,"share":1,"hosts":3}`)))
}

// drawValue draws a value for a schema, occasionally one that the schema does not allow.
func (d *description) drawValue(r *rand.Rand, schema any, depth int) any {
	s := d.resolve(schema)
	if r.IntN(25) == 0 || s == nil {
		return []any{nil, -1, "x", 1.5, true, []any{}, map[string]any{"odd": 1}}[r.IntN(7)]
	}
	kind, _ := s["type"].(string)
	if list, ok := s["type"].([]any); ok {
		kind = list[r.IntN(len(list))].(string)
	}
	switch kind {
	case "string":
		if e, ok := s["enum"].([]any); ok {
			return e[r.IntN(len(e))]
		}
		return []string{"a", "", "r1", "c1", "north", "é\u0000"}[r.IntN(6)]
	case "integer":
		return []int{0, 1, 2, 3, 4, 1000, 1 << 40, -1}[r.IntN(8)]
	case "number":
		return r.Float64()
	case "boolean":
		return r.IntN(2) == 0
	case "array":
		out := []any{}
		for range r.IntN(3) {
			out = append(out, d.drawValue(r, s["items"], depth+1))
		}
		return out
	case "object":
		out := map[string]any{}
		props, _ := s["properties"].(map[string]any)
		for _, k := range slices.Sorted(maps.Keys(props)) {
			if r.IntN(4) > 0 && depth < 4 {
				out[k] = d.drawValue(r, props[k], depth+1)
			}
		}
		if more, ok := s["additionalProperties"].(map[string]any); ok {
			for range r.IntN(3) {
				out[fmt.Sprint("k", r.IntN(3))] = d.drawValue(r, more, depth+1)
			}
		}
		return out
	}
	return nil
}

func TestServer_GivesDocumentedResponsesToRandomRequests(t *testing.T) {
	d := loadDescription(t)
	a, err := StartStandalone(NodeConfig{Name: "c1", Dir: t.TempDir(), Listen: "127.0.0.1:0", FastElections: true, Control: testConfig, InitialBuild: 1},
		ServerConfig{Listen: "127.0.0.1:0", VotesPerSecond: 1e6}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer func() { require.NoError(t, a.Stop()) }()
	type target struct {
		method, template string
		op               any
	}
	var all []target
	for template, methods := range d.open["paths"].(map[string]any) {
		for method, op := range methods.(map[string]any) {
			if method != "parameters" && template != "/v1/watch" && (method != "get" || !strings.HasSuffix(template, "/orders")) && !strings.HasPrefix(template, "/v1/controllers") {
				all = append(all, target{strings.ToUpper(method), template, op})
			}
		}
	}
	slices.SortFunc(all, func(x, y target) int { return strings.Compare(x.template+x.method, y.template+y.method) })
	var wait sync.WaitGroup
	const workers, each = 4, 750
	statuses := make([]map[int]int, workers)
	for w := range workers {
		statuses[w] = map[int]int{}
		wait.Go(func() {
			r := rand.New(rand.NewPCG(7, uint64(w)))
			h := &http.Client{Timeout: 10 * time.Second}
			for range each {
				x := all[r.IntN(len(all))]
				pick := func(some ...string) string { return some[r.IntN(len(some))] }
				path := strings.NewReplacer("{build}", pick("1", "2", "3", "9", "0", "x"), "{router}", pick("r1", "r2"), "{step}", pick("a", "r1"),
					"{order}", pick("ready", "gone"), "{version}", pick("1", "2", "3", "1000"), "{location}", "north", "{name}", "h1").Replace(x.template)
				body := ""
				if s := lookup(x.op, "requestBody", "content", "application/json", "schema"); s != nil {
					text, err := json.Marshal(d.drawValue(r, s, 0))
					if err != nil {
						continue
					}
					body = string(text)
				}
				req, err := http.NewRequest(x.method, a.URL()+path, strings.NewReader(body))
				if err != nil {
					continue
				}
				if r.IntN(5) == 0 {
					req.Header.Set("If-Match", pick(`"1"`, `"2"`, "1", "*", `""`))
				}
				if r.IntN(3) == 0 {
					req.Header.Set("Idempotency-Key", pick("a", "b", "c"))
				}
				got, err := h.Do(req)
				if err != nil {
					t.Errorf("%s %s %s: %v", x.method, path, body, err)
					return
				}
				var text bytes.Buffer
				_, _ = text.ReadFrom(got.Body)
				_ = got.Body.Close()
				statuses[w][got.StatusCode]++
				if why := d.validateResponse(x.method, path, got.StatusCode, got.Header, text.String()); why != "" {
					t.Errorf("%s %s %s: %s", x.method, path, body, why)
					return
				}
			}
		})
	}
	wait.Wait()
	sum := map[int]int{}
	for _, s := range statuses {
		for k, n := range s {
			sum[k] += n
		}
	}
	t.Logf("%d requests: %v", workers*each, sum)
	require.Greater(t, sum[200]+sum[201]+sum[202]+sum[204], workers*each/20)
	a.Read(func(s *control.State, _ policy.Time) { require.NotEmpty(t, s.List(nil, nil, 0, 1)) })
}
