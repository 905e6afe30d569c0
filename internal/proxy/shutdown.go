package proxy

import (
	"time"

	"dapplefront/internal/eventloop"
	"dapplefront/policy"
	"dapplefront/router"
)

const (
	// drainPollInterval is the interval at which Shutdown checks whether all client connections are closed.
	drainPollInterval = 10 * time.Millisecond

	// giveUpDuration is the time after which all requests that the policy gives up at one moment have their responses.
	giveUpDuration = policy.Second / 100

	// abortGrace is how long Shutdown waits for clients to read their responses after it was aborted.
	abortGrace = time.Second

	// logQuantile is the quantile of the event loop's delays and run times that is logged.
	logQuantile = 0.99
)

// Shutdown shuts the router down gracefully and closes it. killAfter is when the process may be killed, counted from the
// shutdown signal. The steps, whose times policy.ShutdownSchedule defines, are:
//
//   - Until ServeUntil, the router serves requests, on new connections too, but reports that it is not ready and closes
//     each connection after a response.
//   - From then on it closes idle connections and rejects new requests.
//   - At LastResponse it gives up the requests that have no response yet and refuses those that have not arrived completely.
//   - It returns when every request was responded to, and every client has read its responses or had the time to.
//
// When abort is closed, the router does the third step at once, and returns at the latest abortGrace later. Shutdown returns
// the number of requests that the policy left without a response, which is 0 unless it is faulty. These requests fail.
func (p *Proxy) Shutdown(killAfter time.Duration, abort <-chan struct{}) (undecided int) {
	startedAt := time.Now()
	schedule := p.StartDraining(killAfter)
	aborted := false
	select {
	case <-abort:
		aborted = true
	case <-time.After(eventloop.Duration(schedule.ServeUntil)):
	}
	p.loop.Do(p.server.Close)
	if aborted || !p.awaitDrained(nil, abort) {
		p.loop.Do(p.abortShutdown)
		p.awaitDrained(time.After(abortGrace), nil)
	}
	p.loop.Do(p.failUnanswered)
	p.logClosed(killAfter - time.Since(startedAt))
	p.Close()
	return int(p.shutdown.Undecided)
}

// StartDraining is the first step of a shutdown of a process that may be killed after killAfter, which Shutdown takes if it
// was not taken before. It returns the schedule of the shutdown.
func (p *Proxy) StartDraining(killAfter time.Duration) policy.ShutdownSchedule {
	schedule := policy.NewShutdownSchedule(eventloop.FromDuration(killAfter))
	p.loop.Do(func() { p.startDraining(schedule) })
	return schedule
}

// startDraining has the server drain, and tells the router when it has to give up requests.
func (p *Proxy) startDraining(schedule policy.ShutdownSchedule) {
	now := p.loop.Now()
	p.lastResponseAt = now + schedule.LastResponse
	p.log.Info("draining", "unanswered", p.server.Open(), "client_connections", p.server.Connections(),
		"serve_until", eventloop.Duration(schedule.ServeUntil), "last_response", eventloop.Duration(schedule.LastResponse),
		"kill", eventloop.Duration(schedule.Kill))
	p.server.StartDraining(p.lastResponseAt)
	p.handleEvent(router.ShutdownStarted{KillAfter: schedule.Kill})
	p.loop.After(schedule.LastResponse+1, p.finishResponses)
}

// abortShutdown gives up all requests at once.
func (p *Proxy) abortShutdown() {
	p.log.Warn("shutdown aborted", "unanswered", p.server.Open())
	p.lastResponseAt = p.loop.Now()
	p.handleEvent(router.ShutdownStarted{KillAfter: 0})
	p.loop.After(1, p.finishResponses)
}

// finishResponses responds to what the policy does not give up. Its timer is due after the one with which the policy begins to
// give up requests, so that the policy's next timer is due before failUnanswered, however long the process is held up.
func (p *Proxy) finishResponses() {
	p.server.RefuseArriving()
	p.loop.After(giveUpDuration, p.failUnanswered)
}

// awaitDrained waits until all client connections are closed and none can be accepted any more. It reports false if
// timeout or abort ended the wait before.
func (p *Proxy) awaitDrained(timeout <-chan time.Time, abort <-chan struct{}) bool {
	for accepting := true; ; {
		drained := false
		if ok := p.loop.Do(func() { drained = p.server.Drained() }); !ok || drained && !accepting {
			return true
		}
		if drained { // connections that were accepted until now are served before the router closes
			p.engine.StopAccepting()
			accepting = false
			continue
		}
		select {
		case <-abort:
			return false
		case <-timeout:
			return false
		case <-time.After(drainPollInterval):
		}
	}
}

// logClosed logs what the router did and what it leaves behind. killIn is the time that is left until the process may be
// killed.
func (p *Proxy) logClosed(killIn time.Duration) {
	c, s, late, stats := p.Counts(), p.ShutdownCounts(), p.LateResponses(), p.LoopStats()
	_, clients, upstreams, _ := p.InFlight()
	inputsOverdue := uint64(0)
	p.loop.Do(func() { inputsOverdue = p.inputsOverdue })
	p.log.Info("closed", "cut_off", s.Undecided, "given_up", s.GivenUp, "refused_while_closing", s.RefusedWhileClosing,
		"time_left", killIn.Round(time.Millisecond), "client_connections", clients, "host_connections", upstreams,
		"received", c.Received, "succeeded", c.Succeeded, "rejected", c.Rejected,
		"failed", c.Failed, "clients_gone", c.ClientsGone, "revoked", p.RevokedAttempts(), "inputs_overdue", inputsOverdue, "late", late, "queue_delay_p99", stats.QueueDelay.Quantile(logQuantile),
		"queue_delay_max", stats.QueueDelay.Longest, "timer_delay_p99", stats.TimerDelay.Quantile(logQuantile),
		"timer_delay_max", stats.TimerDelay.Longest, "work_p99", stats.RunTime.Quantile(logQuantile), "work_max", stats.RunTime.Longest)
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
