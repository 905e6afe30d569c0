package controller

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dapplefront/control"
	"dapplefront/internal/api"
	"dapplefront/plan"
	"dapplefront/policy"
)

// ServerConfig is how the REST interface behaves.
type ServerConfig struct {
	Listen           string
	URL              string  // under which others reach it; by default http:// and where it listens
	VotesPerSecond   float64 // at most, from all routers together
	MaxWatchers      int     // at once at most
	BookmarkInterval time.Duration
	WriteTimeout     time.Duration // a watcher that takes nothing for so long is cut off
	Authorizer       *Authorizer   // nil lets everyone do everything

	// Fault and Told are for days and tests: how late events go out and whether the interface stands still, and what
	// routers are told. A daemon has none.
	Fault        func() (late time.Duration, still bool)
	OnStatusSent func(router string, n api.Release)
}

// fault is how things stand; a daemon's are always well.
func (f *ServerConfig) fault() (late time.Duration, still bool) {
	if f.Fault == nil {
		return 0, false
	}
	return f.Fault()
}

// Server is the REST interface of one instance.
type Server struct {
	node        *Node
	config      ServerConfig
	log         *slog.Logger
	listener    net.Listener
	http        *http.Server
	voteLimiter *rate.Limiter
	stop        chan struct{}
	done        sync.WaitGroup

	mu           sync.Mutex
	watchers     int
	slowWatchers int // watchers cut off for being slow
	joinedAt     map[string]time.Time
}

const largestBody = 16 << 20 // bytes; a plan for 500,000 hosts

// Serve starts the interface.
func Serve(node *Node, f ServerConfig, logger *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return nil, err
	}
	if f.MaxWatchers == 0 {
		f.MaxWatchers = 5000
	}
	if f.BookmarkInterval == 0 {
		f.BookmarkInterval = 2 * time.Second
	}
	if f.WriteTimeout == 0 {
		f.WriteTimeout = 5 * time.Second
	}
	if f.VotesPerSecond == 0 {
		f.VotesPerSecond = 100
	}
	scheme := "http"
	if f.Authorizer != nil && f.Authorizer.ServerTLS != nil {
		scheme = "https"
	}
	if f.URL == "" {
		f.URL = scheme + "://" + l.Addr().String()
	}
	s := &Server{node: node, config: f, log: logger, listener: l, stop: make(chan struct{}), joinedAt: map[string]time.Time{},
		voteLimiter: rate.NewLimiter(rate.Limit(f.VotesPerSecond), max(1, int(2*f.VotesPerSecond)))}
	mux := http.NewServeMux()
	for pattern, h := range map[string]handler{
		"GET /v1/releases":                         {RoleRead, s.list, false},
		"POST /v1/releases":                        {RoleRelease, s.create, true},
		"GET /v1/releases/{build}":                 {RoleRead, s.get, false},
		"PATCH /v1/releases/{build}":               {RoleRelease, s.patch, true},
		"DELETE /v1/releases/{build}":              {RoleRelease, s.delete, true},
		"POST /v1/releases/{build}/withdraw":       {RoleWithdraw, s.withdraw, true},
		"PUT /v1/releases/{build}/votes/{router}":  {RoleVote, s.vote, true},
		"PUT /v1/releases/{build}/steps/{step}":    {RoleServe, s.step, true},
		"PUT /v1/releases/{build}/orders/{order}":  {RoleServe, s.order, true},
		"POST /v1/releases/{build}/reports":        {RoleVote, s.report, true},
		"GET /v1/watch":                            {RoleRead, s.watch, false},
		"POST /v1/counts":                          {RoleServe, s.counts, true},
		"POST /v1/complaints":                      {RoleRead, s.complain, true},
		"PUT /v1/plans/{version}":                  {RoleRelease, s.publish, true},
		"GET /v1/plans/{version}/for/{location}":   {RoleRead, s.planFor, false},
		"PUT /v1/plans/{version}/routers/{router}": {RoleVote, s.heed, true},
		"PUT /v1/routers/{router}":                 {RoleVote, s.join, true},
		"DELETE /v1/routers/{router}":              {RoleVote, s.leave, true},
		"GET /v1/agents/{name}/orders":             {RoleServe, s.orders, false},
		"POST /v1/agents/{name}/orders":            {RoleRelease, s.orderTo, true},
		"POST /v1/agents/{name}/reports":           {RoleServe, s.hearOf, true},
		"GET /v1/status":                           {RoleRead, s.status, false},
		"PUT /v1/controllers/{name}":               {RoleServe, s.addMember, true},
		"DELETE /v1/controllers/{name}":            {RoleServe, s.removeMember, true},
	} {
		mux.HandleFunc(pattern, s.guarded(h))
	}
	s.http = &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: 10 * time.Second}
	if scheme == "https" {
		s.http.TLSConfig = f.Authorizer.ServerTLS
		go func() { _ = s.http.ServeTLS(l, "", "") }()
	} else {
		go func() { _ = s.http.Serve(l) }()
	}
	s.done.Add(1)
	go s.announce()
	return s, nil
}

