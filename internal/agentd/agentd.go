// Package agentd is the build agent of one host on a real machine: it hears the controller's orders, lets agent decide,
// writes the state down and carries the effects out - fetching, checking, starting, probing, stopping. It decides
// nothing, and when the controller can't be reached it goes on with what it has.
package agentd

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dapplefront/agent"
	"dapplefront/build"
	"dapplefront/internal/api"
	"dapplefront/internal/artifact"
	"dapplefront/internal/atomicfile"
	"dapplefront/internal/journal"
	"dapplefront/internal/process"
	"dapplefront/internal/sse"
)

// Config is what an agent is told at start.
type Config struct {
	Name             string      // of the host, to the controller
	Dir              string      // for files, state and output
	Controller       string      // URL, or several with commas between them: where one is out of reach the next is asked
	TLS              *tls.Config // towards controllers; nil for plain HTTP
	Source           artifact.Source
	MaxArtifactBytes int64 // bytes of builds' files held
	MaxOutputBytes   int64 // bytes of output kept of each build
	KeyRing          *build.KeyRing
	Limits           agent.Limits
	WarmUp           time.Duration // how long a host that has started is cold
	DrainDelay       time.Duration // after which a host listed as draining surely gets nothing new
	Env              []string      // for its builds, beside its own
	// For tests: called after each state is on disk; makes a write fail; finds a free port.
	AfterSave  func(n int)         `json:"-"`
	BeforeSave func(n int) error   `json:"-"`
	FreePort   func() (int, error) `json:"-"`
}

// Agent is one running agent.
type Agent struct {
	asked   atomic.Int64 // the one of the controllers that is asked
	post    Config
	log     *slog.Logger
	depot   *artifact.Store
	fetcher *artifact.Fetcher
	journal *journal.Journal
	runner  process.Runner
	machine *agent.Machine
	http    *http.Client

	ctx  context.Context
	stop context.CancelFunc
	wait sync.WaitGroup

	mu      sync.Mutex
	inbox   []agent.Input
	wake    chan struct{}
	cancels map[string]context.CancelFunc // of what is under way for a build
	outbox  []api.AgentReport
	sent    chan struct{}
	number  uint64
	ring    *build.KeyRing // the present one
}

// Start starts an agent where the last one in its folder left off.
func Start(p Config, log *slog.Logger) (*Agent, error) {
	d, err := artifact.Open(p.Dir, p.MaxArtifactBytes)
	if err != nil {
		return nil, err
	}
	j, err := journal.Open(filepath.Join(p.Dir, "journal"))
	if err != nil {
		_ = d.Close()
		return nil, err
	}
	j.AfterSave, j.BeforeSave = p.AfterSave, p.BeforeSave
	if p.FreePort == nil {
		p.FreePort = freePort
	}
	was, err := j.Load()
	if err == nil {
		for _, sub := range []string{"manifests", "output"} {
			if err2 := os.MkdirAll(filepath.Join(p.Dir, sub), 0o755); err == nil {
				err = err2
			}
		}
	}
	if err != nil {
		_ = j.Close()
		_ = d.Close()
		return nil, err
	}
	dir, err := filepath.Abs(p.Dir)
	if err != nil {
		dir = p.Dir
	}
	a := &Agent{post: p, log: log.With("agent", p.Name), depot: d, journal: j, fetcher: d.NewFetcher(p.Source),
		runner: process.Runner{Owner: dir, OutputDir: filepath.Join(dir, "output"), MaxOutputBytes: p.MaxOutputBytes, Env: p.Env}, wake: make(chan struct{}, 1),
		sent: make(chan struct{}, 1), cancels: map[string]context.CancelFunc{}, http: &http.Client{Transport: &http.Transport{TLSClientConfig: p.TLS}},
		number: was.LastReport, outbox: was.Reports}
	a.ring = a.lastRing()
	a.ctx, a.stop = context.WithCancel(context.Background())
	var effects []agent.Effect
	a.machine, effects = agent.Resume(time.Now(), p.Limits, was.State, a.alive)
	a.note(effects)
	if err := j.Save(a.entry()); err != nil {
		a.Close()
		return nil, err
	}
	a.nudge()
	for _, e := range effects {
		a.carry(e)
	}
	a.spawn(a.loop)
	a.spawn(a.report)
	a.spawn(func() {
		sse.FollowAny(a.ctx, a.http, func() string { return a.controller() + "/orders" }, a.order, func(err error) {
			a.asked.Add(1)
			a.log.Warn("controller", "error", err)
		})
	})
	a.spawn(a.trim)
	return a, nil
}

