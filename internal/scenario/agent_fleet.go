package scenario

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	mathrand "math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"aead.dev/minisign"

	"dapplefront/agent"
	"dapplefront/internal/agentd"
	"dapplefront/internal/api"
	"dapplefront/internal/testbed"
	"dapplefront/policy"
	"dapplefront/release"
)

const (
	orderTimeout     = 30 * time.Second // time limit for an agent to carry out an order; an agent reports a failure much sooner
	maxQueuedUpdates = 4096             // capacity of the queue of endpoint updates that are not yet due
)

// agentFleet runs all backends as processes under agents. Builds are packed, signed and put on a mirror. On orders, the
// agent of each machine fetches, verifies, starts and removes them. Discovery lists the endpoints that agents report.
// agentFleet is the deployer of scenarios with agents.
type agentFleet struct {
	run         *run
	log         *slog.Logger
	reports     *agentReports
	mirror      *testbed.Mirror
	observer    *testbed.ObserverServer
	signingKeys []minisign.PrivateKey
	machines    []testbed.Machine
	names       []string // names of the agents, by machine
	agents      []*agentd.Agent
	updates     chan endpointUpdate
	publisher   sync.WaitGroup

	mu        sync.Mutex
	digests   map[int]string              // digests of the manifests, by build
	builds    map[string]int              // build numbers, by digest
	hostIDs   map[string]uint32           // by address
	hosts     map[uint32]*testbed.Backend // by ID
	deployed  []map[int]bool              // by machine: the builds that the agent was ordered to run
	retiredAt map[int]time.Duration       // by build: when its removal was ordered
}

// endpointUpdate is a change of an endpoint that reaches discovery at the due time.
type endpointUpdate struct {
	due      time.Time
	endpoint testbed.Endpoint
}

// AgentStatistics holds the durations of deployment steps, computed from the agents' reports.
type AgentStatistics struct {
	PhaseDurations      map[string][]time.Duration `json:"Phases"`  // time spent in each phase, over all agents and builds
	OrderToReady        []time.Duration            `json:"Serving"` // time from the start of fetching to the start of warm-up, for all builds but build 1
	TrafficAfterRemoval map[int]time.Duration      `json:"Retired"` // by build: time from the order to remove it to its last request
}

// newAgentFleet starts all agents and waits until all serve build 1. The caller must close the fleet even if an error is
// returned.
func newAgentFleet(r *run) (*agentFleet, error) {
	f := &agentFleet{run: r, log: r.log, digests: map[int]string{}, builds: map[string]int{}, hostIDs: map[string]uint32{},
		hosts: map[uint32]*testbed.Backend{}, retiredAt: map[int]time.Duration{}, updates: make(chan endpointUpdate, maxQueuedUpdates),
		machines: newMachines(r.spec, r.params, mathrand.New(mathrand.NewPCG(r.spec.Seed, 3)))}
	var err error
	f.reports = newAgentReports(r.controllers, f.handleReport)
	if f.mirror, err = testbed.StartMirror(); err != nil {
		return f, fmt.Errorf("start mirror: %w", err)
	}
	if f.observer, err = testbed.StartObserverServer(r.recorder, &testbed.KeyStore{}, r.controllers.countRequest, f.hostID); err != nil {
		return f, fmt.Errorf("start observer: %w", err)
	}
	r.controllers.setDeployer(f)
	f.publisher.Go(f.publishUpdates)
	keyRing, err := f.newKeyRing()
	if err != nil {
		return f, fmt.Errorf("create signing keys: %w", err)
	}
	if err := f.publishBuild(testbed.Build{Number: 1}, "good"); err != nil {
		return f, fmt.Errorf("publish build 1: %w", err)
	}
	return f, f.startAgents(keyRing)
}