// URL is where others reach it.
func (s *Server) URL() string { return s.config.URL }

// Close ends it and all watches.
func (s *Server) Close() {
	close(s.stop)
	_ = s.http.Close()
	s.done.Wait()
}

// announce lets the other instances know where this one answers, once it is a member.
func (s *Server) announce() {
	defer s.done.Done()
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-t.C:
		}
		known, leader := "", ""
		leads, name := s.node.IsLeader()
		s.node.Read(func(st *control.State, _ policy.Time) {
			known, leader = st.ControllerURL(s.node.config.Name), st.ControllerURL(name)
		})
		if known == s.config.URL {
			continue
		}
		if leads {
			_, _ = s.node.Propose(control.Command{Kind: control.SetMember, Name: s.node.config.Name, Note: &s.config.URL})
		} else if leader != "" {
			body, _ := json.Marshal(map[string]string{"url": s.config.URL})
			ask, err := http.NewRequest("PUT", leader+"/v1/controllers/"+url.PathEscape(s.node.config.Name), bytes.NewReader(body))
			if err != nil {
				continue
			}
			if got, err := s.client().Do(ask); err == nil {
				_ = got.Body.Close()
			}
		}
	}
}

func (s *Server) client() *http.Client {
	c := &http.Client{Timeout: 2 * time.Second}
	if s.config.Authorizer != nil && s.config.Authorizer.ClientTLS != nil {
		c.Transport = &http.Transport{TLSClientConfig: s.config.Authorizer.ClientTLS}
	}
	return c
}

// ---- Answers ----

// problem answers in the form of RFC 9457; field names what was wrong in the request.
func problem(w http.ResponseWriter, status int, field, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	body := map[string]any{"type": "about:blank", "title": http.StatusText(status), "status": status, "detail": detail}
	if field != "" {
		body["field"] = field
	}
	_ = json.NewEncoder(w).Encode(body)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// decode reads a JSON body strictly; false where it has answered.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, largestBody))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil && d.More() {
		err = errors.New("more than one value")
	}
	if err != nil {
		field := "body"
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) && wrong.Field != "" {
			field = wrong.Field
		}
		problem(w, http.StatusBadRequest, field, err.Error())
		return false
	}
	return true
}

func build(w http.ResponseWriter, r *http.Request) (int, bool) {
	n, err := strconv.Atoi(r.PathValue("build"))
	if err != nil || n < 1 {
		problem(w, http.StatusBadRequest, "build", "a number from 1 expected")
		return 0, false
	}
	return n, true
}

func planVersion(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	n, err := strconv.ParseUint(r.PathValue("version"), 10, 64)
	if err != nil {
		problem(w, http.StatusBadRequest, "version", "a number expected")
	}
	return n, err == nil
}

// ifMatch is the version that a change is for; 0 for any.
func ifMatch(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	text := r.Header.Get("If-Match")
	if text == "" || text == "*" {
		return 0, true
	}
	v, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil || v == 0 || len(text) < 3 || text[0] != '"' {
		problem(w, http.StatusBadRequest, "If-Match", "an ETag of this release expected")
		return 0, false
	}
	return v, true
}

var statuses = map[error]int{control.ErrInvalid: http.StatusBadRequest, control.ErrNotFound: http.StatusNotFound,
	control.ErrConflict: http.StatusConflict, control.ErrVersionMismatch: http.StatusPreconditionFailed}

