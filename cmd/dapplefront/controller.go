package main

import (
	"errors"
	"log/slog"

	"github.com/spf13/cobra"

	"dapplefront/internal/controller"
	"dapplefront/internal/logging"
)

func controllerCommand(options *logging.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "controller FILE",
		Short: "Run a release controller",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			log, err := options.Logger("info")
			if err != nil {
				return err
			}
			return runController(args[0], log)
		},
	}
}

// runController runs a controller with settings from a file until a signal stops it.
func runController(file string, log *slog.Logger) error {
	config, err := openControllerConfig(file)
	if err != nil {
		return err
	}
	if err := config.secure(); err != nil {
		return err
	}
	node, err := controller.Open(config.node, log)
	if err != nil {
		return err
	}
	server, err := controller.Serve(node, config.server, log)
	if err != nil {
		return errors.Join(err, node.Close())
	}
	log.Info("listening", "url", server.URL(), "peers", node.Address())
	awaitTermination()
	if leads, _ := node.IsLeader(); leads {
		err := node.TransferLeadership() // so that another instance, if there is one, takes over at once
		if err != nil && !errors.Is(err, controller.ErrOnlyInstance) {
			log.Warn("leadership transfer failed; the other instances must elect a leader", "error", err)
		}
	}
	server.Close()
	return node.Close()
}
