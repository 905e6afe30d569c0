package scenario

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"

	"dapplefront/internal/routerconfig"
)

// otherConfig is what the name of a router's second configuration file ends with.
const otherConfig = ".next"

// switchConfig updates all routers to another configuration while they run, one after the other, and back to the one
// that they started with.
func (r *run) switchConfig(ctx context.Context, fault Fault) {
	if err := r.writeOtherConfigs(); err != nil {
		r.log.Error("no other configuration", "error", err)
		return
	}
	r.updateConfigs(otherConfig)
	sleep(ctx, fault.Duration)
	r.updateConfigs("")
}

// writeOtherConfigs writes each router's second configuration: with health checks and gossip, without hedged attempts.
func (r *run) writeOtherConfigs() error {
	addresses, err := freeUDPAddresses(len(r.routers))
	if err != nil {
		return err
	}
	for _, router := range r.routers {
		config, err := os.ReadFile(router.configFile)
		if err != nil {
			return fmt.Errorf("router %s: %w", router.name, err)
		}
		text := strings.Replace(string(config), "[rules]\n", "[rules]\ntwo-at-once = off\nmost-sends = 3\n", 1) +
			"[probes]\npath = /probe\n[peers]\naddresses = " + strings.Join(addresses, ", ") + "\n"
		if err := os.WriteFile(router.configFile+otherConfig, []byte(text), 0o600); err != nil {
			return fmt.Errorf("router %s: %w", router.name, err)
		}
	}
	return nil
}

func freeUDPAddresses(count int) (addresses []string, err error) {
	for range count {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, c.LocalAddr().String())
		if err := c.Close(); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}

// updateConfigs lets each router that runs read its configuration file with a suffix.
func (r *run) updateConfigs(suffix string) {
	for _, router := range r.routers {
		config, err := routerconfig.Read(router.configFile + suffix)
		if p := router.running(); err == nil && p != nil {
			err = p.UpdateConfig(config)
		}
		if err != nil {
			r.log.Error("router keeps its configuration", "router", router.name, "error", err)
			continue
		}
		r.mu.Lock()
		r.configUpdates++
		r.mu.Unlock()
	}
}