// change makes a change and answers, with done's status where it was made. An instance that does not lead passes the
// request on to the one that does.
func (s *Server) change(w http.ResponseWriter, r *http.Request, c control.Command, done int, body func(control.Reply) any) {
	reply, err := s.node.Propose(c)
	var rejected *control.Error
	switch {
	case errors.Is(err, ErrNoLeader):
		w.Header().Set("Retry-After", "1")
		problem(w, http.StatusServiceUnavailable, "", err.Error())
	case errors.As(err, &rejected):
		problem(w, statuses[rejected.Kind], rejected.Field, rejected.Reason)
	case err != nil:
		problem(w, http.StatusGatewayTimeout, "", err.Error())
	default:
		if reply.Release != nil {
			w.Header().Set("ETag", reply.Release.ETag())
		}
		if reply.Repeated && done == http.StatusCreated {
			done = http.StatusOK
		}
		if body == nil {
			w.WriteHeader(done)
			return
		}
		answer(w, done, body(reply))
	}
}

// pass hands a change to the instance that leads; false where this one does.
func (s *Server) pass(w http.ResponseWriter, r *http.Request) bool {
	leads, name := s.node.IsLeader()
	if leads {
		return false
	}
	to := ""
	s.node.Read(func(st *control.State, _ policy.Time) { to = st.ControllerURL(name) })
	const passed = "Dapplefront-Passed" // once is enough: whoever leads may have changed meanwhile
	if to == "" || name == s.node.config.Name || r.Header.Get(passed) != "" {
		w.Header().Set("Retry-After", "1")
		problem(w, http.StatusServiceUnavailable, "", ErrNoLeader.Error())
		return true
	}
	at, err := url.Parse(to)
	if err != nil {
		problem(w, http.StatusServiceUnavailable, "", ErrNoLeader.Error())
		return true
	}
	p := &httputil.ReverseProxy{Rewrite: func(p *httputil.ProxyRequest) {
		p.SetURL(at)
		p.Out.Header.Set(passed, s.node.config.Name)
		if s.config.Authorizer != nil {
			p.Out.Header.Set(onBehalf, s.config.Authorizer.who(r))
		}
	}, ErrorLog: log.New(io.Discard, "", 0), Transport: s.client().Transport, ErrorHandler: func(w http.ResponseWriter, _ *http.Request, err error) {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			w.Header().Set("Retry-After", "1")
			problem(w, http.StatusServiceUnavailable, "", ErrNoLeader.Error())
			return
		}
		problem(w, http.StatusGatewayTimeout, "", ErrOutcomeUnknown.Error())
	}}
	p.ServeHTTP(w, r)
	return true
}

// ---- Releases ----

func shown(r *control.Release, now policy.Time, st *control.State) api.ReleaseObject {
	o := api.ReleaseObject{Release: api.Release{Build: r.Build, Stage: r.Stage, Phase: api.Phases[r.Phase], ExposureCap: r.ExposureCap,
		AgeMs: max(0, int64(now-r.Since)/10), Version: int64(r.Version)}, Digest: r.Digest, Note: r.Note, Labels: r.Labels,
		CreatedMs: int64(r.Created) / 10, WaitsFor: r.WaitsFor, Tasks: r.Counts, Hosts: r.Hosts}
	for i, step := range r.Steps {
		x := api.Step{Name: step.Name, Stage: step.Stage, Irreversible: step.Irreversible, WithinMs: int64(step.ExpectedTime) / 10}
		if d := r.StepStatuses[i]; d.DoneAt != 0 {
			x.State, x.By = "done", d.DoneBy
		} else if d.Stalled {
			x.State = "stalled"
		} else if d.WaitingSince != 0 {
			x.State = "waiting"
		} else {
			x.State = "later"
		}
		o.Steps = append(o.Steps, x)
	}
	for _, m := range r.History {
		o.History = append(o.History, api.HistoryEntry{AtMs: int64(m.At) / 10, Text: m.Text})
	}
	if st != nil && st.Status().Build == r.Build {
		v := api.Votes{}
		v.On, v.Needed, _ = st.Votes(policy.Promote)
		v.Back, _, v.NeededBack = st.Votes(policy.Rollback)
		o.Votes = &v
	}
	return o
}

