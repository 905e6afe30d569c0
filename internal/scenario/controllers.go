package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"dapplefront/client"
	"dapplefront/control"
	"dapplefront/internal/api"
	"dapplefront/internal/audit"
	"dapplefront/plan"
	"dapplefront/policy"
	"dapplefront/release"
)

const (
	controllerStartTimeout   = 10 * time.Second // time limit for a controller to join the group, and for the first election
	controllerRequestTimeout = 5 * time.Second  // timeout of a request to the controllers
	planValidFor             = 4 * time.Second  // validity of a published traffic plan
)

// deployer carries out the orders of a release. Both methods return when the order is complete or the context ends. They
// report a completed order to the controllers.
type deployer interface {
	deploy(ctx context.Context, build int, share float64)
	retire(ctx context.Context, build int)
}

// Transition is a change of a release's stage or phase.
type Transition struct {
	At    time.Duration `json:"At"` // on the recorder's clock, which starts just before the scenario's components are started
	Build int           `json:"Build"`
	Stage int           `json:"Stage"`
	Phase policy.Phase  `json:"Phase"`
}

// RestartCounts counts the restarts of controllers.
type RestartCounts struct {
	All     int
	Leaders int // restarts of an instance that was the leader
}

// controllerGroup is the scenario's release controllers: one to five instances of the real controller on loopback.
type controllerGroup struct {
	log       *slog.Logger
	recorder  *audit.Recorder
	params    parameters
	dir       string
	client    *client.Client
	instances []*controllerInstance

	ctx        context.Context // ends with stopBackground
	cancel     context.CancelFunc
	background sync.WaitGroup // the watch, the orders of releases, the reports of request counts, and restarts

	mu          sync.Mutex
	deployer    deployer
	agents      *agentReports // nil without agents
	transitions []Transition
	extraDelay  time.Duration // injected fault: additional delay of status notifications and request counts
	stalled     bool          // injected fault: the controllers answer no request
	counts      map[countKey]*requestCounts
	acks        map[uint64]map[string]api.PlanAck // by version of the traffic plan, then by router
	restarts    RestartCounts
}

// countKey groups the counted requests.
type countKey struct {
	build int
	class string
}

// requestCounts counts the responses of a build's backends in one class since the counts were last sent to the controllers.
type requestCounts struct {
	failures, samples, successes int
	latency                      time.Duration // sum of the latencies of the successes
}

// controllerOptions configures a group of controllers.
type controllerOptions struct {
	count    int
	rules    release.Rules
	params   parameters
	dir      string
	issuer   *certificateIssuer // nil without TLS
	recorder *audit.Recorder
	log      *slog.Logger
}

// startControllers starts the controllers with build 1 as the released build, and waits until one of them is the leader.
func startControllers(o controllerOptions) (*controllerGroup, error) {
	ctx, cancel := context.WithCancel(context.Background())
	g := &controllerGroup{log: o.log, recorder: o.recorder, params: o.params, dir: o.dir, ctx: ctx, cancel: cancel,
		counts: map[countKey]*requestCounts{}, acks: map[uint64]map[string]api.PlanAck{}}
	if err := g.startInstances(o); err != nil {
		g.stop()
		return nil, err
	}
	g.background.Go(func() { g.client.Watch(ctx, g.handleEvent, func(error) {}) })
	g.background.Go(g.emitCounts)
	return g, nil
}

func (g *controllerGroup) startInstances(o controllerOptions) error {
	clientTLS, err := o.issuer.clientTLS("day")
	if err != nil {
		return err
	}
	var httpClient *http.Client // without TLS nil, which means the default client
	if clientTLS != nil {
		httpClient = &http.Client{Transport: &http.Transport{TLSClientConfig: clientTLS}}
	}
	var urls []string
	for i := range o.count {
		instance, err := g.newInstance(i, o)
		if err != nil {
			return err
		}
		g.instances = append(g.instances, instance)
		if err := instance.start(o.log); err != nil {
			return fmt.Errorf("start controller %s: %w", instance.nodeConfig.Name, err)
		}
		instance.pinAddresses()
		urls = append(urls, instance.serverConfig.URL)
		g.client = client.New(urls, httpClient)
		if i == 0 {
			continue
		}
		if err := g.addMember(instance); err != nil {
			return fmt.Errorf("add controller %s: %w", instance.nodeConfig.Name, err)
		}
	}
	for deadline := time.Now().Add(controllerStartTimeout); g.leader() == nil; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errors.New("no controller became the leader")
		}
	}
	return nil
}

func (g *controllerGroup) addMember(instance *controllerInstance) error {
	ctx, cancel := context.WithTimeout(g.ctx, controllerStartTimeout)
	defer cancel()
	member := api.Controller{Address: instance.nodeConfig.Listen, URL: instance.serverConfig.URL}
	return g.client.AddController(ctx, instance.nodeConfig.Name, member)
}

