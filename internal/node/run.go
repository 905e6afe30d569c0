package node

import (
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// configVariable is the environment variable with the name of the router's configuration file on the operators' platform.
const configVariable = "EDGE_CONFIG"

// RunWithSignals runs a router with the configuration file that EDGE_CONFIG names: SIGTERM and an interrupt terminate it,
// SIGHUP reloads the file. It returns the number of requests that got no response.
func RunWithSignals(log *slog.Logger) (unanswered int, err error) {
	file := os.Getenv(configVariable)
	if file == "" {
		return 0, errors.New(configVariable + " is not set")
	}
	terminate, reload := make(chan os.Signal, 2), make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
	return Run(file, log, terminate, reload)
}

// Run serves with the configuration in file until a signal arrives on terminate. It then shuts down gracefully and returns
// the number of requests that got no response. A signal on reload reads the file again; if that fails, Run logs the
// error and keeps the current configuration.
//
// During the shutdown, further signals are ignored, because the platform may send SIGTERM more than once. Only an
// interrupt takes effect: it cancels the requests in flight.
func Run(file string, log *slog.Logger, terminate, reload <-chan os.Signal) (unanswered int, err error) {
	c, err := Read(file)
	if err != nil {
		return 0, err
	}
	c.ApplyLimits()
	n, err := Start(c, log)
	if err != nil {
		return 0, err
	}
	for {
		select {
		case <-reload:
			if err := n.reloadFile(file); err != nil {
				log.Error("configuration reload failed; keeping the current configuration", "file", file, "error", err)
			}
		case sig := <-terminate:
			log.Info("shutting down", "signal", sig.String())
			return n.shutdownIgnoringSignals(terminate, reload), nil
		}
	}
}

func (n *Node) reloadFile(file string) error {
	next, err := Read(file)
	if err != nil {
		return err
	}
	return n.Reload(next)
}

// shutdownIgnoringSignals shuts down while it receives and ignores signals, so that no sender blocks. Only an interrupt
// takes effect: it aborts the shutdown, after which no more signals are received.
func (n *Node) shutdownIgnoringSignals(terminate, reload <-chan os.Signal) (unanswered int) {
	abort, done := make(chan struct{}), make(chan struct{})
	var receiver sync.WaitGroup
	receiver.Go(func() {
		for {
			select {
			case sig := <-terminate:
				if sig == os.Interrupt {
					close(abort)
					return
				}
			case <-reload:
			case <-done:
				return
			}
		}
	})
	defer receiver.Wait()
	defer close(done)
	return n.Shutdown(abort)
}