// fresh answers reads: headers tell how old what is read may be. With ?fresh=1 only the leader answers, and surely with
// the newest.
func (s *Server) fresh(w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Query().Get("fresh") == "1" {
		if s.pass(w, r) {
			return false
		}
		if err := s.node.VerifyLeader(); err != nil {
			w.Header().Set("Retry-After", "1")
			problem(w, http.StatusServiceUnavailable, "", err.Error())
			return false
		}
	}
	w.Header().Set("Dapplefront-Behind-Ms", strconv.FormatInt(s.node.ReplicationLag().Milliseconds(), 10))
	return true
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	labels := map[string]string{}
	for _, l := range q["label"] {
		k, v, ok := strings.Cut(l, "=")
		if !ok {
			problem(w, http.StatusBadRequest, "label", "name=value expected")
			return
		}
		labels[k] = v
	}
	var phase *policy.Phase
	if text := q.Get("phase"); text != "" {
		for i, name := range api.Phases {
			if name == text {
				p := policy.Phase(i)
				phase = &p
			}
		}
		if phase == nil {
			problem(w, http.StatusBadRequest, "phase", strings.Join(api.Phases, ", ")+" expected")
			return
		}
	}
	limit, after := 100, 0
	for name, to := range map[string]*int{"limit": &limit, "after": &after} {
		if text := q.Get(name); text != "" {
			n, err := strconv.Atoi(text)
			if err != nil || n < 0 || name == "limit" && (n < 1 || n > 1000) {
				problem(w, http.StatusBadRequest, name, "a whole number expected, of limit from 1 to 1000")
				return
			}
			*to = n
		}
	}
	if !s.fresh(w, r) {
		return
	}
	out := api.ReleaseList{Releases: []api.ReleaseObject{}}
	s.node.Read(func(st *control.State, now policy.Time) {
		some := st.List(labels, phase, after, limit+1)
		if len(some) > limit {
			some = some[:limit]
			out.Next = some[limit-1].Build
		}
		for _, x := range some {
			out.Releases = append(out.Releases, shown(x, now, st))
		}
	})
	answer(w, http.StatusOK, out)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	n, ok := build(w, r)
	if !ok || !s.fresh(w, r) {
		return
	}
	var x *control.Release
	var o api.ReleaseObject
	s.node.Read(func(st *control.State, now policy.Time) {
		if x = st.Get(n); x != nil {
			o = shown(x, now, st)
		}
	})
	if x == nil {
		problem(w, http.StatusNotFound, "build", fmt.Sprintf("there is no release of build %d", n))
		return
	}
	w.Header().Set("ETag", x.ETag())
	if r.Header.Get("If-None-Match") == x.ETag() {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *Server) object(r control.Reply) any {
	var o api.ReleaseObject
	s.node.Read(func(st *control.State, now policy.Time) { o = shown(r.Release, now, st) })
	return o
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	var a api.CreateRelease
	if !decode(w, r, &a) {
		return
	}
	text, _ := json.Marshal(a)
	sum := sha256.Sum256(text)
	c := control.Command{Kind: control.CreateRelease, Build: a.Build, Digest: a.Digest, Note: &a.Note, Labels: map[string]*string{},
		Key: r.Header.Get("Idempotency-Key"), Hash: hex.EncodeToString(sum[:])}
	for k, v := range a.Labels {
		c.Labels[k] = &v
	}
	for _, x := range a.Steps {
		c.Steps = append(c.Steps, control.Step{Name: x.Name, Stage: x.Stage, Irreversible: x.Irreversible, ExpectedTime: policy.Time(x.WithinMs) * 10})
	}
	w.Header().Set("Location", fmt.Sprintf("/v1/releases/%d", a.Build))
	s.change(w, r, c, http.StatusCreated, s.object)
}

func (s *Server) patch(w http.ResponseWriter, r *http.Request) {
	n, ok := build(w, r)
	if !ok {
		return
	}
	version, ok := ifMatch(w, r)
	var a api.PatchRelease
	if !ok || !decode(w, r, &a) {
		return
	}
	s.change(w, r, control.Command{Kind: control.PatchRelease, Build: n, IfVersion: version, Note: a.Note, Labels: a.Labels}, http.StatusOK, s.object)
}

func (s *Server) withdraw(w http.ResponseWriter, r *http.Request) {
	s.simple(w, r, control.RollBackRelease)
}
func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	s.simple(w, r, control.DeleteRelease)
}

