// Command dapplefront runs a router, a release controller or a build agent, their tools, and a testbed that runs scenarios
// of faults on loopback.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"dapplefront/internal/logging"
	"dapplefront/internal/testbed"
)

// version is set when a release is built.
var version = "0.1.0-dev"

// Exit codes other than 0. A command that returns exitFailed has already printed the reason.
const (
	exitFailed = 1
	exitUsage  = 2
)

// exitCode is an error that makes the program exit with this code without printing another message.
type exitCode int

func (e exitCode) Error() string { return fmt.Sprintf("exit %d", int(e)) }

func main() {
	testbed.RunIfBackendProcess() // in a process that a scenario with agents started as a backend, this does not return
	err := rootCommand().Execute()
	var code exitCode
	switch {
	case errors.As(err, &code):
		os.Exit(int(code))
	case err != nil:
		fmt.Fprintln(os.Stderr, "dapplefront:", err)
		os.Exit(exitUsage)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "dapplefront",
		Short:         "Moves traffic between an old and a new build",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(os.Stdout)
	var options logging.Options
	flags := root.PersistentFlags()
	flags.StringVar(&options.Level, "log", "", "log level: debug, info, warn or error (default error for scenario, info for all other commands)")
	flags.StringVar(&options.Format, "log-form", "text", "log format: text or json")
	root.AddCommand(
		routerCommand(&options), nodeCommand(&options), checkCommand(), replayCommand(),
		controllerCommand(&options), storeCommand(), releaseCommand(),
		agentCommand(&options), buildCommand(),
		planCommand(), versionCommand(),
	)
	addWithAlias(root, "day", func() *cobra.Command { return scenarioCommand(&options) })
	addWithAlias(root, "host", func() *cobra.Command { return backendCommand(&options) })
	addWithAlias(root, "register", func() *cobra.Command { return endpointsCommand(&options) })
	addWithAlias(root, "load", loadgenCommand)
	return root
}

// addWithAlias adds a command, and the same command under its earlier name (alias), which the help does not list.
func addWithAlias(root *cobra.Command, alias string, command func() *cobra.Command) {
	hidden := command()
	hidden.Use = alias + hidden.Use[len(hidden.Name()):]
	hidden.Hidden = true
	root.AddCommand(command(), hidden)
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(c *cobra.Command, _ []string) { c.Println("dapplefront", version) },
	}
}
