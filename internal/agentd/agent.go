package agentd

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"dapplefront/agent"
	"dapplefront/build"
	"dapplefront/internal/api"
	"dapplefront/internal/artifact"
	"dapplefront/internal/journal"
	"dapplefront/internal/process"
)

// Agent is the running build agent of one host.
type Agent struct {
	config  Config
	log     *slog.Logger
	store   *artifact.Store
	fetcher *artifact.Fetcher
	journal *journal.Journal
	runner  process.Runner
	http    *http.Client

	controllerIndex atomic.Int64 // number of switches so far; modulo the number of controllers, the index of the one in use

	ctx           context.Context // canceled by Close and Stop
	cancelAll     context.CancelFunc
	goroutines    sync.WaitGroup
	inboxChanged  chan struct{} // wakes run after an input was added
	outboxChanged chan struct{} // wakes sendReports after reports may have been added

	mu         sync.Mutex
	machine    *agent.Machine // changed only by run, with mu held
	inbox      []agent.Input
	outbox     []api.AgentReport             // reports that no controller has accepted yet
	lastReport uint64                        // number of the latest report
	cancels    map[string]context.CancelFunc // cancels the latest operation of each build, by digest
	keyRing    *build.KeyRing                // the key ring in use
}

// Start starts an agent, which continues from the state saved in its folder. It fails with artifact.ErrLocked while
// another agent uses the folder.
func Start(c Config, log *slog.Logger) (*Agent, error) {
	if c.FreePort == nil {
		c.FreePort = freePort
	}
	store, err := artifact.Open(c.Dir, c.MaxArtifactBytes)
	if err != nil {
		return nil, err
	}
	j, saved, err := openJournal(c)
	if err != nil {
		_ = store.Close()
		return nil, err
	}
	dir, err := filepath.Abs(c.Dir)
	if err != nil {
		dir = c.Dir
	}
	a := &Agent{
		config: c, log: log.With("agent", c.Name), store: store, journal: j, fetcher: store.NewFetcher(c.Source),
		runner:       process.Runner{Owner: dir, OutputDir: filepath.Join(dir, outputDir), MaxOutputBytes: c.MaxOutputBytes, Env: c.Env},
		http:         &http.Client{Transport: &http.Transport{TLSClientConfig: c.TLS}},
		inboxChanged: make(chan struct{}, 1), outboxChanged: make(chan struct{}, 1), cancels: map[string]context.CancelFunc{},
		lastReport: saved.LastReport, outbox: saved.Reports,
	}
	a.keyRing = a.loadKeyRing()
	a.ctx, a.cancelAll = context.WithCancel(context.Background())
	if err := a.resume(saved.State); err != nil {
		a.Close()
		return nil, err
	}
	a.spawn(a.run)
	a.spawn(a.sendReports)
	a.spawn(a.followOrders)
	a.spawn(a.trimOutputs)
	return a, nil
}

// Folders below Config.Dir.
const (
	manifestDir = "manifests"
	outputDir   = "output"
)

// openJournal opens the journal, creates the folders and returns the saved entry.
func openJournal(c Config) (*journal.Journal, journal.Entry, error) {
	j, err := journal.Open(filepath.Join(c.Dir, "journal"))
	if err != nil {
		return nil, journal.Entry{}, err
	}
	j.AfterSave, j.BeforeSave = c.AfterSave, c.BeforeSave
	saved, err := j.Load()
	for _, sub := range []string{manifestDir, outputDir} {
		if err == nil {
			err = os.MkdirAll(filepath.Join(c.Dir, sub), 0o755)
		}
	}
	if err != nil {
		_ = j.Close()
		return nil, journal.Entry{}, fmt.Errorf("agent: %w", err)
	}
	return j, saved, nil
}

// resume restores the state machine from a saved state and executes the effects that may be outstanding.
func (a *Agent) resume(s agent.State) error {
	machine, effects := agent.Resume(time.Now(), a.config.Limits, s, a.findProcess)
	a.machine = machine
	a.addReports(effects)
	if err := a.journal.Save(a.entry()); err != nil {
		return err
	}
	a.notifyOutbox()
	for _, e := range effects {
		a.execute(e)
	}
	return nil
}

// findProcess returns the running process of an instance: the one in the state, or one that an earlier agent started
// but could not save.
func (a *Agent) findProcess(i agent.Instance) (agent.Process, bool) {
	if process.Alive(i.Process) {
		return i.Process, true
	}
	if all := a.runner.Find(i.Digest); len(all) > 0 && all[0].Port > 0 {
		all[0].StartedAt = time.Now()
		return all[0], true
	}
	return agent.Process{}, false
}

// Close shuts the agent down. Its builds continue to run, and the next agent in this folder adopts them.
func (a *Agent) Close() {
	a.cancelAll()
	a.goroutines.Wait()
	a.closeFiles()
}

// Stop shuts the agent down and stops the processes of all its builds, each within the drain time of its manifest.
func (a *Agent) Stop() {
	a.cancelAll()
	a.goroutines.Wait()
	var builds sync.WaitGroup
	for _, i := range a.machine.State.Instances() {
		builds.Go(func() {
			if err := a.runner.Stop(i.Digest, a.drainTimeout(i.Digest)); err != nil {
				a.log.Warn("build not stopped", "digest", i.Digest, "error", err)
			}
		})
	}
	builds.Wait()
	a.closeFiles()
}

func (a *Agent) closeFiles() {
	if err := a.journal.Close(); err != nil {
		a.log.Warn("journal not closed", "error", err)
	}
	if err := a.store.Close(); err != nil {
		a.log.Warn("artifact store not closed", "error", err)
	}
}

// spawn runs a function in a goroutine that Close and Stop wait for.
func (a *Agent) spawn(do func()) { a.goroutines.Go(do) }

// sleep waits for a duration. It reports false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