// statistics computes the statistics from all reports so far.
func (f *agentFleet) statistics() *AgentStatistics {
	statistics := &AgentStatistics{PhaseDurations: map[string][]time.Duration{}, TrafficAfterRemoval: map[int]time.Duration{}}
	for _, name := range f.names {
		statistics.addReports(f.reports.list(name))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for build, at := range f.retiredAt {
		if last := f.run.recorder.LastArrival(build); last > 0 {
			statistics.TrafficAfterRemoval[build] = max(0, last-at)
		}
	}
	return statistics
}

// addReports adds the durations that one agent's reports show.
func (s *AgentStatistics) addReports(reports []api.AgentReport) {
	phaseSince, orderedAt := map[string]int64{}, map[string]int64{} // by digest, in milliseconds
	for _, r := range reports {
		if r.To == "" {
			continue
		}
		if since, ok := phaseSince[r.Digest]; ok && r.From != r.To {
			s.PhaseDurations[r.From] = append(s.PhaseDurations[r.From], time.Duration(r.AtMs-since)*time.Millisecond)
		}
		phaseSince[r.Digest] = r.AtMs
		switch {
		case r.To == string(agent.Fetching):
			orderedAt[r.Digest] = r.AtMs
		case r.To == string(agent.WarmingUp) && r.Build > 1:
			s.OrderToReady = append(s.OrderToReady, time.Duration(r.AtMs-orderedAt[r.Digest])*time.Millisecond)
		}
	}
}

// hostID returns the ID of the host at an address. A new address gets the next free ID.
func (f *agentFleet) hostID(address string) uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hostIDs[address] == 0 {
		f.hostIDs[address] = uint32(len(f.hostIDs) + 1)
	}
	return f.hostIDs[address]
}

// handleReport processes an agent's report: it queues an update of a reported endpoint, and requests the rollback of a
// build that failed.
func (f *agentFleet) handleReport(name string, r api.AgentReport) {
	if r.EndpointState != "" && r.Address != "" {
		endpoint := testbed.Endpoint{Backend: f.host(name, r), State: endpointState(r.EndpointState)}
		f.updates <- endpointUpdate{due: time.Now().Add(f.run.params.endpointDelay), endpoint: endpoint}
	}
	if r.To != string(agent.Failed) {
		return
	}
	f.mu.Lock()
	build := f.builds[r.Digest]
	f.mu.Unlock()
	f.log.Info("build failed", "agent", name, "build", build, "cause", r.Cause)
	if build > 1 {
		f.run.controllers.submit(release.RollBack{Build: build})
	}
}

// endpointState converts an endpoint state that an agent reports to the state that discovery lists.
func endpointState(reported string) policy.EndpointState {
	switch reported {
	case string(agent.EndpointDraining):
		return policy.Draining
	case string(agent.EndpointRemoved):
		return policy.Removed
	}
	return policy.Serving
}

// host returns the host that an agent's report refers to.
func (f *agentFleet) host(agentName string, r api.AgentReport) *testbed.Backend {
	id := f.hostID(r.Address)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hosts[id] == nil {
		machine := f.machine(agentName)
		machine.ID = id
		host := testbed.RemoteBackend(r.Address, machine, f.builds[r.Digest])
		host.StartedAt = time.UnixMilli(r.StartedAtMs)
		f.hosts[id] = host
	}
	return f.hosts[id]
}

// machine returns the machine of an agent, or the zero value if the agent does not belong to this fleet.
func (f *agentFleet) machine(agentName string) testbed.Machine {
	for i, name := range f.names {
		if name == agentName {
			return f.machines[i]
		}
	}
	return testbed.Machine{}
}

// publishUpdates passes each endpoint update to discovery when it is due. It returns after close.
func (f *agentFleet) publishUpdates() {
	for update := range f.updates {
		time.Sleep(time.Until(update.due))
		f.run.discovery.Set(update.endpoint)
	}
}

// deploy implements deployer: it runs a build on a share of the machines. All of them fetch and verify the build first. In
// each zone about a third of the zone's machines then start it; the next third follows when these have begun to warm up.
func (f *agentFleet) deploy(ctx context.Context, build int, share float64) {
	digest, chosen := f.chooseMachines(build, share)
	var failed atomic.Bool
	order := func(goal string, targetPhase agent.Phase) func(machine int) {
		return func(machine int) {
			if !f.orderAndAwait(ctx, machine, api.Order{Digest: digest, Build: build, Goal: goal}, targetPhase) {
				failed.Store(true)
			}
		}
	}
	forEach(chosen, order("stage", agent.Staged))
	byZone := map[string][]int{}
	for _, machine := range chosen {
		zone := f.machines[machine].Zone
		byZone[zone] = append(byZone[zone], machine)
	}
	var zones sync.WaitGroup
	for _, machines := range byZone {
		zones.Go(func() {
			batchSize := max(1, len(f.machines)/len(byZone)/3)
			for from := 0; from < len(machines) && !failed.Load(); from += batchSize {
				forEach(machines[from:min(len(machines), from+batchSize)], order("serve", agent.WarmingUp))
			}
		})
	}
	zones.Wait()
	if !failed.Load() && sleep(ctx, f.run.params.endpointDelay) {
		f.run.controllers.submit(release.HostsReady{Build: build})
	}
}

