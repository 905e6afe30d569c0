package proxy

import (
	"reflect"

	"dapplefront/internal/gossip"
	"dapplefront/internal/routerconfig"
	"dapplefront/router"
)

// UpdateConfig replaces the configuration of a running router. Either the whole configuration takes effect between two
// events, or nothing changes and the error names what can't change. Requests in flight continue, and the change causes no
// new attempts of them. After the router has been closed, UpdateConfig returns ErrClosed.
func (p *Proxy) UpdateConfig(c *routerconfig.Config) error {
	p.configMu.Lock()
	defer p.configMu.Unlock()
	if err := p.config.CheckChange(c); err != nil {
		return err
	}
	sameGossip := reflect.DeepEqual(p.config.Gossip, c.Gossip)
	socket := p.gossip
	if !sameGossip {
		var err error
		if socket, err = p.replaceGossip(c); err != nil {
			return err
		}
	}
	var refused error
	if !p.loop.Do(func() {
		if refused = p.handle(router.ConfigChanged{Config: c.Router}); refused == nil {
			p.config, p.gossip = c, socket
		}
	}) {
		refused = ErrClosed
	}
	if refused != nil {
		if !sameGossip && socket != nil {
			socket.Close()
		}
		return refused
	}
	p.log.Info("settings changed", "routers", c.Router.Routers, "gossip", c.Gossip != nil, "health_checks", c.Router.Limits.HealthChecks)
	return nil
}

// replaceGossip closes the gossip socket and opens the socket that another configuration describes. If that fails, it
// opens the socket of the current configuration again.
func (p *Proxy) replaceGossip(c *routerconfig.Config) (*gossip.Socket, error) {
	if p.gossip != nil {
		p.gossip.Close() // first, because only one socket can use an address; messages that arrive in between are lost
	}
	socket, err := p.openGossip(c)
	if err != nil {
		previous, _ := p.openGossip(p.config)
		p.loop.Do(func() { p.gossip = previous })
		return nil, err
	}
	return socket, nil
}

// openGossip opens the gossip socket of a configuration. The socket is nil if gossip is not configured.
func (p *Proxy) openGossip(c *routerconfig.Config) (*gossip.Socket, error) {
	if c.Gossip == nil {
		return nil, nil
	}
	return gossip.Open(*c.Gossip, func(rank int, body string) { p.postEvent(router.GossipReceived{Peer: rank, Body: body}) })
}
