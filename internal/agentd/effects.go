package agentd

import (
	"context"
	"time"

	"dapplefront/agent"
	"dapplefront/build"
)

// carryOut carries an effect out, in the background where it takes time.
func (a *Agent) carryOut(e agent.Effect) {
	switch e := e.(type) {
	case agent.Fetch:
		a.runTask(e.Digest, func(ctx context.Context) { a.fetch(ctx, e) })
	case agent.Verify:
		a.runTask(e.Digest, func(ctx context.Context) { a.verify(ctx, e) })
	case agent.Start:
		a.runTask(e.Digest, func(ctx context.Context) { a.start(ctx, e.Digest) })
	case agent.Adopt:
		i := a.machine.State.Instance(e.Digest)
		p, starting := i.Process, i.Phase == agent.Starting
		a.runTask(e.Digest, func(ctx context.Context) { a.adopt(ctx, e.Digest, p, starting) })
	case agent.Cancel:
		a.cancelTask(e.Digest)
	case agent.Stop:
		a.cancelTask(e.Digest)
		a.spawn(func() { a.stopBuild(e.Digest) })
	case agent.AwaitWarmUp:
		startedAt := time.Now()
		if i := a.machine.State.Instance(e.Digest); i != nil {
			startedAt = i.Process.StartedAt
		}
		a.submitAfter(time.Until(startedAt.Add(a.config.WarmUp)), agent.WarmedUp(e))
	case agent.AwaitDrain:
		a.submitAfter(a.config.DrainDelay, agent.Drained(e))
	case agent.Backoff:
		a.submitAfter(e.Delay, agent.BackoffElapsed{Digest: e.Digest})
	case agent.CollectGarbage:
		a.collectGarbage()
	case agent.PublishEndpoint, agent.ReportTransition: // addReports has put them into the outbox
	}
}

// submitAfter queues an input after a delay.
func (a *Agent) submitAfter(d time.Duration, in agent.Input) {
	a.spawn(func() {
		if sleep(a.ctx, d) {
			a.submit(in)
		}
	})
}

// runTask runs a function for a build in the background. Its context ends with the build's next task, with cancelTask
// and with the agent.
func (a *Agent) runTask(digest string, do func(context.Context)) {
	ctx, cancel := context.WithCancel(a.ctx)
	a.mu.Lock()
	if earlier := a.cancels[digest]; earlier != nil {
		earlier()
	}
	a.cancels[digest] = cancel
	a.mu.Unlock()
	a.spawn(func() { do(ctx) })
}

// cancelTask ends the build's task, if one is running.
func (a *Agent) cancelTask(digest string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel := a.cancels[digest]; cancel != nil {
		cancel()
		delete(a.cancels, digest)
	}
}

// submitFrom queues a task's outcome unless the task was canceled.
func (a *Agent) submitFrom(ctx context.Context, in agent.Input) {
	if ctx.Err() == nil {
		a.submit(in)
	}
}

// failTask queues the failure of a task unless it was canceled.
func (a *Agent) failTask(ctx context.Context, digest string, err error) {
	a.submitFrom(ctx, agent.OperationFailed{Digest: digest, Reason: err.Error()})
}

// collectGarbage removes the files of builds that the state does not name.
func (a *Agent) collectGarbage() {
	keep := map[string]*build.Manifest{}
	for _, i := range a.machine.State.Instances() {
		keep[i.Digest] = &build.Manifest{}
		if m, err := a.readManifest(i.Digest); err == nil {
			keep[i.Digest] = m
		} else if i.Phase == agent.Fetching {
			return // its files are not known yet
		}
	}
	if err := a.store.CollectGarbage(keep); err != nil {
		a.log.Warn("files of old builds not removed", "error", err)
	}
}
