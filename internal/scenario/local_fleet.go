package scenario

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dapplefront/internal/testbed"
	"dapplefront/policy"
	"dapplefront/release"
)

// backendStopTimeout is how long a stopping backend may take to complete its requests in flight.
const backendStopTimeout = 2 * time.Second

// localFleet runs all backends inside this process. It starts, drains and replaces them, and publishes them to discovery.
// It is the deployer of scenarios without agents.
type localFleet struct {
	environment testbed.Environment
	discovery   *testbed.DiscoveryServer
	controllers *controllerGroup
	params      parameters
	machines    []testbed.Machine // without IDs
	background  sync.WaitGroup    // delayed endpoint updates

	mu     sync.Mutex
	rand   *rand.Rand
	builds map[int]testbed.Build
	lastID uint32
	hosts  []*backend
	closed bool

	requests               atomic.Int64 // recent requests to all builds
	requestsToSlowingBuild atomic.Int64 // recent requests to a build that slows the fleet
}

// backend is a backend on one of the fleet's machines.
type backend struct {
	*testbed.Backend
	machine  int
	draining bool // set also when it is killed: faults and deployments no longer choose it
}

func newLocalFleet(spec Spec, params parameters, environment testbed.Environment, discovery *testbed.DiscoveryServer,
	controllers *controllerGroup) *localFleet {
	f := &localFleet{discovery: discovery, controllers: controllers, params: params, builds: map[int]testbed.Build{1: {Number: 1}},
		rand: rand.New(rand.NewPCG(spec.Seed, 3))}
	f.machines = newMachines(spec, params, f.rand)
	environment.Slowdown = f.slowdown
	environment.CountRequest = f.countRequest
	f.environment = environment
	return f
}

// newMachines draws the machines that a scenario's backends run on. Their IDs are not set.
func newMachines(spec Spec, params parameters, r *rand.Rand) (machines []testbed.Machine) {
	for i := range spec.Hosts {
		zone := i % len(params.zones)
		machines = append(machines, testbed.Machine{Zone: params.zones[zone], Cell: zone, Cores: 2, Speed: 0.85 + 0.3*r.Float64(),
			ColdCapacity: params.coldCapacity, WarmUp: params.slowStart,
			ColdOverloadFactor: params.coldOverloadFactor, ColdOverloadWindow: params.coldOverloadWindow})
	}
	return machines
}

// spreadMachine returns the index of the machine that is i-th in the order in which a build is deployed. Successive
// machines are far apart, so that each zone has some of an early stage's backends, unless the number of machines is a
// multiple of the stride.
func spreadMachine(i, build, machines int) int {
	const stride = 7
	if machines%stride == 0 {
		return i
	}
	return (i*stride + build) % machines
}

// machinesFor returns the number of machines that make up a share of all machines, rounded up and at least one.
func machinesFor(share float64, machines int) int {
	return max(1, int(math.Ceil(share*float64(machines)-1e-9)))
}

// countRequest counts a request to which a backend has responded, for the controllers and for slowdown.
func (f *localFleet) countRequest(build int, class string, latency time.Duration, failed bool) {
	f.requests.Add(1)
	f.mu.Lock()
	slows := f.builds[build].FleetSlowdown
	f.mu.Unlock()
	if slows > 0 {
		f.requestsToSlowingBuild.Add(1)
	}
	f.controllers.countRequest(build, class, latency, failed)
}

// decayTraffic halves the request counts, so that the slowdown follows recent traffic.
func (f *localFleet) decayTraffic() {
	f.requests.Store(f.requests.Load() / 2)
	f.requestsToSlowingBuild.Store(f.requestsToSlowingBuild.Load() / 2)
}

// slowdown returns the factor, from 1 to 3, by which a build that slows the fleet slows all backends. It grows with the share
// of recent requests that such a build has received.
func (f *localFleet) slowdown() float64 {
	all, slowing := f.requests.Load(), f.requestsToSlowingBuild.Load()
	if slowing == 0 || all == 0 {
		return 1
	}
	return 1 + 2*float64(slowing)/float64(all)
}

func (f *localFleet) addBuild(b testbed.Build) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.builds[b.Number] = b
}

// startBackend starts a backend on a machine without publishing it. It returns nil once the fleet is closed.
func (f *localFleet) startBackend(machine, build int, cold bool) (*backend, error) {
	f.mu.Lock()
	f.lastID++
	m := f.machines[machine]
	m.ID = f.lastID
	b, closed := f.builds[build], f.closed
	f.mu.Unlock()
	if closed {
		return nil, nil
	}
	started, err := testbed.StartBackend(m, b, cold, f.environment)
	if err != nil {
		return nil, err
	}
	host := &backend{Backend: started, machine: machine}
	f.mu.Lock()
	f.hosts = append(f.hosts, host)
	f.mu.Unlock()
	return host, nil
}

// publish makes discovery list hosts in the given state.
func (f *localFleet) publish(state policy.EndpointState, hosts ...*backend) {
	var endpoints []testbed.Endpoint
	for _, h := range hosts {
		endpoints = append(endpoints, testbed.Endpoint{Backend: h.Backend, State: state})
	}
	f.discovery.Set(endpoints...)
}

