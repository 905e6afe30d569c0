package proxy

import (
	"time"

	"dapplefront/internal/eventloop"
)

// drainPollInterval is how often Drain looks whether all requests have been responded to.
const drainPollInterval = 10 * time.Millisecond

// logQuantile is the share of the event loop's delays that the logged one bounds.
const logQuantile = 0.99

// StartDraining is the first step of a graceful shutdown: the router goes on serving, but reports that it is not ready, each
// response closes its connection, and requests that come from now on are responded to within the time given.
func (p *Proxy) StartDraining(within time.Duration) {
	p.loop.Do(func() { p.server.StartDraining(p.loop.Now() + eventloop.FromDuration(within)) })
}

// Shutdown is the second step of a graceful shutdown: it takes no new connections, rejects new requests, waits until those
// in flight have had their response and their clients have read it, at most for the time given or until abort is
// closed, and closes the router. It returns how many requests were left without a response.
func (p *Proxy) Shutdown(within time.Duration, abort <-chan struct{}) (left int) {
	p.engine.CloseListeners()
	timeout := time.After(within)
	p.loop.Do(p.server.Close)
	for aborted := false; !aborted; {
		drained := false
		if ok := p.loop.Do(func() { left, drained = p.server.Open(), p.server.Drained() }); !ok || drained {
			break
		}
		select {
		case <-abort:
			aborted = true
		case <-timeout:
			aborted = true
		case <-time.After(drainPollInterval):
		}
	}
	c, late := p.Counts(), p.LateResponses()
	p.Close()
	stats := p.LoopStats()
	p.log.Info("closed", "cut_off", left, "received", c.Received, "succeeded", c.Succeeded, "rejected", c.Rejected,
		"failed", c.Failed, "clients_gone", c.ClientsGone, "late", late, "queue_delay_p99", stats.QueueDelay.Quantile(logQuantile),
		"queue_delay_max", stats.QueueDelay.Longest, "timer_delay_p99", stats.TimerDelay.Quantile(logQuantile),
		"timer_delay_max", stats.TimerDelay.Longest, "work_p99", stats.RunTime.Quantile(logQuantile), "work_max", stats.RunTime.Longest)
	return left
}

// Close closes the router at once and waits for its goroutines; requests in flight get no response.
func (p *Proxy) Close() {
	p.loop.Close()
	p.engine.Stop()
	p.discovery.Close()
	p.releases.Close()
	p.closeGossip()
	p.stopCacheWriter()
	if p.records != nil {
		if n := p.records.Dropped(); n > 0 {
			p.log.Warn("records were dropped", "entries", n)
		}
		p.logRecordError(p.records.Close())
	}
}

// closeGossip closes the gossip socket for good.
func (p *Proxy) closeGossip() {
	p.configMu.Lock()
	defer p.configMu.Unlock()
	if p.gossip != nil {
		p.gossip.Close()
		p.gossip = nil
	}
}

// stopCacheWriter ends the goroutine that caches endpoints and waits for it. The event loop must be closed.
func (p *Proxy) stopCacheWriter() {
	close(p.cacheUpdates)
	<-p.cacheWriterDone
}

// Stall blocks the event loop for a time, as if the process were not scheduled. It is for tests.
func (p *Proxy) Stall(d time.Duration) { go p.loop.Post(func() { time.Sleep(d) }) }
