package scenario

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"dapplefront/internal/audit"
	"dapplefront/internal/proxy"
	"dapplefront/internal/testbed"
	"dapplefront/policy"
	"dapplefront/release"
)

// run is a running scenario.
type run struct {
	spec        Spec
	params      parameters
	log         *slog.Logger
	dir         string // scratch files; removed at the end
	recorder    *audit.Recorder
	discovery   *testbed.DiscoveryServer
	controllers *controllerGroup
	issuer      *certificateIssuer // nil without TLS
	localFleet  *localFleet        // backends inside this process; nil with agents
	agentFleet  *agentFleet        // backends under agents; nil without agents
	clients     *testbed.Clients
	routers     []*routerInstance
	background  sync.WaitGroup // rollouts, faults and the publisher of traffic plans

	mu            sync.Mutex
	rand          *rand.Rand
	configUpdates int

	stageScores []StageScore // used only by the goroutine that runs reportProgress
}

// Run runs a scenario for its length or until the context ends, and has the audit judge what was observed. It writes one
// line per second to progress, which may be nil. An error means that the scenario could not start.
func Run(ctx context.Context, spec Spec, log *slog.Logger, progress io.Writer) (*Result, error) {
	if err := spec.validate(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "dapplefront-day-")
	if err != nil {
		return nil, err
	}
	r := &run{spec: spec, params: standardParameters(spec.Zones), log: log, dir: dir, recorder: audit.NewRecorder(),
		rand: rand.New(rand.NewPCG(spec.Seed, 5))}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, spec.Length)
	defer cancel()
	r.schedule(ctx)
	plans := r.publishPlans(ctx)
	clientsDone := make(chan struct{})
	go func() { r.clients.Run(ctx); close(clientsDone) }()
	r.reportProgress(clientsDone, started, progress)
	r.background.Wait()
	return r.result(started, plans), nil
}

// result collects the measurements and has the audit judge the rules.
func (r *run) result(started time.Time, plans *PlanStatistics) *Result {
	result := &Result{Spec: r.spec, Transitions: r.controllers.listTransitions(), Counts: map[string]proxy.Counts{},
		Elapsed: time.Since(started), Stages: r.stageScores, Plans: plans,
		ControllerRestarts: r.controllers.restartCounts(), ConfigUpdates: r.configUpdates}
	result.Scores, result.Latencies = r.clients.Scores()
	r.controllers.request(func(ctx context.Context) (err error) {
		result.Releases, err = r.controllers.client.List(ctx, nil, "")
		return err
	})
	if plans != nil {
		plans.countAcks(r.controllers.planAcks())
	}
	if r.agentFleet != nil {
		result.Agents = r.agentFleet.statistics()
	}
	zones := map[string]string{}
	for i, router := range r.routers {
		zones[router.name] = r.params.routerZone(i)
		if p := router.running(); p != nil {
			result.Counts[router.name] = p.Counts()
		}
		stats := router.allLoopStats()
		result.LoopStats.Merge(&stats)
	}
	r.recorder.Close()
	if all, crossed := r.recorder.CountCrossZone(zones); all > 0 {
		result.CrossZoneShare = float64(crossed) / float64(all)
	}
	result.Verdicts = r.recorder.Judge(r.params.auditLimits())
	return result
}

