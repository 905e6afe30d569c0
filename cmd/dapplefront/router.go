package main

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"dapplefront/internal/controlplane/native"
	"dapplefront/internal/logging"
	"dapplefront/internal/proxy"
	"dapplefront/internal/routerconfig"
)

func routerCommand(options *logging.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "router FILE",
		Short: "Run a router with settings from a file",
		Args:  cobra.ExactArgs(1),
		Long: "Run a router with settings from a file (docs/operate-router.md). SIGTERM or an interrupt drains it: requests get their\n" +
			"responses before the time of [router] drain, then it exits with 0. A second interrupt makes it respond to all requests at\n" +
			"once and exit; a second SIGTERM changes nothing.\n" +
			"SIGHUP reloads the file; a mistake, or a change that a running router can't make, changes nothing (docs/migration.md).",
		RunE: func(_ *cobra.Command, args []string) error {
			log, err := options.Logger("info")
			if err != nil {
				return err
			}
			return runRouter(args[0], log)
		},
	}
}

// runRouter runs a router with settings from a file until a signal stops it, and then drains the router.
func runRouter(file string, log *slog.Logger) error {
	config, err := routerconfig.Read(file)
	if err != nil {
		return err
	}
	terminate := make(chan os.Signal, 2)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	p, err := proxy.Start(native.Protocols(config), config, log, nil)
	if err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	var received os.Signal
	for received == nil {
		select {
		case <-reload:
			config = reloadRouter(p, config, file, log)
		case received = <-terminate:
		}
	}
	log.Info("shutting down", "signal", received.String(), "kill_after", config.KillAfter)
	if undecided := p.Shutdown(config.KillAfter, interrupted(terminate)); undecided > 0 {
		return exitCode(exitFailed)
	}
	return nil
}

// reloadRouter reloads the file and returns the configuration that is then in effect.
func reloadRouter(p *proxy.Proxy, config *routerconfig.Config, file string, log *slog.Logger) *routerconfig.Config {
	next, err := routerconfig.Read(file)
	if err == nil {
		err = p.UpdateConfig(next)
	}
	if err != nil {
		log.Error("settings are not changed", "file", file, "error", err)
		return config
	}
	return next
}
