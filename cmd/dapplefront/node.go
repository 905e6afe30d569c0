package main

import (
	"github.com/spf13/cobra"

	"dapplefront/internal/logging"
	"dapplefront/internal/node"
)

func nodeCommand(options *logging.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "node",
		Short: "Run a router on the operators' platform",
		Args:  cobra.NoArgs,
		Long: "Run a router on the operators' platform with the configuration file named by EDGE_CONFIG (docs/operate-node.md).\n" +
			"SIGTERM drains the router. SIGHUP reloads the configuration; a configuration with a mistake changes nothing.",
		RunE: func(*cobra.Command, []string) error {
			log, err := options.Logger("info")
			if err != nil {
				return err
			}
			unanswered, err := node.RunWithSignals(log)
			if err == nil && unanswered > 0 {
				err = exitCode(exitFailed)
			}
			return err
		},
	}
}