// Close ends the agent; builds run on, and the next agent in this folder takes them over.
func (a *Agent) Close() {
	a.stop()
	a.wait.Wait()
	_ = a.journal.Close()
	_ = a.depot.Close()
}

// Stop ends the agent and all that it runs.
func (a *Agent) Stop() {
	a.stop()
	a.wait.Wait()
	for _, r := range a.machine.State.Instances() {
		_ = a.runner.Stop(r.Digest, time.Second)
	}
	_ = a.journal.Close()
	_ = a.depot.Close()
}

func (a *Agent) spawn(do func()) {
	a.wait.Add(1)
	go func() { defer a.wait.Done(); do() }()
}

// alive finds a run's process: the one that was written down, or one that a dead agent had no time to write down.
func (a *Agent) alive(r agent.Instance) (agent.Process, bool) {
	if process.Alive(r.Process) {
		return r.Process, true
	}
	if all := a.runner.Find(r.Digest); len(all) > 0 && all[0].Port > 0 {
		all[0].StartedAt = time.Now()
		return all[0], true
	}
	return agent.Process{}, false
}

// hear hands an input in.
func (a *Agent) hear(in agent.Input) {
	a.mu.Lock()
	a.inbox = append(a.inbox, in)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// loop takes one input after the other: decide, write down, carry out.
func (a *Agent) loop() {
	for {
		a.mu.Lock()
		var in agent.Input
		if len(a.inbox) > 0 {
			in, a.inbox = a.inbox[0], a.inbox[1:]
		}
		a.mu.Unlock()
		if in == nil {
			select {
			case <-a.ctx.Done():
				return
			case <-a.wake:
			}
			continue
		}
		if !a.take(in) {
			return
		}
	}
}

// take decides on one input. What can't be written down is not carried out: the state is put back, and the input is
// tried again until the disk takes it.
func (a *Agent) take(in agent.Input) bool {
	was, err := json.Marshal(a.entry())
	for err == nil {
		a.mu.Lock()
		effects := a.machine.Handle(time.Now(), in)
		a.mu.Unlock()
		a.note(effects)
		if err = a.journal.Save(a.entry()); err == nil {
			for _, e := range effects {
				a.carry(e)
			}
			a.nudge()
			return true
		}
		a.log.Error("the state can't be written down; nothing is done", "error", err)
		var back journal.Entry
		if err = json.Unmarshal(was, &back); err != nil {
			break
		}
		a.mu.Lock()
		a.machine.State, a.outbox, a.number = back.State, back.Reports, back.LastReport
		a.mu.Unlock()
		select {
		case <-a.ctx.Done():
			return false
		case <-time.After(200 * time.Millisecond):
		}
	}
	a.log.Error("the state is not to be kept", "error", err)
	return false
}

// entry is what is to be written down.
func (a *Agent) entry() journal.Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	return journal.Entry{State: a.machine.State, Reports: append([]api.AgentReport(nil), a.outbox...), LastReport: a.number}
}

// note puts the reports among effects into the outbox, so that they are written down with the state.
func (a *Agent) note(effects []agent.Effect) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range effects {
		var r api.AgentReport
		switch e := e.(type) {
		case agent.PublishEndpoint:
			r = api.AgentReport{Digest: e.Digest, Listing: string(e.State), AtMs: time.Now().UnixMilli()}
			if run := a.machine.State.Instance(e.Digest); run != nil {
				r.Build, r.UpMs = run.Build, run.Process.StartedAt.UnixMilli()
				r.Address = net.JoinHostPort("127.0.0.1", strconv.Itoa(run.Process.Port))
			}
		case agent.ReportTransition:
			a.log.Info("build", "build", e.Build, "digest", e.Digest[:min(12, len(e.Digest))], "from", e.From, "to", e.To,
				"cause", e.Cause)
			r = api.AgentReport{Build: e.Build, Digest: e.Digest, From: string(e.From), To: string(e.To), Cause: e.Cause,
				AtMs: e.At.UnixMilli()}
		default:
			continue
		}
		a.number++
		r.Number = a.number
		if a.outbox = append(a.outbox, r); len(a.outbox) > mostReports {
			a.outbox = a.outbox[1:]
		}
	}
}

