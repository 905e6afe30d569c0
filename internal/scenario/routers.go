package scenario

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"dapplefront/internal/controlplane/native"
	"dapplefront/internal/eventloop"
	"dapplefront/internal/proxy"
	"dapplefront/internal/routerconfig"
	"dapplefront/internal/testbed"
	"dapplefront/policy"
)

// routerInstance is one router of the scenario. It keeps its name, configuration file and port across restarts.
type routerInstance struct {
	name       string
	configFile string
	port       *reservedPort

	mu        sync.Mutex
	proxy     *proxy.Proxy    // nil while it is down
	loopStats eventloop.Stats // sum over the proxies that were stopped
}

// stop closes a proxy that was detached from the instance, without a graceful shutdown, and adds the proxy's event loop
// statistics to the instance's.
func (i *routerInstance) stop(p *proxy.Proxy) {
	p.Close()
	stats := p.LoopStats()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.loopStats.Merge(&stats)
}

// allLoopStats returns the event loop statistics of all of the router's proxies, stopped and running.
func (i *routerInstance) allLoopStats() eventloop.Stats {
	var stats eventloop.Stats
	if p := i.running(); p != nil {
		stats = p.LoopStats()
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	stats.Merge(&i.loopStats)
	return stats
}

// running returns the router's proxy, or nil while the router is down.
func (i *routerInstance) running() *proxy.Proxy {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.proxy
}

// detach removes the proxy from the instance and returns it, so that the caller can stop it. It returns nil while the router
// is down.
func (i *routerInstance) detach() *proxy.Proxy {
	i.mu.Lock()
	defer i.mu.Unlock()
	p := i.proxy
	i.proxy = nil
	return p
}

// startRouters starts all routers and returns their addresses as targets for the clients.
func (r *run) startRouters() ([]testbed.Target, error) {
	var targets []testbed.Target
	for i := range r.spec.Routers {
		router, err := r.newRouter(i)
		if err != nil {
			return nil, err
		}
		r.routers = append(r.routers, router)
		if err := r.startRouter(router); err != nil {
			return nil, err
		}
		targets = append(targets, testbed.Target{Name: router.name, Address: router.port.address, Rate: r.spec.RequestRate})
	}
	return targets, nil
}

// newRouter reserves a router's port and writes its configuration file, as an operator would.
func (r *run) newRouter(index int) (*routerInstance, error) {
	port, err := reservePort()
	if err != nil {
		return nil, err
	}
	router := &routerInstance{name: fmt.Sprintf("r%d", index+1), port: port}
	router.configFile = filepath.Join(r.dir, router.name+".ini")
	config, err := r.routerConfig(index, router)
	if err == nil {
		err = os.WriteFile(router.configFile, []byte(config), 0o600)
	}
	if err != nil {
		port.release()
		return nil, fmt.Errorf("configure router %s: %w", router.name, err)
	}
	return router, nil
}

// routerConfig returns the text of a router's INI file.
func (r *run) routerConfig(index int, router *routerInstance) (string, error) {
	p := r.params
	var b strings.Builder
	fmt.Fprintf(&b, "[router]\nname = %s\nlisten = %s\nrouters = %d\nrank = %d\nlocation = %s\nseed = %d\nlast-list = %s\n",
		router.name, router.port.address, r.spec.Routers, index, p.routerZone(index), r.spec.Seed+uint64(index),
		filepath.Join(r.dir, router.name+".list"))
	updates := "changes"
	if index%2 == 1 {
		updates = "whole"
	}
	fmt.Fprintf(&b, "[register]\naddress = %s\nnames = %s\nask = %s\n", r.discovery.Address(),
		strings.Join(r.discovery.Resources(p.zones), ", "), updates)
	caps := make([]string, len(p.exposureCaps))
	for stage, limit := range p.exposureCaps {
		caps[stage] = fmt.Sprintf("%g%%", 100*limit)
	}
	fmt.Fprintf(&b, "[desk]\nurl = %s\ncaps = %s\nleast-time = 1s\nto-move-on = %d\nto-abort = 1\nvote-life = %s\n"+
		"vote-timeout = 1s\nvotes-a-second = %d\nwindow = %s\nfree = %g\nguarded-stages = %d\ncounted = %g%%\n"+
		"counts-over = 2s\ncomplaints = 30%%\n", r.controllers.urls(), strings.Join(caps, ", "), promoteQuorum(r.spec.Routers), routerVoteTTL,
		maxVotesPerSecond, p.exposureWindow, p.exposureAllowance, p.guardedStages, 100*countedShare)
	if r.issuer != nil {
		files, err := r.issuer.issue(router.name)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "certificate = %s\nkey = %s\nauthority = %s\n", files.Certificate, files.Key, files.Authority)
	}
	fmt.Fprintf(&b, "[rules]\ngrace = %s\ncold = %s\ncold-share = %g%%\ntip = %g\ntip-for = %s\n", p.drainGrace, p.slowStart,
		100*p.coldCapacity, p.coldOverloadFactor, p.coldOverloadWindow)
	for _, class := range requestClasses {
		repeat := []string{"retriable", "fingerprinted", "binding"}[class.Idempotency]
		fmt.Fprintf(&b, "[category %s]\nrepeat = %s\npaths = %s\npromised = %s\npatience = %s\n", class.Name, repeat, class.Path,
			class.LatencyObjective, class.Timeout)
		if class.Idempotency == policy.IdempotentWithKey {
			fmt.Fprintf(&b, "memory = %s\n", class.DedupWindow)
		}
	}
	if r.spec.Records != "" {
		fmt.Fprintf(&b, "[records]\nfolder = %s\n", r.spec.Records)
	}
	return b.String(), nil
}

