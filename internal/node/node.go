// Package node runs a router on the operators' platform: it reads the platform's configuration file, derives a router's
// configuration from it, connects to discovery and to the control service, and handles the process's signals. The
// same proxy serves the requests as in any other router.
package node

import (
	"log/slog"
	"reflect"
	"time"

	"dapplefront/internal/controlclient"
	"dapplefront/internal/discovery"
	"dapplefront/internal/eds"
	"dapplefront/internal/eventloop"
	"dapplefront/internal/platform"
	"dapplefront/internal/proxy"
)

// Durations of a graceful shutdown. It takes at most lameDuckTime plus the drain timeout minus shutdownMargin. This stays
// below the drain timeout plus 0.7 s, after which the platform may kill the process.
const (
	lameDuckTime      = 750 * time.Millisecond // how long new connections are still accepted; those of the first 0.7 s must be served
	shutdownMargin    = 200 * time.Millisecond // draining ends this long before the drain timeout
	lastResponseGrace = 100 * time.Millisecond // time for clients to read their last responses
)

// Node is a router that serves on the platform. Its methods are called from one goroutine.
type Node struct {
	config   *Config
	log      *slog.Logger
	instance *proxy.Proxy
	watch    *discovery.Watch
	platform *platform.Client
}

// Start starts a router, which is listening when Start returns.
func Start(c *Config, log *slog.Logger) (*Node, error) {
	n := &Node{config: c, log: log}
	var err error
	n.instance, err = proxy.StartWith(proxy.Protocols{
		Discovery: func(handler eds.Handler) (proxy.Discovery, []eds.Host, error) {
			var hosts []eds.Host
			n.watch, hosts = discovery.Open(c.Discovery, c.Endpoints, handler)
			return n.watch, hosts, nil
		},
		ReleaseController: func(handler controlclient.Handler) (proxy.ReleaseClient, error) {
			handler.Release(c.Release)
			n.platform = platform.Open(c.Platform.Address, eventloop.Duration(c.Router.Router.Release.VoteTimeout), n.watch.HostID, handler)
			return n.platform, nil
		},
		Ready: func() bool { return n.watch.Attempted() && n.platform.Attempted() }}, c.Router, log, nil)
	return n, err
}

// Reload applies another configuration: the addresses at once, the settings between two events of the router. Seed,
// endpoint list and release status are used only at start. If Reload returns an error, the configuration is unchanged.
func (n *Node) Reload(next *Config) error {
	if err := n.config.checkChange(next); err != nil {
		return err
	}
	next.Router.Router.Seed = n.config.Router.Router.Seed
	if !reflect.DeepEqual(next.Router, n.config.Router) {
		if err := n.instance.UpdateConfig(next.Router); err != nil {
			return err
		}
	}
	n.watch.SetAddress(next.Discovery)
	n.platform.SetAddress(next.Platform.Address)
	n.config = next
	n.log.Info("configuration reloaded", "discovery", next.Discovery, "platform", next.Platform.Address)
	return nil
}

// Shutdown shuts the router down gracefully. At first it still accepts new connections and closes each connection after
// its response. Then it stops listening and waits for requests in flight until the drain timeout has passed or abort is
// closed. It returns the number of requests that got no response.
func (n *Node) Shutdown(abort <-chan struct{}) int {
	drainTimeout := n.config.Router.DrainTimeout - shutdownMargin
	n.instance.StartDraining(lameDuckTime + drainTimeout - lastResponseGrace)
	select {
	case <-time.After(lameDuckTime):
	case <-abort:
	}
	return n.instance.Shutdown(drainTimeout, abort)
}

// Close stops the router immediately, without draining.
func (n *Node) Close() { n.instance.Close() }
