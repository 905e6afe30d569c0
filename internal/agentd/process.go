package agentd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"dapplefront/agent"
	"dapplefront/build"
	"dapplefront/internal/process"
)

const (
	readyPollInterval   = 10 * time.Millisecond
	exitPollInterval    = 20 * time.Millisecond // for processes that an earlier agent started
	healthCheckTimeout  = time.Second
	defaultDrainTimeout = 10 * time.Second // time between SIGTERM and SIGKILL if the manifest can't be read: that of a build that doesn't ask for another
	trimInterval        = time.Second
)

// start starts a verified build and waits until it is ready.
func (a *Agent) start(ctx context.Context, digest string) {
	m, dir, port, err := a.prepareStart(digest)
	if err != nil {
		a.submitFailure(ctx, digest, err)
		return
	}
	if ctx.Err() != nil {
		return
	}
	p, exited, err := a.runner.Start(digest, dir, commandLine(m.Start, port), port)
	if err != nil {
		a.submitFailure(ctx, digest, err)
		return
	}
	a.submitUnlessCanceled(ctx, agent.Started{Digest: digest, Process: p})
	a.spawn(func() {
		select {
		case err := <-exited:
			a.submitUnlessCanceled(ctx, agent.Exited{Digest: digest, Reason: err.Error()})
		case <-ctx.Done():
		}
	})
	a.awaitReady(ctx, digest, m, port, time.Now())
}

// prepareStart returns the manifest, the folder and a free port for the start of a build. It stops processes that an
// earlier attempt may have left running.
func (a *Agent) prepareStart(digest string) (m *build.Manifest, dir string, port int, err error) {
	if m, err = a.readManifest(digest); err != nil {
		return nil, "", 0, err
	}
	if dir, err = a.store.Install(digest, m); err != nil {
		return nil, "", 0, err
	}
	if err = a.runner.Stop(digest, 0); err != nil {
		return nil, "", 0, err
	}
	port, err = a.config.FreePort()
	return m, dir, port, err
}

// commandLine replaces {port} in a manifest's start command by the port.
func commandLine(arguments []string, port int) []string {
	line := make([]string, len(arguments))
	for i, argument := range arguments {
		line[i] = strings.ReplaceAll(argument, "{port}", strconv.Itoa(port))
	}
	return line
}

// adopt takes over a process that an earlier agent started, and polls for its exit. If the build is still starting, it
// also waits until the build is ready.
func (a *Agent) adopt(ctx context.Context, digest string, p agent.Process, starting bool) {
	a.spawn(func() {
		for ctx.Err() == nil {
			if !process.Alive(p) {
				a.submitUnlessCanceled(ctx, agent.Exited{Digest: digest, Reason: "its process has ended"})
				return
			}
			sleep(ctx, exitPollInterval)
		}
	})
	if !starting {
		return
	}
	m, err := a.readManifest(digest)
	if err != nil {
		a.submitFailure(ctx, digest, err)
		return
	}
	a.submitUnlessCanceled(ctx, agent.Started{Digest: digest, Process: p})
	a.awaitReady(ctx, digest, m, p.Port, time.Now())
}

// awaitReady waits until a build has declared itself ready and passes its health check. A build that isn't ready in
// time is killed.
func (a *Agent) awaitReady(ctx context.Context, digest string, m *build.Manifest, port int, began time.Time) {
	client := &http.Client{Timeout: healthCheckTimeout}
	url := fmt.Sprintf("http://127.0.0.1:%d%s", port, m.Ready.Path)
	for ctx.Err() == nil {
		if _, err := os.Stat(a.runner.ReadyFile(digest)); err == nil && healthy(client, url) {
			a.submitUnlessCanceled(ctx, agent.Ready{Digest: digest})
			return
		}
		if time.Since(began) > time.Duration(m.Ready.Within) {
			a.failNotReady(ctx, digest)
			return
		}
		sleep(ctx, readyPollInterval)
	}
}

// failNotReady kills a build that isn't ready in time. It cancels the operation first, so that the exit isn't queued as
// a further input.
func (a *Agent) failNotReady(ctx context.Context, digest string) {
	a.cancelOperation(digest)
	if ctx.Err() != nil && a.ctx.Err() == nil {
		_ = a.runner.Stop(digest, 0)
		a.submit(agent.OperationFailed{Digest: digest, Reason: "it was not ready in time"})
	}
}

func healthy(client *http.Client, url string) bool {
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// drainTimeout returns how long a build may take to finish its requests after SIGTERM.
func (a *Agent) drainTimeout(digest string) time.Duration {
	m, err := a.readManifest(digest)
	if err != nil {
		a.log.Warn("manifest not readable; using the default drain time", "digest", digest, "drain", defaultDrainTimeout, "error", err)
		return defaultDrainTimeout
	}
	return time.Duration(m.Drain.Within)
}

// stopBuild stops all processes of a build.
func (a *Agent) stopBuild(digest string) {
	if err := a.runner.Stop(digest, a.drainTimeout(digest)); err != nil {
		a.log.Error("build not stopped", "digest", digest, "error", err)
		a.submit(agent.OperationFailed{Digest: digest, Reason: err.Error()})
		return
	}
	a.submit(agent.Exited{Digest: digest, Reason: "as told"})
}

// freePort returns a TCP port on which no process listens. If another process takes it before the build does, the start
// of the build fails and the next attempt uses another port.
func freePort() (port int, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, l.Close()) }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// trimOutputs trims the output of all builds once per trimInterval.
func (a *Agent) trimOutputs() {
	for sleep(a.ctx, trimInterval) {
		s := a.State()
		for _, i := range s.Instances() {
			if err := a.runner.TrimOutput(i.Digest); err != nil {
				a.log.Warn("output not trimmed", "digest", i.Digest, "error", err)
			}
		}
	}
}