func (s *Server) simple(w http.ResponseWriter, r *http.Request, do control.CommandKind) {
	n, ok := build(w, r)
	if !ok {
		return
	}
	version, ok := ifMatch(w, r)
	if !ok {
		return
	}
	if do == control.DeleteRelease {
		s.change(w, r, control.Command{Kind: do, Build: n, IfVersion: version}, http.StatusNoContent, nil)
		return
	}
	s.change(w, r, control.Command{Kind: do, Build: n, IfVersion: version}, http.StatusOK, s.object)
}

func (s *Server) vote(w http.ResponseWriter, r *http.Request) {
	n, ok := build(w, r)
	var v api.Vote
	if !ok || !decode(w, r, &v) {
		return
	}
	voice := -1
	for i, name := range api.VoteChoices {
		if name == v.Choice {
			voice = i
		}
	}
	if voice < 0 {
		problem(w, http.StatusBadRequest, "voice", strings.Join(api.VoteChoices, ", ")+" expected")
		return
	}
	if !s.voteLimiter.Allow() {
		w.Header().Set("Retry-After", "1")
		problem(w, http.StatusTooManyRequests, "", fmt.Sprintf("more than %g votes a second from all routers", s.config.VotesPerSecond))
		return
	}
	if _, still := s.config.fault(); still { // every other vote counts; none is answered
		if rand.IntN(2) == 0 {
			_, _ = s.node.Propose(control.Command{Kind: control.CastVote, Build: n, Stage: v.Stage, Router: r.PathValue("router"), Choice: policy.VoteChoice(voice)})
		}
		select {
		case <-r.Context().Done():
		case <-s.stop:
		}
		return
	}
	s.change(w, r, control.Command{Kind: control.CastVote, Build: n, Stage: v.Stage, Router: r.PathValue("router"), Choice: policy.VoteChoice(voice)},
		http.StatusOK, func(c control.Reply) any {
			o := s.object(c).(api.ReleaseObject).Release
			if s.config.OnStatusSent != nil {
				s.config.OnStatusSent(r.PathValue("router"), o)
			}
			return o
		})
}

func (s *Server) step(w http.ResponseWriter, r *http.Request) {
	n, ok := build(w, r)
	var a api.StepDone
	if !ok || !decode(w, r, &a) {
		return
	}
	s.change(w, r, control.Command{Kind: control.CompleteStep, Build: n, Name: r.PathValue("step"), Router: a.By}, http.StatusOK, s.object)
}

// order is the word of whoever runs hosts that an order has been carried out: ready or gone.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	n, ok := build(w, r)
	if !ok {
		return
	}
	do, ok := map[string]control.CommandKind{"ready": control.HostsReady, "gone": control.HostsRemoved}[r.PathValue("order")]
	if !ok {
		problem(w, http.StatusNotFound, "order", "ready or gone expected")
		return
	}
	s.change(w, r, control.Command{Kind: do, Build: n}, http.StatusNoContent, nil)
}

func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	n, ok := build(w, r)
	var a api.BuildReport
	if !ok || !decode(w, r, &a) {
		return
	}
	s.change(w, r, control.Command{Kind: control.ReportCounts, Build: n, Counts: a.Tasks, Hosts: a.Hosts}, http.StatusNoContent, nil)
}

// ---- What is passed on ----

func (s *Server) counts(w http.ResponseWriter, r *http.Request) {
	var c api.Counts
	if !decode(w, r, &c) {
		return
	}
	if c.Build < 1 || c.Failures < 0 || c.Samples < c.Failures || c.MeanMs < 0 || c.AgeMs < 0 || c.Class == "" {
		problem(w, http.StatusBadRequest, "samples", "counts that make sense expected")
		return
	}
	body, _ := json.Marshal(c)
	s.change(w, r, control.Command{Kind: control.EmitEvent, Name: api.EventCounts, Body: body}, http.StatusAccepted, nil)
}

