package node

import (
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
)

// Run serves by the configuration in file until a signal comes on terminate, and returns how many requests were canceled
// by the end. A signal on reload reads the file again; a file with a mistake changes nothing and is logged.
//
// While the router shuts down, further signals are ignored except an interrupt, which cancels the requests in flight: the
// platform may send SIGTERM more than once.
func Run(file string, log *slog.Logger, terminate, reload <-chan os.Signal) (canceled int, err error) {
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
				log.Error("the configuration is not changed", "file", file, "error", err)
			}
		case sign := <-terminate:
			log.Info("shutting down", "signal", sign.String())
			return n.shutdownIgnoring(terminate, reload), nil
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

// shutdownIgnoring shuts down while it receives signals, so that none of them blocks its sender or takes effect, except
// an interrupt, which aborts the shutdown.
func (n *Node) shutdownIgnoring(terminate, reload <-chan os.Signal) (canceled int) {
	abort, done := make(chan struct{}), make(chan struct{})
	var receiver sync.WaitGroup
	receiver.Go(func() {
		for {
			select {
			case sign := <-terminate:
				if sign == os.Interrupt {
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

// ApplyLimits holds the process to the limits of its configuration: as many threads of Go code as whole cores, at least
// one, and a soft limit for the heap of 60% of the memory, the rest being left to the kernel's buffers and the binary.
func (c *Config) ApplyLimits() {
	const collectAtPercent = 200
	runtime.GOMAXPROCS(max(1, int(c.Limits.Cores)))
	debug.SetMemoryLimit(int64(c.Limits.MemoryMB) << 20 * 6 / 10)
	debug.SetGCPercent(collectAtPercent)
}
