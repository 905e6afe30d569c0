package proxy

import (
	"time"

	"dapplefront/internal/eventloop"
)

// drainPollInterval is the interval at which Shutdown checks whether all client connections are closed.
const drainPollInterval = 10 * time.Millisecond

// logQuantile is the quantile of the event loop's delays and run times that is logged.
const logQuantile = 0.99

// StartDraining is the first step of a graceful shutdown. The router continues to serve requests, but reports that it is
// not ready, closes each connection after a response, and responds to requests that arrive from now on before the given
// time has passed.
func (p *Proxy) StartDraining(within time.Duration) {
	p.loop.Do(func() {
		p.server.StartDraining(p.loop.Now() + eventloop.FromDuration(within))
		p.log.Info("draining", "unanswered", p.server.Open(), "client_connections", p.server.Connections(), "respond_within", within)
	})
}

// Shutdown is the second step of a graceful shutdown. It accepts no new connections and rejects new requests. It waits
// until all requests in flight have been responded to and their clients have had time to read the responses. The wait ends
// early when the given time has passed or abort is closed. Shutdown then closes the router and returns the number of
// requests that got no response.
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
	p.loop.Do(p.logUnanswered)
	c, late := p.Counts(), p.LateResponses()
	p.Close()
	stats := p.LoopStats()
	p.log.Info("closed", "cut_off", left, "refused_while_closing", p.ShutdownCounts().RefusedWhileClosing,
		"received", c.Received, "succeeded", c.Succeeded, "rejected", c.Rejected,
		"failed", c.Failed, "clients_gone", c.ClientsGone, "late", late, "queue_delay_p99", stats.QueueDelay.Quantile(logQuantile),
		"queue_delay_max", stats.QueueDelay.Longest, "timer_delay_p99", stats.TimerDelay.Quantile(logQuantile),
		"timer_delay_max", stats.TimerDelay.Longest, "work_p99", stats.RunTime.Quantile(logQuantile), "work_max", stats.RunTime.Longest)
	return left
}

// Close closes the router immediately and waits for its goroutines. Requests in flight get no response.
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

// closeGossip closes the gossip socket permanently.
func (p *Proxy) closeGossip() {
	p.configMu.Lock()
	defer p.configMu.Unlock()
	if p.gossip != nil {
		p.gossip.Close()
		p.gossip = nil
	}
}

// stopCacheWriter stops the goroutine that caches endpoints and waits for it. The event loop must already be closed.
func (p *Proxy) stopCacheWriter() {
	close(p.cacheUpdates)
	<-p.cacheWriterDone
}

// Stall blocks the event loop for d, as if the process were not scheduled. It is used by tests.
func (p *Proxy) Stall(d time.Duration) { go p.loop.Post(func() { time.Sleep(d) }) }