func (a *Agent) nudge() {
	select {
	case a.sent <- struct{}{}:
	default:
	}
}

// State is a copy of what the agent knows.
func (a *Agent) State() (s agent.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	raw, _ := json.Marshal(a.machine.State)
	_ = json.Unmarshal(raw, &s)
	return s
}

func (a *Agent) order(event string, data []byte) error {
	if event != "order" {
		return nil
	}
	var o api.Order
	if err := json.Unmarshal(data, &o); err != nil {
		return fmt.Errorf("order: %w", err)
	}
	goal := agent.ParseGoal(o.Goal)
	if goal == 0 || !plain(o.Digest) || o.To != "" && !plain(o.To) {
		return fmt.Errorf("an order that makes no sense: %s", data)
	}
	a.hear(agent.Order{Number: o.Number, Digest: o.Digest, Build: o.Build, Goal: goal, AllowBelowMinVersion: o.Old, RollbackTo: o.To, RollbackToBuild: o.ToNum})
	return nil
}

// plain tells whether a word can be a digest, as it becomes part of paths.
func plain(digest string) bool {
	return len(digest) == 64 && strings.Trim(digest, "0123456789abcdef") == ""
}

// ---- Effects ----

// carry carries an effect out; none blocks.
func (a *Agent) carry(e agent.Effect) {
	switch e := e.(type) {
	case agent.Fetch:
		a.under(e.Digest, func(ctx context.Context) { a.fetch(ctx, e) })
	case agent.Verify:
		a.under(e.Digest, func(ctx context.Context) { a.check(ctx, e) })
	case agent.Start:
		a.under(e.Digest, func(ctx context.Context) { a.start(ctx, e.Digest) })
	case agent.Watch:
		r := a.machine.State.Instance(e.Digest)
		p, starting := r.Process, r.Phase == agent.Starting
		a.under(e.Digest, func(ctx context.Context) { a.adopt(ctx, e.Digest, p, starting) })
	case agent.Cancel:
		a.cancel(e.Digest)
	case agent.Stop:
		a.cancel(e.Digest)
		a.spawn(func() { a.halt(e.Digest) })
	case agent.AwaitWarmUp:
		up := time.Now()
		if run := a.machine.State.Instance(e.Digest); run != nil {
			up = run.Process.StartedAt
		}
		a.later(time.Until(up.Add(a.post.WarmUp)), agent.WarmedUp{Digest: e.Digest})
	case agent.AwaitDrain:
		a.later(a.post.DrainDelay, agent.Drained{Digest: e.Digest})
	case agent.Backoff:
		a.later(e.Delay, agent.BackoffElapsed{Digest: e.Digest})
	case agent.CollectGarbage:
		a.collect()
	} // List and Report are in the outbox
}

func (a *Agent) later(d time.Duration, in agent.Input) {
	a.spawn(func() {
		select {
		case <-a.ctx.Done():
		case <-time.After(d):
			a.hear(in)
		}
	})
}

// under runs something for a build, which a later such thing or a Cancel ends.
func (a *Agent) under(digest string, do func(context.Context)) {
	ctx, cancel := context.WithCancel(a.ctx)
	a.mu.Lock()
	if was := a.cancels[digest]; was != nil {
		was()
	}
	a.cancels[digest] = cancel
	a.mu.Unlock()
	a.spawn(func() { do(ctx) })
}

func (a *Agent) cancel(digest string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if was := a.cancels[digest]; was != nil {
		was()
		delete(a.cancels, digest)
	}
}

// done reports an outcome unless it is no longer wanted.
func (a *Agent) done(ctx context.Context, in agent.Input) {
	if ctx.Err() == nil {
		a.hear(in)
	}
}

