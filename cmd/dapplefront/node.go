package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"dapplefront/internal/node"
)

func nodeCommand(log logging) *cobra.Command {
	return &cobra.Command{Use: "node", Short: "Run a router on the operators' platform", Args: cobra.NoArgs,
		Long: "Run a router on the operators' platform, by the configuration that EDGE_CONFIG names (docs/operate-node.md).\n" +
			"SIGTERM ends it as planned; SIGHUP reads the configuration anew; one with a mistake changes nothing.",
		RunE: func(*cobra.Command, []string) error {
			l, err := log("info")
			if err != nil {
				return err
			}
			file := os.Getenv("EDGE_CONFIG")
			if file == "" {
				return fmt.Errorf("EDGE_CONFIG is not set")
			}
			end, anew := make(chan os.Signal, 2), make(chan os.Signal, 1)
			signal.Notify(end, syscall.SIGTERM, os.Interrupt)
			signal.Notify(anew, syscall.SIGHUP)
			left, err := node.Run(file, l, end, anew)
			if err == nil && left > 0 {
				err = exit(1)
			}
			return err
		}}
}
