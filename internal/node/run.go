package node

import (
	"log/slog"
	"os"
)

// Run serves by the configuration in file until a signal to end comes, and returns how many requests were cut off. One on
// reload reads the file anew; a mistake in it changes nothing. Once the router ends, further signals change nothing but an
// interrupt, which cuts off what is still held: whoever ends routers may say so twice.
func Run(file string, log *slog.Logger, end, reload <-chan os.Signal) (left int, err error) {
	p, err := Read(file)
	if err != nil {
		return 0, err
	}
	p.ApplyLimits()
	n, err := Start(p, log)
	if err != nil {
		return 0, err
	}
	for {
		select {
		case <-reload:
			next, err := Read(file)
			if err == nil {
				err = n.Reload(next)
			}
			if err != nil {
				log.Error("the configuration is not changed", "file", file, "error", err)
			}
		case sign := <-end:
			log.Info("retiring", "signal", sign.String())
			cut, ended := make(chan struct{}), make(chan struct{})
			go func() {
				for {
					select {
					case again := <-end:
						if again == os.Interrupt {
							close(cut)
							return
						}
					case <-reload:
					case <-ended:
						return
					}
				}
			}()
			defer close(ended)
			return n.Shutdown(cut), nil
		}
	}
}