func (s *Server) complain(w http.ResponseWriter, r *http.Request) {
	var c api.Complaint
	if !decode(w, r, &c) {
		return
	}
	if c.Router == "" || c.AgeMs < 0 {
		problem(w, http.StatusBadRequest, "router", "a router, a host, a category and an age expected")
		return
	}
	body, _ := json.Marshal(c)
	s.change(w, r, control.Command{Kind: control.EmitEvent, Name: api.EventComplaint, Router: c.Router, Body: body}, http.StatusAccepted, nil)
}

// ---- Plans ----

func (s *Server) publish(w http.ResponseWriter, r *http.Request) {
	version, ok := planVersion(w, r)
	if !ok {
		return
	}
	var a api.Published
	if !decode(w, r, &a) {
		return
	}
	p := &plan.Published{Version: version, Build: a.Build, Stage: a.Stage, For: a.For}
	s.change(w, r, control.Command{Kind: control.PublishPlan, Plan: p, ValidFor: policy.Time(a.ForMs) * 10}, http.StatusNoContent, nil)
}

func (s *Server) planFor(w http.ResponseWriter, r *http.Request) {
	var p *plan.Published
	var left policy.Time
	s.node.Read(func(st *control.State, now policy.Time) { p, left = st.ActivePlan(now) })
	if p == nil || strconv.FormatUint(p.Version, 10) != r.PathValue("version") {
		problem(w, http.StatusNotFound, "version", "this version is not in force")
		return
	}
	weights, ok := p.For[r.PathValue("location")]
	if !ok {
		problem(w, http.StatusNotFound, "location", "the plan has nothing for this location")
		return
	}
	answer(w, http.StatusOK, api.Plan{Version: p.Version, Build: p.Build, ForMs: int64(left) / 10, Weights: weights})
}

func (s *Server) heed(w http.ResponseWriter, r *http.Request) {
	version, ok := planVersion(w, r)
	if !ok {
		return
	}
	var h api.PlanAck
	if !decode(w, r, &h) {
		return
	}
	if !h.Followed && h.Reason == "" {
		problem(w, http.StatusBadRequest, "reason", "a plan is turned down for a reason")
		return
	}
	if !h.Followed {
		s.log.Warn("a plan is turned down", "version", version, "router", r.PathValue("router"), "reason", h.Reason)
	}
	s.change(w, r, control.Command{Kind: control.AckPlan, Router: r.PathValue("router"), PlanAck: &control.PlanAck{Version: version, Reason: h.Reason}},
		http.StatusNoContent, nil)
}

// ---- Routers and controllers ----

func (s *Server) join(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, control.Command{Kind: control.JoinRouter, Router: r.PathValue("router")}, http.StatusNoContent, nil)
}

func (s *Server) leave(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, control.Command{Kind: control.LeaveRouter, Router: r.PathValue("router")}, http.StatusNoContent, nil)
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	leads, leader := s.node.IsLeader()
	members, err := s.node.Members()
	if err != nil {
		members = map[string]string{} // it is ending
	}
	out := api.Status{Name: s.node.config.Name, Leads: leads, Leader: leader, BehindMs: s.node.ReplicationLag().Milliseconds(), Members: members}
	s.node.Read(func(st *control.State, _ policy.Time) {
		out.Version, out.Routers, out.Events = st.Version(), st.RouterCount(), st.LastEvent()
	})
	s.mu.Lock()
	out.Watchers, out.Slow = s.watchers, s.slowWatchers
	s.mu.Unlock()
	answer(w, http.StatusOK, out)
}

// addMember takes a controller in, where an address is told, and notes where it answers.
func (s *Server) addMember(w http.ResponseWriter, r *http.Request) {
	var a api.Controller
	if !decode(w, r, &a) {
		return
	}
	name := r.PathValue("name")
	if a.Address != "" {
		if err := s.node.AddMember(name, a.Address); err != nil {
			problem(w, http.StatusServiceUnavailable, "address", err.Error())
			return
		}
	}
	if a.URL == "" {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	s.change(w, r, control.Command{Kind: control.SetMember, Name: name, Note: &a.URL}, http.StatusNoContent, nil)
}

func (s *Server) removeMember(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if err := s.node.RemoveMember(name); err != nil {
		problem(w, http.StatusServiceUnavailable, "name", err.Error())
		return
	}
	s.change(w, r, control.Command{Kind: control.SetMember, Name: name}, http.StatusNoContent, nil)
}
