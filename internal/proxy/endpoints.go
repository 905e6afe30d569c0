package proxy

import (
	"time"

	"dapplefront/internal/endpoint"
	"dapplefront/internal/eventloop"
	"dapplefront/policy"
	"dapplefront/router"
)

// endpointsUnavailable reports a failure of endpoint discovery to the router, which decides when to call it again.
func (p *Proxy) endpointsUnavailable() {
	if !p.discoveryFailed {
		p.discoveryFailed, p.discoveryDownAt = true, p.loop.Now()
	}
	p.handleEvent(router.EndpointsUnavailable{})
}

// endpointsChanged applies a complete endpoint list, or only the changes to it if complete is false.
func (p *Proxy) endpointsChanged(complete bool, hosts []endpoint.Host) {
	if p.discoveryFailed {
		p.discoveryFailed = false
		p.log.Info("endpoint discovery available again", "failed_for", eventloop.Duration(p.loop.Now()-p.discoveryDownAt), "hosts", len(hosts))
	}
	list := make([]router.Host, len(hosts))
	listed := make(map[uint32]bool, len(hosts))
	wallStep := p.loop.WallStep()
	for n, h := range hosts {
		list[n], listed[h.ID] = h.Host, true
		list[n].StartedAt = p.startTimes.convert(h.ID, h.StartedAt, wallStep)
		if h.State == policy.Removed {
			p.pool.Remove(h.ID)
		} else {
			p.pool.SetAddress(h.ID, h.Address)
		}
		p.endpoints[h.ID] = h
	}
	for id, h := range p.endpoints {
		if complete && !listed[id] && h.State != policy.Removed {
			h.State = policy.Removed
			p.endpoints[id] = h
			p.pool.Remove(id)
		}
	}
	p.handleEvent(router.EndpointsChanged{Complete: complete, Hosts: list})
	var current []endpoint.Host
	for id, h := range p.endpoints {
		if h.State != policy.Removed {
			current = append(current, h)
		} else if p.faults == nil { // a fault injector may send attempts to removed hosts
			delete(p.endpoints, id)
			delete(p.startTimes, id)
		}
	}
	p.cacheEndpoints(current)
}

// loadEndpointCache applies the endpoint list that an earlier process cached, if there is one.
func (p *Proxy) loadEndpointCache() {
	if p.config.EndpointCache == "" {
		return
	}
	hosts, err := endpoint.LoadCache(p.config.EndpointCache)
	if err != nil {
		p.log.Warn("starting without cached endpoints", "error", err)
	} else if len(hosts) > 0 {
		p.log.Info("starting with cached endpoints", "hosts", len(hosts))
		p.endpointsChanged(true, hosts)
	}
}

// cacheEndpoints passes a list to the cache's writer. It replaces an older list that is still waiting to be written.
func (p *Proxy) cacheEndpoints(hosts []endpoint.Host) {
	if p.config.EndpointCache == "" {
		return
	}
	select {
	case <-p.cacheUpdates:
	default:
	}
	p.cacheUpdates <- hosts
}

// cacheRetryInterval is the time after which a list that could not be cached is written again.
const cacheRetryInterval = time.Second

// writeEndpointCache writes lists to the cache file, outside the loop, until cacheUpdates is closed. It repeats a write that
// failed, because the disk may be full only for a while and the list may not change for long.
func (p *Proxy) writeEndpointCache(file string) {
	defer close(p.cacheWriterDone)
	for hosts := range p.cacheUpdates {
		for failures := 0; ; failures++ {
			err := endpoint.SaveCache(file, hosts)
			if err == nil {
				break
			}
			if failures == 0 {
				p.log.Warn("endpoints are not cached; trying again", "file", file, "error", err)
			}
			newer, open := receiveWithin(p.cacheUpdates, cacheRetryInterval)
			if !open {
				p.log.Error("the last endpoint list is not cached", "file", file, "error", err)
				return
			}
			if newer != nil {
				hosts = newer
			}
		}
	}
}

// receiveWithin returns the next value of a channel, or nil if none arrives within d, and whether the channel is open.
func receiveWithin(lists <-chan []endpoint.Host, d time.Duration) (hosts []endpoint.Host, open bool) {
	select {
	case hosts, open = <-lists:
		return hosts, open
	case <-time.After(d):
		return nil, true
	}
}
