// Package node runs a router on the operators' platform: it reads the platform's configuration file, derives a router's
// configuration from it, connects to discovery and to the control service, and handles the process's signals. The
// same proxy serves the requests as in any other router.
package node

import (
	"log/slog"
	"reflect"

	"dapplefront/internal/controlclient"
	"dapplefront/internal/controlplane"
	"dapplefront/internal/discovery"
	"dapplefront/internal/endpoint"
	"dapplefront/internal/eventloop"
	"dapplefront/internal/platform"
	"dapplefront/internal/proxy"
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
	n.instance, err = proxy.Start(controlplane.Protocols{
		Discovery: func(handler endpoint.Handler) (controlplane.Discovery, []endpoint.Host, error) {
			var hosts []endpoint.Host
			n.watch, hosts = discovery.Open(c.Discovery, c.Endpoints, handler)
			return n.watch, hosts, nil
		},
		ReleaseController: func(handler controlclient.Handler) (controlplane.ReleaseClient, error) {
			handler.Release(c.Release)
			n.platform = platform.Open(c.Platform.Address, eventloop.Duration(c.Router.Router.Release.VoteTimeout), n.watch.HostID, handler)
			return n.platform, nil
		},
		Ready:        func() bool { return n.watch.Attempted() && n.platform.Attempted() },
		InputPending: func() bool { return n.watch.Pending() || n.platform.Pending() },
	}, c.Router, log, nil)
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

// Shutdown shuts the router down gracefully, so that every request has its response before the platform may kill the
// process. If abort is closed, it responds to all requests at once. It returns the number of requests that got no response.
func (n *Node) Shutdown(abort <-chan struct{}) int {
	return n.instance.Shutdown(n.config.Router.KillAfter, abort)
}

// Close stops the router immediately, without draining.
func (n *Node) Close() { n.instance.Close() }