// stopBackground ends the watch and all background work, and waits for it. The controllers still answer requests.
func (g *controllerGroup) stopBackground() {
	g.cancel()
	g.background.Wait()
}

// stop stops the background work, then the controllers, and removes the controllers' stores.
func (g *controllerGroup) stop() {
	g.stopBackground()
	for _, instance := range g.instances {
		instance.stop(g.log)
	}
	if err := os.RemoveAll(g.dir); err != nil {
		g.log.Warn("failed to remove the controllers' stores", "folder", g.dir, "error", err)
	}
}

// leader returns the instance that is the leader, or nil if there is none.
func (g *controllerGroup) leader() *controllerInstance {
	for _, instance := range g.instances {
		if instance.leads() {
			return instance
		}
	}
	return nil
}

// restartInstance stops the leader or another instance, and starts it again after 400 to 800 ms with the same store. It
// does nothing if there are fewer than three instances or none is the leader.
func (g *controllerGroup) restartInstance(ofLeader bool) {
	if len(g.instances) < 3 {
		return
	}
	leader := g.leader()
	if leader == nil {
		return
	}
	chosen := leader
	if !ofLeader {
		chosen = g.instances[slices.IndexFunc(g.instances, func(i *controllerInstance) bool { return i != leader })]
	}
	g.mu.Lock()
	if g.restarts.All++; ofLeader {
		g.restarts.Leaders++
	}
	g.mu.Unlock()
	chosen.stop(g.log)
	time.Sleep(time.Duration(400+rand.IntN(400)) * time.Millisecond)
	if err := chosen.start(g.log); err != nil {
		g.log.Error("failed to restart controller", "controller", chosen.nodeConfig.Name, "error", err)
	}
}

func (g *controllerGroup) restartCounts() RestartCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.restarts
}

// injectedFault returns the fault that the controllers' servers simulate: the delay of their notifications, and whether
// requests go unanswered.
func (g *controllerGroup) injectedFault() (delay time.Duration, stalled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.params.statusDelay + g.extraDelay, g.stalled
}

func (g *controllerGroup) setExtraDelay(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.extraDelay = d
}

func (g *controllerGroup) setStalled(stalled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stalled = stalled
}

func (g *controllerGroup) setDeployer(d deployer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deployer = d
}

func (g *controllerGroup) setAgentReports(reports *agentReports) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.agents = reports
}

// recordStatus records for the audit which status was sent to a router.
func (g *controllerGroup) recordStatus(router string, r api.Release) {
	released := r.Phase == api.Phases[policy.Released]
	g.recorder.ReleaseAnnounced(router, audit.ReleaseStatus{Build: r.Build, Stage: r.Stage, Released: released, ExposureCap: r.ExposureCap})
}

// handleEvent handles an event of the watch. It starts carrying out orders in the background, and records transitions.
func (g *controllerGroup) handleEvent(event string, data []byte) error {
	g.mu.Lock()
	d, agents := g.deployer, g.agents
	g.mu.Unlock()
	switch event {
	case "agent":
		if agents != nil {
			return agents.handleEvent(data)
		}
	case "place":
		var order control.DeployOrder
		if err := json.Unmarshal(data, &order); err != nil {
			return fmt.Errorf("event %s: %w", event, err)
		}
		g.background.Go(func() { d.deploy(g.ctx, order.Build, order.Share) })
	case "retire":
		var order control.RetireOrder
		if err := json.Unmarshal(data, &order); err != nil {
			return fmt.Errorf("event %s: %w", event, err)
		}
		g.background.Go(func() { d.retire(g.ctx, order.Build) })
	case api.EventReleaseStatus:
		var r api.Release
		if err := json.Unmarshal(data, &r); err != nil {
			return fmt.Errorf("event %s: %w", event, err)
		}
		status, err := r.Status()
		if err != nil {
			return fmt.Errorf("event %s: %w", event, err)
		}
		g.recordTransition(status)
	}
	return nil
}

// recordTransition records a transition, unless it equals the last one recorded or belongs to build 1. In each stage of a
// canary one instance is restarted: the leader in stages 1 and 2, another one in the other stages.
func (g *controllerGroup) recordTransition(status policy.ReleaseStatus) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if status.Build == 1 {
		return
	}
	if n := len(g.transitions); n > 0 {
		last := g.transitions[n-1]
		if last.Build == status.Build && last.Stage == status.Stage && last.Phase == status.Phase {
			return
		}
	}
	g.transitions = append(g.transitions, Transition{At: g.recorder.Now(), Build: status.Build, Stage: status.Stage, Phase: status.Phase})
	if status.Phase == policy.Canary {
		ofLeader := status.Stage == 1 || status.Stage == 2
		g.background.Go(func() { g.restartInstance(ofLeader) })
	}
}

