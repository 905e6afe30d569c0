// Command dapplefront runs the router and, for trying it out, its stand-ins and days of trouble.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/lmittmann/tint"
	"github.com/spf13/cobra"

	"dapplefront/internal/testbed"
)

// version is set when a release is built.
var version = "0.1.0-dev"

// exit ends the program with a code; what is to be said has been said.
type exit int

func (e exit) Error() string { return fmt.Sprintf("exit %d", int(e)) }

func main() {
	testbed.HostProcess() // does not return in a host of a day with agents
	err := command().Execute()
	var code exit
	switch {
	case errors.As(err, &code):
		os.Exit(int(code))
	case err != nil:
		fmt.Fprintln(os.Stderr, "dapplefront:", err)
		os.Exit(2)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "dapplefront", Short: "Moves traffic between an old and a new build",
		SilenceUsage: true, SilenceErrors: true}
	var level, form string
	root.PersistentFlags().StringVar(&level, "log", "", "how much to log: debug, info, warn or error (default warn for a day, info else)")
	root.PersistentFlags().StringVar(&form, "log-form", "text", "text or json")
	log := func(without string) (*slog.Logger, error) { return logger(level, without, form) }
	root.AddCommand(routerCommand(log), nodeCommand(log), dayCommand(log), checkCommand(), hostCommand(log), registerCommand(log),
		loadCommand(), agentCommand(log), buildCommand(), planCommand(), replayCommand(), controllerCommand(log), storeCommand(), releaseCommand(),
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
			Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), "dapplefront", version) }})
	return root
}

type logging func(without string) (*slog.Logger, error)

func logger(level, without, form string) (*slog.Logger, error) {
	if level == "" {
		level = without
	}
	var at slog.Level
	if err := at.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("--log %s: debug, info, warn or error expected", level)
	}
	switch form {
	case "text":
		return slog.New(tint.NewHandler(os.Stderr, &tint.Options{Level: at, TimeFormat: time.StampMilli, NoColor: !terminal(os.Stderr)})), nil
	case "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: at})), nil
	}
	return nil, fmt.Errorf("--log-form %s: text or json expected", form)
}

func terminal(f *os.File) bool {
	s, err := f.Stat()
	return err == nil && s.Mode()&os.ModeCharDevice != 0
}
