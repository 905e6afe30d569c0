package agentd

import (
	"context"
	"time"

	"dapplefront/agent"
	"dapplefront/build"
)

// execute executes an effect, in its own goroutine if it takes time.
func (a *Agent) execute(e agent.Effect) {
	switch e := e.(type) {
	case agent.Fetch:
		a.runOperation(e.Digest, func(ctx context.Context) { a.fetch(ctx, e) })
	case agent.Verify:
		a.runOperation(e.Digest, func(ctx context.Context) { a.verify(ctx, e) })
	case agent.Start:
		a.runOperation(e.Digest, func(ctx context.Context) { a.start(ctx, e.Digest) })
	case agent.Adopt:
		i := a.machine.State.Instance(e.Digest)
		p, starting := i.Process, i.Phase == agent.Starting
		a.runOperation(e.Digest, func(ctx context.Context) { a.adopt(ctx, e.Digest, p, starting) })
	case agent.Cancel:
		a.cancelOperation(e.Digest)
	case agent.Stop:
		a.cancelOperation(e.Digest)
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
	case agent.PublishEndpoint, agent.ReportTransition: // addReports has already added them to the outbox
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

// runOperation runs an operation of a build in its own goroutine. The operation's context is canceled when the next
// operation of the build starts, when cancelOperation is called, or when the agent shuts down.
func (a *Agent) runOperation(digest string, do func(context.Context)) {
	ctx, cancel := context.WithCancel(a.ctx)
	a.mu.Lock()
	if earlier := a.cancels[digest]; earlier != nil {
		earlier()
	}
	a.cancels[digest] = cancel
	a.mu.Unlock()
	a.spawn(func() { do(ctx) })
}

// cancelOperation cancels the operation of a build, if one is in progress.
func (a *Agent) cancelOperation(digest string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel := a.cancels[digest]; cancel != nil {
		cancel()
		delete(a.cancels, digest)
	}
}

// submitUnlessCanceled queues the outcome of an operation unless the operation was canceled.
func (a *Agent) submitUnlessCanceled(ctx context.Context, in agent.Input) {
	if ctx.Err() == nil {
		a.submit(in)
	}
}

// submitFailure queues the failure of an operation unless the operation was canceled.
func (a *Agent) submitFailure(ctx context.Context, digest string, err error) {
	a.submitUnlessCanceled(ctx, agent.OperationFailed{Digest: digest, Reason: err.Error()})
}

// collectGarbage removes the files of builds that have no instance in the state.
func (a *Agent) collectGarbage() {
	keep := map[string]*build.Manifest{}
	for _, i := range a.machine.State.Instances() {
		keep[i.Digest] = &build.Manifest{}
		if m, err := a.readManifest(i.Digest); err == nil {
			keep[i.Digest] = m
		} else if i.Phase == agent.Fetching {
			return // the files of this build are not known yet, so none can be removed
		}
	}
	if err := a.store.CollectGarbage(keep); err != nil {
		a.log.Warn("files of old builds not removed", "error", err)
	}
}
