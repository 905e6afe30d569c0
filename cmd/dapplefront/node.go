package main

import (
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"dapplefront/internal/node"
)

// configVariable is the environment variable with the name of the router's configuration file on the operators' platform.
const configVariable = "EDGE_CONFIG"

func nodeCommand(options *logOptions) *cobra.Command {
	return &cobra.Command{
		Use:   "node",
		Short: "Run a router on the operators' platform",
		Args:  cobra.NoArgs,
		Long: "Run a router on the operators' platform with the configuration file named by EDGE_CONFIG (docs/operate-node.md).\n" +
			"SIGTERM drains the router. SIGHUP reloads the configuration; a configuration with a mistake changes nothing.",
		RunE: func(*cobra.Command, []string) error {
			log, err := options.logger("info")
			if err != nil {
				return err
			}
			file := os.Getenv(configVariable)
			if file == "" {
				return errors.New(configVariable + " is not set")
			}
			terminate, reload := make(chan os.Signal, 2), make(chan os.Signal, 1)
			signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
			signal.Notify(reload, syscall.SIGHUP)
			unanswered, err := node.Run(file, log, terminate, reload)
			if err == nil && unanswered > 0 {
				err = exitCode(exitFailed)
			}
			return err
		},
	}
}
