// Package node runs a router on the operators' platform: it reads the platform's configuration file, derives a router's
// configuration from it, connects to discovery and to the control service, and follows the process's signals. Requests are
// served by the same proxy as for any other router.
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

// Times of a graceful shutdown. They add up to less than the drain timeout plus 0.7 s, after which the platform may kill
// the process.
const (
	lameDuckTime      = 750 * time.Millisecond // new connections are accepted: what arrives in the first 0.7 s has to be served
	shutdownMargin    = 200 * time.Millisecond // by which draining ends before the drain timeout
	lastResponseGrace = 100 * time.Millisecond // for clients to read their last responses
)

// Node is a router that serves on the platform. Its methods are called from one goroutine.
type Node struct {
	config   *Config
	log      *slog.Logger
	instance *proxy.Proxy
	watch    *discovery.Watch
	platform *platform.Client
}

// Start starts a router. It listens when Start returns.
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

// Reload applies another configuration: its addresses at once, its settings between two events. Seed, endpoint list and
// release status matter at a start alone. After an error nothing has changed.
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

// Shutdown ends the router gracefully. At first it accepts new connections and closes each after its response, then it
// stops listening and waits for requests in flight, up to the drain timeout or until abort is closed. It returns how many
// requests were canceled.
func (n *Node) Shutdown(abort <-chan struct{}) int {
	drainTimeout := n.config.Router.DrainTimeout - shutdownMargin
	n.instance.StartDraining(lameDuckTime + drainTimeout - lastResponseGrace)
	select {
	case <-time.After(lameDuckTime):
	case <-abort:
	}
	return n.instance.Shutdown(drainTimeout, abort)
}

// Close ends the router at once.
func (n *Node) Close() { n.instance.Close() }
