package scenario

import (
	"context"
	"time"

	"dapplefront/internal/testbed"
	"dapplefront/release"
)

// The clients' retry behavior while no fault changes it.
const (
	defaultClientRetries    = 2
	defaultClientRetryDelay = 100 * time.Millisecond
)

// schedule starts rollouts and faults in the background at the times that the specification gives.
func (r *run) schedule(ctx context.Context) {
	for i, rollout := range r.spec.Rollouts {
		r.after(ctx, rollout.At, func() { r.offer(i+2, rollout.Kind) })
	}
	for _, fault := range r.spec.Faults {
		r.after(ctx, fault.At, func() { r.inject(ctx, fault) })
	}
}

// after calls do in the background after a delay, unless the context ends first.
func (r *run) after(ctx context.Context, delay time.Duration, do func()) {
	r.background.Go(func() {
		if sleep(ctx, delay) {
			do()
		}
	})
}

// sleep waits for a duration. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// offer creates a build of the given kind and offers it to the controllers for release.
func (r *run) offer(number int, kind string) {
	b := r.newBuild(number, kind)
	if r.agentFleet != nil {
		if err := r.agentFleet.publishBuild(b, kind); err != nil {
			r.log.Error("failed to publish build", "build", number, "error", err)
			return
		}
	} else {
		r.localFleet.addBuild(b)
	}
	r.controllers.submit(release.Offer{Build: number})
}

// newBuild draws the behavior of a build of the given kind.
func (r *run) newBuild(number int, kind string) testbed.Build {
	b := testbed.Build{Number: number, SpeedFactor: .95 + .1*r.randomFloat()}
	switch kind {
	case "bad-some":
		b.FailureRate = .08 + .25*r.randomFloat()
	case "bad-category":
		b.FailingClass, b.ClassFailureRate = requestClasses[int(r.randomFloat()*float64(len(requestClasses)))].Name, .4+.5*r.randomFloat()
	case "bad-work":
		b.SpeedFactor = 1 / (1.8 + 1.8*r.randomFloat())
	case "bad-late":
		b.DegradesAfter = time.Duration((3 + 3*r.randomFloat()) * float64(time.Second))
	case "bad-wrong":
		b.WrongAnswerRate = .05 + .2*r.randomFloat()
	case "bad-slows-all":
		b.FleetSlowdown = 2
	}
	return b
}

// inject injects a fault for its duration or until the end of the scenario, and then removes it.
func (r *run) inject(ctx context.Context, fault Fault) {
	r.log.Info("fault injected", "kind", fault.Kind, "duration", fault.Duration, "share", fault.Share, "magnitude", fault.Magnitude)
	defer r.log.Info("fault ended", "kind", fault.Kind)
	if inject := faultInjections[fault.Kind]; inject != nil {
		inject(r, ctx, fault)
	}
}

// injection injects a fault, waits for its duration and removes it.
type injection func(r *run, ctx context.Context, fault Fault)

// faultInjections maps kinds of faults to their injections.
var faultInjections = map[string]injection{
	"die":        (*run).crashHosts,
	"lose-place": (*run).crashZone,
	"cold-place": (*run).crashZone,
	"hang": hostFault(
		func(f *testbed.Fault, _ Fault) { f.Hangs = true },
		func(f *testbed.Fault) { f.Hangs = false }),
	"fail-fast": hostFault(
		func(f *testbed.Fault, fault Fault) { f.FailureRate = fault.Magnitude },
		func(f *testbed.Fault) { f.FailureRate = 0 }),
	"slow":     slowHosts,
	"all-slow": slowHosts,
	"refuse": hostFault(
		func(f *testbed.Fault, _ Fault) { f.RefusesConnections = true },
		func(f *testbed.Fault) { f.RefusesConnections = false }),
	"one-sided": (*run).blockRouter,
	"pause":     (*run).pauseHosts,
	"drain":     (*run).drainHosts,
	"burst": clientFault(
		func(b *testbed.Behavior, fault Fault) { b.RateFactor = fault.Magnitude },
		func(b *testbed.Behavior) { b.RateFactor = 1 }),
	"repeats": clientFault(
		func(b *testbed.Behavior, fault Fault) {
			b.MaxRetries, b.HonorsRetryAfter, b.RetryDelay = int(fault.Magnitude), false, 0
		},
		func(b *testbed.Behavior) {
			b.MaxRetries, b.HonorsRetryAfter, b.RetryDelay = defaultClientRetries, true, defaultClientRetryDelay
		}),
	"bad-requests": clientFault(
		func(b *testbed.Behavior, fault Fault) { b.BadRequestRate = fault.Magnitude },
		func(b *testbed.Behavior) { b.BadRequestRate = 0 }),
	"list-down": func(r *run, ctx context.Context, fault Fault) {
		r.discovery.SetDown(true)
		sleep(ctx, fault.Duration)
		r.discovery.SetDown(false)
	},
	"reports-late": (*run).delayReports,
	"desk-still": func(r *run, ctx context.Context, fault Fault) {
		r.controllers.setStalled(true)
		sleep(ctx, fault.Duration)
		r.controllers.setStalled(false)
	},
	"desk-late": func(r *run, ctx context.Context, fault Fault) {
		r.controllers.setExtraDelay(seconds(fault.Magnitude))
		sleep(ctx, fault.Duration)
		r.controllers.setExtraDelay(0)
	},
	"restarts":    (*run).restartRouters,
	"switch":      (*run).switchConfig,
	"stand-still": (*run).stallRouters,
}

