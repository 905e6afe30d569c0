package main

import (
	"github.com/spf13/cobra"

	"dapplefront/internal/agentd"
	"dapplefront/internal/inifile"
	"dapplefront/internal/logging"
)

func agentCommand(options *logging.Options) *cobra.Command {
	var stopBuilds bool
	c := &cobra.Command{
		Use:   "agent FILE",
		Short: "Run a host's build agent with settings from a file",
		Args:  cobra.ExactArgs(1),
		Long: "Run a host's build agent with settings from a file (docs/operate-agent.md). SIGTERM stops the agent; its builds continue\n" +
			"to run, and the next agent with the same folder takes them over. With --all, the builds are stopped too.",
		RunE: func(_ *cobra.Command, args []string) error {
			log, err := options.Logger("info")
			if err != nil {
				return err
			}
			file := inifile.Read(args[0])
			config := readAgentConfig(file)
			if err := file.Err(); err != nil {
				return err
			}
			agent, err := agentd.Start(config, log)
			if err != nil {
				return err
			}
			awaitTermination()
			if stopBuilds {
				agent.Stop()
			} else {
				agent.Close()
			}
			return nil
		},
	}
	c.Flags().BoolVar(&stopBuilds, "all", false, "stop the builds too when the agent stops")
	return c
}
