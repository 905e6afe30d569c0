package scenario

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"

	"dapplefront/internal/routerconfig"
)

// otherConfig is the suffix of the name of a router's second configuration file.
const otherConfig = ".next"

// switchConfig updates all running routers, one after the other, to their second configuration, and after the duration of
// the fault back to the one that they started with.
func (r *run) switchConfig(ctx context.Context, fault Fault) {
	if err := r.writeOtherConfigs(); err != nil {
		r.log.Error("failed to write the second configurations", "error", err)
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

// updateConfigs updates each running router to the configuration in its file with the given suffix.
func (r *run) updateConfigs(suffix string) {
	for _, router := range r.routers {
		config, err := routerconfig.Read(router.configFile + suffix)
		if p := router.running(); err == nil && p != nil {
			err = p.UpdateConfig(config)
		}
		if err != nil {
			r.log.Error("failed to update router configuration", "router", router.name, "error", err)
			continue
		}
		r.mu.Lock()
		r.configUpdates++
		r.mu.Unlock()
	}
}
