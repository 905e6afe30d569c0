package proxy

import (
	"reflect"

	"dapplefront/internal/gossip"
	"dapplefront/internal/routerconfig"
	"dapplefront/router"
)

// UpdateConfig replaces the configuration of a running router. Either all of it applies from one event to the next, or
// the error names what can't change and nothing has changed. Requests in flight go on, and none is sent again for it.
// After the router has been closed it returns ErrClosed.
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

// replaceGossip closes the gossip socket and opens that of another configuration. Where that fails, the socket of the
// present configuration is opened again.
func (p *Proxy) replaceGossip(c *routerconfig.Config) (*gossip.Socket, error) {
	if p.gossip != nil {
		p.gossip.Close() // first, as an address takes one socket; messages that come meanwhile are lost
	}
	socket, err := p.openGossip(c)
	if err != nil {
		previous, _ := p.openGossip(p.config)
		p.loop.Do(func() { p.gossip = previous })
		return nil, err
	}
	return socket, nil
}

// openGossip opens the gossip socket of a configuration; nil where it has none.
func (p *Proxy) openGossip(c *routerconfig.Config) (*gossip.Socket, error) {
	if c.Gossip == nil {
		return nil, nil
	}
	return gossip.Open(*c.Gossip, func(rank int, body string) { p.postEvent(router.GossipReceived{Peer: rank, Body: body}) })
}