// start starts discovery, controllers, backends and routers, in this order, and creates the clients. The clients don't send
// requests yet.
func (r *run) start() (err error) {
	if r.discovery, err = testbed.StartDiscovery("127.0.0.1:0", "day", r.recorder); err != nil {
		return fmt.Errorf("start discovery: %w", err)
	}
	if r.spec.TLS {
		if r.issuer, err = newCertificateIssuer(r.dir); err != nil {
			return fmt.Errorf("create certificate authority: %w", err)
		}
	}
	if r.controllers, err = startControllers(controllerOptions{
		count:    max(1, r.spec.Controllers),
		rules:    r.params.releaseRules(r.spec.Routers),
		params:   r.params,
		dir:      filepath.Join(r.dir, "controllers"),
		issuer:   r.issuer,
		recorder: r.recorder,
		log:      r.log,
	}); err != nil {
		return fmt.Errorf("start controllers: %w", err)
	}
	if r.spec.Agents {
		r.agentFleet, err = newAgentFleet(r)
	} else {
		err = r.startBackends()
	}
	if err != nil {
		return fmt.Errorf("start backends: %w", err)
	}
	targets, err := r.startRouters()
	if err != nil {
		return fmt.Errorf("start routers: %w", err)
	}
	time.Sleep(300 * time.Millisecond) // routers receive the first endpoint update and release status meanwhile
	clientTLS, err := r.issuer.clientTLS("clients")
	if err != nil {
		return fmt.Errorf("issue the clients' certificate: %w", err)
	}
	behavior := testbed.Behavior{RateFactor: 1, MaxRetries: defaultClientRetries, RetryDelay: defaultClientRetryDelay, HonorsRetryAfter: true,
		AbandonRate: .003, ComplaintRate: .3}
	r.clients = testbed.NewClients(requestClasses, targets, behavior, r.recorder, r.controllers.firstURL(), clientTLS, r.spec.Seed)
	return nil
}

// startBackends starts all backends inside this process.
func (r *run) startBackends() error {
	environment := testbed.Environment{Observer: r.recorder, Classes: classesByName(), Keys: &testbed.KeyStore{}}
	r.localFleet = newLocalFleet(r.spec, r.params, environment, r.discovery, r.controllers)
	r.controllers.setDeployer(r.localFleet)
	var all []*backend
	for machine := range r.localFleet.machines {
		b, err := r.localFleet.startBackend(machine, 1, false)
		if err != nil {
			return err
		}
		all = append(all, b)
	}
	r.localFleet.publish(policy.Serving, all...)
	return nil
}

// reportProgress adds up the scores and writes one line per second, until the clients are done.
func (r *run) reportProgress(clientsDone <-chan struct{}, started time.Time, progress io.Writer) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-clientsDone:
			return
		case <-ticker.C:
		}
		if r.localFleet != nil {
			r.localFleet.decayTraffic()
		}
		score, inFlight := r.clients.SinceLast()
		status := r.controllers.status()
		r.addScore(status, score)
		if progress == nil {
			continue
		}
		if _, err := fmt.Fprintf(progress, "%4.0f s  sent %5d  in time %5d  late %4d  rejected %4d  failed %3d  lost %3d  in flight %4d  "+
			"build %d %s, stage %d\n", time.Since(started).Seconds(), score.Requests, score.InTime, score.Late, score.Rejected,
			score.Failed, score.Lost+score.Refused, inFlight, status.Build, phaseNames[status.Phase], status.Stage); err != nil {
			r.log.Warn("failed to write progress", "error", err)
		}
	}
}

// addScore adds the score of one second to the stage and phase that the release is in.
func (r *run) addScore(status release.Status, score testbed.Score) {
	for i := range r.stageScores {
		if x := &r.stageScores[i]; x.Build == status.Build && x.Stage == status.Stage && x.Phase == status.Phase {
			x.Add(score)
			return
		}
	}
	r.stageScores = append(r.stageScores, StageScore{status.Build, status.Stage, status.Phase, score})
}

// randomFloat draws a number from the random number generator that faults and rollouts share.
func (r *run) randomFloat() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.Float64()
}

// close stops everything that was started and waits for it: first the routers, then the background work of the controllers
// on the fleet, then the fleet, the controllers and discovery.
func (r *run) close() {
	for _, router := range r.routers {
		if p := router.detach(); p != nil {
			p.Close()
		}
		router.port.release()
	}
	if r.controllers != nil {
		r.controllers.stopBackground()
	}
	if r.localFleet != nil {
		r.localFleet.close()
	}
	if r.agentFleet != nil {
		r.agentFleet.close()
	}
	if r.controllers != nil {
		r.controllers.stop()
	}
	if r.discovery != nil {
		r.discovery.Stop()
	}
	if err := os.RemoveAll(r.dir); err != nil {
		r.log.Warn("failed to remove scratch folder", "folder", r.dir, "error", err)
	}
}