// active returns the hosts of a build that are not draining. Build 0 means all builds.
func (f *localFleet) active(build int) (hosts []*backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if !h.draining && (build == 0 || h.Build.Number == build) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// inZone returns the hosts of a zone that are not draining.
func (f *localFleet) inZone(zone string) []*backend {
	return slices.DeleteFunc(f.active(0), func(h *backend) bool { return h.Zone != zone })
}

// sample draws a share of the hosts that are not draining, at least one.
func (f *localFleet) sample(share float64) []*backend {
	all := f.active(0)
	f.mu.Lock()
	f.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	f.mu.Unlock()
	return all[:min(len(all), max(1, int(math.Round(share*float64(len(all))))))]
}

// deploy implements deployer: it runs a build on a share of the machines.
func (f *localFleet) deploy(ctx context.Context, build int, share float64) {
	want := machinesFor(share, len(f.machines))
	occupied := map[int]bool{}
	for _, h := range f.active(build) {
		occupied[h.machine] = true
	}
	var starts sync.WaitGroup
	for i := 0; i < len(f.machines) && len(occupied) < want; i++ {
		machine := spreadMachine(i, build, len(f.machines))
		if occupied[machine] {
			continue
		}
		occupied[machine] = true
		starts.Go(func() { f.deployOn(ctx, machine, build) })
	}
	starts.Wait()
	if ctx.Err() == nil {
		f.controllers.submit(release.HostsReady{Build: build})
	}
}

// deployOn waits for the simulated start time of a process, starts a cold backend and publishes it.
func (f *localFleet) deployOn(ctx context.Context, machine, build int) {
	f.mu.Lock()
	startTime := time.Duration((.2 + .8*f.rand.Float64()) * float64(f.params.backendStartTime))
	f.mu.Unlock()
	if !sleep(ctx, startTime) {
		return
	}
	if h, err := f.startBackend(machine, build, true); err == nil && h != nil && sleep(ctx, f.params.endpointDelay) {
		f.publish(policy.Serving, h)
	}
}

// retire implements deployer: it drains a build's hosts and stops them.
func (f *localFleet) retire(ctx context.Context, build int) {
	f.drain(ctx, f.active(build))
	if ctx.Err() == nil {
		f.controllers.submit(release.HostsRemoved{Build: build})
	}
}

// drain drains hosts and stops them. If the context ends first, the hosts keep running until close kills them.
func (f *localFleet) drain(ctx context.Context, hosts []*backend) {
	if len(hosts) == 0 {
		return
	}
	f.markDraining(hosts)
	f.publish(policy.Draining, hosts...)
	if sleep(ctx, f.params.drainDelay) {
		f.remove(hosts)
		stopAll(hosts)
	}
}

func (f *localFleet) markDraining(hosts []*backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range hosts {
		h.draining = true
	}
}

// remove removes hosts from discovery and from the fleet.
func (f *localFleet) remove(hosts []*backend) {
	f.publish(policy.Removed, hosts...)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = slices.DeleteFunc(f.hosts, func(h *backend) bool { return slices.Contains(hosts, h) })
}

func stopAll(hosts []*backend) {
	var stops sync.WaitGroup
	for _, h := range hosts {
		stops.Go(func() { h.Stop(backendStopTimeout) })
	}
	stops.Wait()
}

// crash kills hosts immediately. Discovery removes them after a delay, and after the downtime cold hosts start on the same
// machines.
func (f *localFleet) crash(hosts []*backend, downtime time.Duration) {
	f.markDraining(hosts)
	for _, h := range hosts {
		h.Kill()
	}
	time.Sleep(f.params.endpointDelay + 500*time.Millisecond)
	f.remove(hosts)
	time.Sleep(downtime)
	active := map[int]bool{}
	for _, h := range f.active(0) {
		active[h.Build.Number] = true
	}
	for _, h := range hosts {
		if !active[h.Build.Number] { // no host runs its build any more: it has been retired
			continue
		}
		if started, err := f.startBackend(h.machine, h.Build.Number, true); err == nil && started != nil {
			f.background.Go(func() {
				time.Sleep(f.params.endpointDelay)
				f.publish(policy.Serving, started)
			})
		}
	}
}

// replace starts cold backends on the machines of drained hosts, unless their build has no active host left.
func (f *localFleet) replace(drained []*backend) {
	for _, h := range drained {
		build := h.Build.Number
		if len(f.active(build)) == 0 {
			continue
		}
		if started, err := f.startBackend(h.machine, build, true); err == nil && started != nil {
			time.Sleep(f.params.endpointDelay)
			f.publish(policy.Serving, started)
		}
	}
}

// close kills all hosts. The caller must make sure that nothing else works on the fleet.
func (f *localFleet) close() {
	f.background.Wait()
	f.mu.Lock()
	f.closed = true
	hosts := slices.Clone(f.hosts)
	f.mu.Unlock()
	for _, h := range hosts {
		h.Kill()
	}
}