// startRouter starts a router from its configuration file.
func (r *run) startRouter(router *routerInstance) error {
	config, err := routerconfig.Read(router.configFile)
	if err != nil {
		return err
	}
	injector, err := newFaultInjector(r.spec.Violation, r.params)
	if err != nil {
		return err
	}
	r.recorder.RouterStarting(router.name)
	p, err := proxy.Start(native.Protocols(config), config, r.log, injector)
	if err != nil {
		return fmt.Errorf("start router %s: %w", router.name, err)
	}
	router.mu.Lock()
	router.proxy = p
	router.mu.Unlock()
	return nil
}

// killRouter stops a router immediately, without a graceful shutdown.
func (r *run) killRouter(router *routerInstance) {
	if p := router.detach(); p != nil {
		r.recorder.RouterStopping(router.name)
		router.stop(p)
	}
}

// restartRouters kills and restarts routers in batches. A restarted router has no state but its cached endpoint list.
func (r *run) restartRouters(ctx context.Context, fault Fault) {
	batchSize := max(1, int(fault.Share*float64(len(r.routers))))
	for from := 0; from < len(r.routers); from += batchSize {
		batch := r.routers[from:min(len(r.routers), from+batchSize)]
		for _, router := range batch {
			r.killRouter(router)
		}
		sleep(ctx, time.Duration((.5+r.randomFloat())*float64(time.Second)))
		for _, router := range batch {
			if err := r.startRouter(router); err != nil {
				r.log.Error("failed to restart router", "router", router.name, "error", err)
			}
		}
		if !sleep(ctx, fault.Duration/time.Duration(len(r.routers))) {
			return
		}
	}
}

// stallRouters stalls the event loops of a share of the routers every two seconds.
func (r *run) stallRouters(ctx context.Context, fault Fault) {
	for end := time.Now().Add(fault.Duration); time.Now().Before(end); {
		for _, router := range r.sampleRouters(fault.Share) {
			router.mu.Lock()
			if router.proxy != nil {
				d := time.Duration(fault.Magnitude * float64(time.Second))
				r.recorder.RouterPaused(router.name, d)
				router.proxy.Stall(d)
			}
			router.mu.Unlock()
		}
		if !sleep(ctx, 2*time.Second) {
			return
		}
	}
}

// sampleRouters draws each router with a probability equal to share. It returns the first router if none was drawn.
func (r *run) sampleRouters(share float64) (sample []*routerInstance) {
	for _, router := range r.routers {
		if r.randomFloat() < share {
			sample = append(sample, router)
		}
	}
	if len(sample) == 0 {
		sample = r.routers[:1]
	}
	return sample
}