func (a *Agent) file(digest, kind string) string {
	return filepath.Join(a.post.Dir, "manifests", digest+kind)
}

// fetch brings the manifest and its signatures, and the files only of a build that is signed.
func (a *Agent) fetch(ctx context.Context, e agent.Fetch) {
	a.nextRings(ctx)
	err := a.manifest(ctx, e.Digest)
	var m *build.Manifest
	if err == nil {
		m, err = a.verified(e.Digest, e.AllowBelowMinVersion)
	}
	if err == nil {
		err = a.fetcher.Fetch(ctx, m)
	}
	if err != nil {
		a.done(ctx, agent.OperationFailed{Digest: e.Digest, Reason: err.Error()})
		return
	}
	a.done(ctx, agent.Fetched{Digest: e.Digest})
}

// manifest brings a manifest and its signatures from whichever mirror gives the right ones.
func (a *Agent) manifest(ctx context.Context, digest string) error {
	if raw, err := os.ReadFile(a.file(digest, ".json")); err == nil && build.Digest(raw) == digest {
		return nil
	}
	var last error
	for try := range max(1, a.post.Source.MaxAttempts) {
		for _, mirror := range a.post.Source.Mirrors {
			raw, err := a.get(ctx, mirror, "/manifest/"+digest)
			var signatures []byte
			if err == nil && build.Digest(raw) != digest {
				err = errors.New("another manifest came")
			}
			if err == nil {
				signatures, err = a.get(ctx, mirror, "/signatures/"+digest)
			}
			if err == nil {
				err = atomicfile.Write(a.file(digest, ".sigs"), signatures, 0o600)
			}
			if err == nil {
				err = atomicfile.Write(a.file(digest, ".json"), raw, 0o600)
			}
			if err == nil {
				return nil
			}
			last = fmt.Errorf("manifest from %s: %w", mirror, err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(a.post.Source.Backoff << min(try, 6)):
		}
	}
	return last
}

func (a *Agent) get(ctx context.Context, mirror, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, max(a.post.Source.IdleTimeout, time.Second))
	defer cancel()
	ask, err := http.NewRequestWithContext(ctx, "GET", strings.TrimSuffix(mirror, "/")+path, nil)
	if err != nil {
		return nil, err
	}
	got, err := a.http.Do(ask)
	if err != nil {
		return nil, err
	}
	defer got.Body.Close()
	if got.StatusCode != 200 {
		return nil, fmt.Errorf("status %s", got.Status)
	}
	return io.ReadAll(io.LimitReader(got.Body, build.MaxManifestBytes+1))
}

// verified reads a manifest that is here and checks who signed it.
func (a *Agent) verified(digest string, old bool) (*build.Manifest, error) {
	raw, err := os.ReadFile(a.file(digest, ".json"))
	if err != nil {
		return nil, err
	}
	if build.Digest(raw) != digest {
		return nil, errors.New("the manifest is not the one that was ordered")
	}
	text, err := os.ReadFile(a.file(digest, ".sigs"))
	if err != nil {
		return nil, err
	}
	var signatures []string
	if err := json.Unmarshal(text, &signatures); err != nil {
		return nil, fmt.Errorf("signatures: %w", err)
	}
	all := make([][]byte, len(signatures))
	for i, s := range signatures {
		all[i] = []byte(s)
	}
	a.mu.Lock()
	ring := a.ring
	a.mu.Unlock()
	m, _, err := ring.Verify(raw, all, time.Now(), old)
	return m, err
}

// lastRing is the ring that was told at start, or a later one that took its place.
func (a *Agent) lastRing() *build.KeyRing {
	raw, err := os.ReadFile(filepath.Join(a.post.Dir, "ring.json"))
	if err == nil {
		r, err := build.ReadKeyRing(raw)
		if err == nil && r.Version > a.post.KeyRing.Version && r.Group == a.post.KeyRing.Group {
			return r
		}
	}
	return a.post.KeyRing
}