// chooseMachines chooses the additional machines that a build needs to reach its share. It marks the build as deployed on
// them and returns them.
func (f *agentFleet) chooseMachines(build int, share float64) (digest string, chosen []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	have := 0
	for _, builds := range f.deployed {
		if builds[build] {
			have++
		}
	}
	want := machinesFor(share, len(f.machines))
	for i := 0; i < len(f.machines) && have < want; i++ {
		machine := spreadMachine(i, build, len(f.machines))
		if !f.deployed[machine][build] {
			f.deployed[machine][build] = true
			chosen = append(chosen, machine)
			have++
		}
	}
	return f.digests[build], chosen
}

// orderAndAwait sends an order to a machine's agent and waits until the build is in the target phase. It returns false if
// the build fails or is removed, after orderTimeout, or when the context ends.
func (f *agentFleet) orderAndAwait(ctx context.Context, machine int, order api.Order, targetPhase agent.Phase) bool {
	name := f.names[machine]
	seen := f.reports.count(name)
	f.reports.sendOrder(name, order)
	phase := f.reports.await(ctx, name, seen, order.Digest, orderTimeout, string(agent.Failed), string(agent.Removed), string(targetPhase))
	return phase == string(targetPhase)
}

// forEach calls do for all machines concurrently and waits until all calls have returned.
func forEach(machines []int, do func(machine int)) {
	var wait sync.WaitGroup
	for _, machine := range machines {
		wait.Go(func() { do(machine) })
	}
	wait.Wait()
}

// retire implements deployer: it removes a build from all machines. Agents remove an older build on a "release" order for
// the newer one, and a newer build on a "take-back" order.
func (f *agentFleet) retire(ctx context.Context, build int) {
	status := f.run.controllers.status()
	previous := f.run.controllers.previousBuild()
	f.mu.Lock()
	digest := f.digests[build]
	order := api.Order{Digest: f.digests[status.Build], Build: status.Build, Goal: "release"}
	if status.Build == build {
		order = api.Order{Digest: digest, Build: build, Goal: "take-back", ReplacementDigest: f.digests[previous], ReplacementBuild: previous}
	} else if status.Phase != policy.Released { // a canary that a newer canary has replaced
		order = api.Order{Digest: digest, Build: build, Goal: "take-back"}
	}
	f.retiredAt[build] = f.run.recorder.Now()
	var machines []int
	for machine, builds := range f.deployed {
		if builds[build] {
			machines = append(machines, machine)
			delete(builds, build)
		}
	}
	f.mu.Unlock()
	forEach(machines, func(machine int) {
		name := f.names[machine]
		seen := f.reports.count(name)
		f.reports.sendOrder(name, order)
		f.reports.await(ctx, name, seen, digest, orderTimeout, string(agent.Removed))
	})
	if ctx.Err() == nil {
		f.run.controllers.submit(release.HostsRemoved{Build: build})
	}
}

// killBackends kills the backend processes of a share of the hosts, at least one. Their agents restart them, cold.
func (f *agentFleet) killBackends(share float64) {
	for i, a := range f.agents {
		if float64(i) >= math.Max(1, math.Round(share*float64(len(f.agents)))) {
			return
		}
		s := a.State()
		if s.Stable == nil || s.Stable.Process.Pid <= 0 {
			continue
		}
		if err := syscall.Kill(-s.Stable.Process.Pid, syscall.SIGKILL); err != nil && !errors.Is(err, syscall.ESRCH) {
			f.log.Warn("backend not killed", "agent", f.names[i], "error", err)
		}
	}
}

// close stops the agents and their processes. The caller must make sure that no report is handled any more.
func (f *agentFleet) close() {
	close(f.updates)
	var stops sync.WaitGroup
	for _, a := range f.agents {
		stops.Go(a.Stop)
	}
	stops.Wait()
	f.publisher.Wait()
	if f.observer != nil {
		f.observer.Stop()
	}
	if f.mirror != nil {
		f.mirror.Stop()
	}
}
