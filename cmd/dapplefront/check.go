package main

import (
	"github.com/spf13/cobra"

	"dapplefront/internal/inifile"
	"dapplefront/internal/planreport"
	"dapplefront/internal/routerconfig"
	"dapplefront/internal/scenario"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check the settings of a router, an agent or a controller, a plan or a scenario, and print all mistakes",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			file := inifile.Read(args[0])
			readAny(file)
			if err := file.Err(); err != nil {
				c.PrintErrln(err)
				return exitCode(exitFailed)
			}
			c.Printf("%s: no mistakes\n", args[0])
			return nil
		},
	}
}

// readAny reads a file of any type. The type is determined by the sections of the file. Mistakes are returned by file.Err.
func readAny(file *inifile.File) {
	switch {
	case file.Section("day").Has():
		scenario.Parse(file)
	case file.Section("agent").Has():
		readAgentConfig(file)
	case file.Section("controller").Has():
		readControllerConfig(file)
	case file.Section("plan").Has():
		planreport.FromFile(file)
	default:
		routerconfig.From(file)
	}
}