// nextRings looks for later rings, one version after the other, each signed by the keys of the one before. A mirror that
// has none, or a wrong one, changes nothing.
func (a *Agent) nextRings(ctx context.Context) {
	for range 100 {
		a.mu.Lock()
		ring := a.ring
		a.mu.Unlock()
		found := false
		for _, mirror := range a.post.Source.Mirrors {
			path := "/ring/" + strconv.Itoa(ring.Version+1)
			raw, err := a.get(ctx, mirror, path)
			if err != nil {
				continue
			}
			var texts []string
			sigs, err := a.get(ctx, mirror, path+".sigs")
			if err == nil {
				err = json.Unmarshal(sigs, &texts)
			}
			var all [][]byte
			for _, s := range texts {
				all = append(all, []byte(s))
			}
			var next *build.KeyRing
			if err == nil {
				next, err = ring.Next(raw, all, time.Now())
			}
			if err == nil {
				err = atomicfile.Write(filepath.Join(a.post.Dir, "ring.json"), raw, 0o600)
			}
			if err != nil {
				a.log.Warn("a ring is not taken", "version", ring.Version+1, "error", err)
				continue
			}
			a.log.Info("a new ring", "version", next.Version, "keys", len(next.Keys), "floor", next.MinVersion)
			a.mu.Lock()
			a.ring = next
			a.mu.Unlock()
			found = true
			break
		}
		if !found {
			return
		}
	}
}

// check reads everything again, signatures and files, and lays the build out.
func (a *Agent) check(ctx context.Context, e agent.Verify) {
	m, err := a.verified(e.Digest, e.AllowBelowMinVersion)
	if err == nil {
		err = a.depot.Verify(m)
	}
	if err == nil {
		_, err = a.depot.Install(e.Digest, m)
	}
	if err != nil {
		_ = os.Remove(a.file(e.Digest, ".sigs")) // fetched anew the next time
		_ = os.Remove(a.file(e.Digest, ".json"))
		a.done(ctx, agent.OperationFailed{Digest: e.Digest, Reason: err.Error()})
		return
	}
	a.done(ctx, agent.Verified{Digest: e.Digest})
}

// here is the manifest of a build that has been checked.
func (a *Agent) here(digest string) (*build.Manifest, error) {
	raw, err := os.ReadFile(a.file(digest, ".json"))
	if err != nil {
		return nil, err
	}
	return build.ReadManifest(raw)
}

func (a *Agent) start(ctx context.Context, digest string) {
	m, err := a.here(digest)
	var dir string
	if err == nil {
		dir, err = a.depot.Install(digest, m)
	}
	if err == nil {
		err = a.runner.Stop(digest, 0) // what an earlier try has left behind
	}
	var port int
	if err == nil {
		port, err = a.post.FreePort()
	}
	if err != nil {
		a.done(ctx, agent.OperationFailed{Digest: digest, Reason: err.Error()})
		return
	}
	words := make([]string, len(m.Start))
	for i, w := range m.Start {
		words[i] = strings.ReplaceAll(w, "{port}", strconv.Itoa(port))
	}
	if ctx.Err() != nil {
		return
	}
	p, ended, err := a.runner.Start(digest, dir, words, port)
	if err != nil {
		a.done(ctx, agent.OperationFailed{Digest: digest, Reason: err.Error()})
		return
	}
	a.done(ctx, agent.Started{Digest: digest, Process: p})
	a.spawn(func() {
		select {
		case err := <-ended:
			a.done(ctx, agent.Exited{Digest: digest, Reason: err.Error()})
		case <-ctx.Done():
		}
	})
	a.await(ctx, digest, m, port, time.Now())
}

