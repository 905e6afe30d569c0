package scenario

import (
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"strings"
	"sync"

	"dapplefront/control"
	"dapplefront/internal/controller"
	"dapplefront/policy"
)

// controllerInstance is one controller. Its configuration and store outlive restarts.
type controllerInstance struct {
	nodeConfig   controller.NodeConfig
	serverConfig controller.ServerConfig

	mu     sync.Mutex
	node   *controller.Node // nil while it is down
	server *controller.Server
}

// newInstance configures a controller. The one with index 0 bootstraps the group.
func (g *controllerGroup) newInstance(index int, o controllerOptions) (*controllerInstance, error) {
	name := fmt.Sprintf("c%d", index+1)
	instance := &controllerInstance{
		nodeConfig: controller.NodeConfig{
			Name:          name,
			Dir:           filepath.Join(o.dir, name),
			Listen:        "127.0.0.1:0",
			Bootstrap:     index == 0,
			FastElections: true,
			InitialBuild:  1,
			Control:       control.Config{Rules: o.rules, RouterTimeout: 10 * policy.Second},
		},
		serverConfig: controller.ServerConfig{
			Listen:         "127.0.0.1:0",
			VotesPerSecond: maxVotesPerSecond,
			Fault:          g.injectedFault,
			OnStatusSent:   g.recordStatus,
		},
	}
	if o.issuer == nil {
		return instance, nil
	}
	reloader, err := o.issuer.reloader(name)
	if err != nil {
		return nil, err
	}
	peers := []string{"c?"}
	instance.nodeConfig.StreamLayer = controller.TLSStreamLayer(reloader, peers)
	instance.serverConfig.Authorizer = &controller.Authorizer{ServerTLS: reloader.Server(), ClientTLS: reloader.Client(), Grants: grants, Peers: peers}
	return instance, nil
}

func (i *controllerInstance) start(log *slog.Logger) (err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.node, err = controller.Open(i.nodeConfig, log); err != nil {
		i.node = nil
		return err
	}
	if i.server, err = controller.Serve(i.node, i.serverConfig, log); err != nil {
		err = errors.Join(err, i.node.Close())
		i.node = nil
	}
	return err
}

// pinAddresses makes later starts listen on the addresses that the first start was given.
func (i *controllerInstance) pinAddresses() {
	url := i.server.URL()
	i.nodeConfig.Listen = i.node.Address()
	i.serverConfig.Listen = url[strings.Index(url, "//")+2:]
	i.serverConfig.URL = url
}

func (i *controllerInstance) stop(log *slog.Logger) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.node == nil {
		return
	}
	i.server.Close()
	if err := i.node.Close(); err != nil {
		log.Warn("failed to close controller", "controller", i.nodeConfig.Name, "error", err)
	}
	i.node = nil
}

func (i *controllerInstance) leads() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.node == nil {
		return false
	}
	leads, _ := i.node.IsLeader()
	return leads
}

// read calls f with the instance's state. It returns false while the instance is down.
func (i *controllerInstance) read(f func(*control.State)) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.node == nil {
		return false
	}
	i.node.Read(func(s *control.State, _ policy.Time) { f(s) })
	return true
}