var slowHosts = hostFault(
	func(f *testbed.Fault, fault Fault) { f.Slowdown = fault.Magnitude },
	func(f *testbed.Fault) { f.Slowdown = 0 })

// hostFault returns an injection that changes a share of the hosts.
func hostFault(set func(*testbed.Fault, Fault), reset func(*testbed.Fault)) injection {
	return func(r *run, ctx context.Context, fault Fault) {
		hosts := r.localFleet.sample(fault.Share)
		changeFaults(hosts, func(f *testbed.Fault) { set(f, fault) })
		sleep(ctx, fault.Duration)
		changeFaults(hosts, reset)
	}
}

// clientFault returns an injection that changes the behavior of all clients.
func clientFault(set func(*testbed.Behavior, Fault), reset func(*testbed.Behavior)) injection {
	return func(r *run, ctx context.Context, fault Fault) {
		r.clients.ChangeBehavior(func(b *testbed.Behavior) { set(b, fault) })
		sleep(ctx, fault.Duration)
		r.clients.ChangeBehavior(reset)
	}
}

func changeFaults(hosts []*backend, change func(*testbed.Fault)) {
	for _, h := range hosts {
		h.ChangeFault(change)
	}
}

// seconds converts a number of seconds to a duration.
func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// crashHosts kills a share of the hosts. Without agents it returns when they have been replaced; with agents, which restart
// them, it returns immediately.
func (r *run) crashHosts(_ context.Context, fault Fault) {
	if r.agentFleet != nil {
		r.agentFleet.killBackends(fault.Share)
		return
	}
	r.localFleet.crash(r.localFleet.sample(fault.Share), fault.Duration)
}

// crashZone kills all hosts of the last zone and returns when they have been replaced.
func (r *run) crashZone(_ context.Context, fault Fault) {
	zones := r.params.zones
	r.localFleet.crash(r.localFleet.inZone(zones[len(zones)-1]), fault.Duration)
}

// blockRouter makes a share of the hosts block the connections of one router.
func (r *run) blockRouter(ctx context.Context, fault Fault) {
	name := r.routers[int(r.randomFloat()*float64(len(r.routers)))].name
	block := hostFault(
		func(f *testbed.Fault, _ Fault) { f.BlockedRouter = name },
		func(f *testbed.Fault) { f.BlockedRouter = "" })
	block(r, ctx, fault)
}

// pauseHosts pauses a share of the hosts for 0.2 to 0.5 s, every 1.5 seconds.
func (r *run) pauseHosts(ctx context.Context, fault Fault) {
	hosts := r.localFleet.sample(fault.Share)
	for end := time.Now().Add(fault.Duration); time.Now().Before(end); {
		for _, h := range hosts {
			h.Pause(seconds(.2 + .3*r.randomFloat()))
		}
		if !sleep(ctx, 1500*time.Millisecond) {
			return
		}
	}
}

// drainHosts drains a share of the hosts and replaces them after the duration of the fault. A drain that has begun is
// completed even if the scenario ends first.
func (r *run) drainHosts(ctx context.Context, fault Fault) {
	hosts := r.localFleet.sample(fault.Share)
	for _, h := range hosts {
		r.after(ctx, 0, func() { r.localFleet.drain(context.WithoutCancel(ctx), []*backend{h}) })
	}
	if sleep(ctx, fault.Duration) {
		r.localFleet.replace(hosts)
	}
}

// delayReports delays the load reports of all hosts, and also the controllers' status notifications and request counts.
func (r *run) delayReports(ctx context.Context, fault Fault) {
	delay := seconds(fault.Magnitude)
	r.controllers.setExtraDelay(delay)
	fault.Share = 1
	lateReports := hostFault(
		func(f *testbed.Fault, _ Fault) { f.LoadReportDelay = delay },
		func(f *testbed.Fault) { f.LoadReportDelay = 0 })
	lateReports(r, ctx, fault)
	r.controllers.setExtraDelay(0)
}