// adopt takes over a process that runs already.
func (a *Agent) adopt(ctx context.Context, digest string, p agent.Process, starting bool) {
	a.spawn(func() {
		for ctx.Err() == nil {
			if !process.Alive(p) {
				a.done(ctx, agent.Exited{Digest: digest, Reason: "its process has ended"})
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	if !starting {
		return
	}
	m, err := a.here(digest)
	if err != nil {
		a.done(ctx, agent.OperationFailed{Digest: digest, Reason: err.Error()})
		return
	}
	a.done(ctx, agent.Started{Digest: digest, Process: p})
	a.await(ctx, digest, m, p.Port, time.Now())
}

// await waits until a build says that it is ready and answers its probe.
func (a *Agent) await(ctx context.Context, digest string, m *build.Manifest, port int, began time.Time) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		if _, err := os.Stat(a.runner.ReadyFile(digest)); err == nil {
			got, err := client.Get(fmt.Sprintf("http://127.0.0.1:%d%s", port, m.Ready.Path))
			if err == nil {
				_ = got.Body.Close()
				if got.StatusCode == 200 {
					a.done(ctx, agent.Ready{Digest: digest})
					return
				}
			}
		}
		if time.Since(began) > time.Duration(m.Ready.Within) {
			if a.cancel(digest); ctx.Err() != nil && a.ctx.Err() == nil { // its end is no news any more
				_ = a.runner.Stop(digest, 0)
				a.hear(agent.OperationFailed{Digest: digest, Reason: "it was not ready in time"})
			}
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// freePort is a port that nobody listens on just now. One that is taken in between makes the build's start fail, and
// the next try gets another.
func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (a *Agent) halt(digest string) {
	within := time.Second
	if m, err := a.here(digest); err == nil {
		within = time.Duration(m.Drain.Within)
	}
	if err := a.runner.Stop(digest, within); err != nil {
		a.log.Error("a build does not end", "digest", digest, "error", err)
		a.hear(agent.OperationFailed{Digest: digest, Reason: err.Error()})
		return
	}
	a.hear(agent.Exited{Digest: digest, Reason: "as told"})
}

// collect removes the files of builds that the state does not name.
func (a *Agent) collect() {
	keep := map[string]*build.Manifest{}
	for _, r := range a.machine.State.Instances() {
		keep[r.Digest] = &build.Manifest{}
		if m, err := a.here(r.Digest); err == nil {
			keep[r.Digest] = m
		} else if r.Phase == agent.Fetching {
			return // its files are not known yet
		}
	}
	if err := a.depot.CollectGarbage(keep); err != nil {
		a.log.Warn("old builds are not removed", "error", err)
	}
}

// trim keeps outputs within their bounds.
func (a *Agent) trim() {
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-time.After(time.Second):
		}
		s := a.State()
		for _, r := range s.Instances() {
			if err := a.runner.TrimOutput(r.Digest); err != nil {
				a.log.Warn("output is not trimmed", "error", err)
			}
		}
	}
}

// ---- Reports ----

const mostReports = 1000 // kept for a controller that can't be reached; then the oldest go

// report sends what is in the outbox, in order, again and again until the controller takes it.
func (a *Agent) report() {
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-a.sent:
		}
		for a.ctx.Err() == nil {
			a.mu.Lock()
			batch := append([]api.AgentReport(nil), a.outbox...)
			a.mu.Unlock()
			if len(batch) == 0 {
				break
			}
			if err := a.send(batch); err != nil {
				a.log.Warn("reports are not taken", "error", err)
				select {
				case <-a.ctx.Done():
				case <-time.After(200 * time.Millisecond):
				}
				continue
			}
			last := batch[len(batch)-1].Number
			a.mu.Lock()
			for len(a.outbox) > 0 && a.outbox[0].Number <= last {
				a.outbox = a.outbox[1:]
			}
			a.mu.Unlock()
		}
	}
}

// controller is where the agent's own paths are at the controller that is asked now.
func (a *Agent) controller() string {
	all := strings.Split(a.post.Controller, ",")
	return strings.TrimSuffix(strings.TrimSpace(all[int(a.asked.Load())%len(all)]), "/") + "/v1/agents/" + url.PathEscape(a.post.Name)
}

func (a *Agent) send(batch []api.AgentReport) error {
	body, err := json.Marshal(batch)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(a.ctx, 2*time.Second)
	defer cancel()
	ask, err := http.NewRequestWithContext(ctx, "POST", a.controller()+"/reports", strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	ask.Header.Set("Content-Type", "application/json")
	got, err := a.http.Do(ask)
	if err != nil {
		a.asked.Add(1)
		return err
	}
	_ = got.Body.Close()
	if got.StatusCode >= 300 {
		a.asked.Add(1)
		return fmt.Errorf("status %s", got.Status)
	}
	return nil
}