func (g *controllerGroup) listTransitions() []Transition {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Transition(nil), g.transitions...)
}

// emitCounts sends the request counts to the controllers every two seconds, each time with a delay of one second plus the
// injected delay.
func (g *controllerGroup) emitCounts() {
	for sleep(g.ctx, 2*time.Second) {
		g.mu.Lock()
		counts, delay := g.counts, time.Second+g.extraDelay
		g.counts = map[countKey]*requestCounts{}
		g.mu.Unlock()
		g.background.Go(func() {
			if !sleep(g.ctx, delay) {
				return
			}
			for key, c := range counts {
				message := api.Counts{Build: key.build, Class: key.class, Failures: c.failures, Samples: c.samples, AgeMs: delay.Milliseconds()}
				if c.successes > 0 {
					message.MeanMs = float64(c.latency.Microseconds()) / 1000 / float64(c.successes)
				}
				g.request(func(ctx context.Context) error { return g.client.EmitCounts(ctx, message) })
			}
		})
	}
}

// countRequest counts a request to which a backend has responded. It counts only a random share of them, countedShare.
func (g *controllerGroup) countRequest(build int, class string, latency time.Duration, failed bool) {
	if rand.Float64() >= countedShare {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	key := countKey{build, class}
	c := g.counts[key]
	if c == nil {
		c = &requestCounts{}
		g.counts[key] = c
	}
	if c.samples++; failed {
		c.failures++
	} else {
		c.successes++
		c.latency += latency
	}
}

// request sends a request to the controllers. If that fails, it logs the error.
func (g *controllerGroup) request(do func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(g.ctx, controllerRequestTimeout)
	defer cancel()
	if err := do(ctx); err != nil {
		g.log.Warn("request to the controllers failed", "error", err)
	}
}

// submit sends an offered build or an event of the fleet to the controllers. Routers send their votes themselves.
func (g *controllerGroup) submit(input release.Input) {
	g.request(func(ctx context.Context) error {
		switch in := input.(type) {
		case release.Offer:
			_, err := g.client.Create(ctx, api.CreateRelease{Build: in.Build}, fmt.Sprint("day-", in.Build))
			return err
		case release.HostsReady:
			return g.client.CompleteOrder(ctx, in.Build, "ready")
		case release.HostsRemoved:
			return g.client.CompleteOrder(ctx, in.Build, "gone")
		case release.RollBack:
			_, err := g.client.RollBack(ctx, in.Build)
			return err
		}
		return fmt.Errorf("the fleet can't submit input of type %T", input)
	})
}

// read calls f with the state of the leader or, without one, of the first instance that runs.
func (g *controllerGroup) read(f func(*control.State)) {
	for _, instance := range append([]*controllerInstance{g.leader()}, g.instances...) {
		if instance != nil && instance.read(f) {
			return
		}
	}
}

func (g *controllerGroup) status() (status release.Status) {
	g.read(func(s *control.State) { status = s.Status() })
	return status
}

func (g *controllerGroup) previousBuild() (build int) {
	g.read(func(s *control.State) { build = s.PreviousBuild() })
	return build
}

// firstURL returns the URL of the first instance.
func (g *controllerGroup) firstURL() string { return g.instances[0].serverConfig.URL }

// urls returns the URLs of all instances, separated by commas.
func (g *controllerGroup) urls() string {
	var all []string
	for _, instance := range g.instances {
		all = append(all, instance.serverConfig.URL)
	}
	return strings.Join(all, ", ")
}

func (g *controllerGroup) publishPlan(p *plan.Published) {
	g.recordPlanAcks()
	g.request(func(ctx context.Context) error {
		published := api.Published{Build: p.Build, Stage: p.Stage, ValidForMs: planValidFor.Milliseconds(), For: p.ByZone}
		return g.client.PublishPlan(ctx, p.Version, published)
	})
}

// recordPlanAcks stores the routers' acknowledgements of the plan in force, before the next plan replaces it.
func (g *controllerGroup) recordPlanAcks() {
	g.read(func(s *control.State) {
		active, _ := s.ActivePlan(s.Clock())
		if active == nil {
			return
		}
		byRouter := map[string]api.PlanAck{}
		for router, ack := range s.PlanAcks() {
			byRouter[router] = api.PlanAck{Followed: ack.Reason == "", Reason: ack.Reason}
		}
		g.mu.Lock()
		g.acks[active.Version] = byRouter
		g.mu.Unlock()
	})
}

// planAcks returns the acknowledgements of all plans so far, by version and router.
func (g *controllerGroup) planAcks() map[uint64]map[string]api.PlanAck {
	g.recordPlanAcks()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.acks
}
