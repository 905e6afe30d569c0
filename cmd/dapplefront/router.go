package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"dapplefront/internal/inifile"
	"dapplefront/internal/planreport"
	"dapplefront/internal/proxy"
	"dapplefront/internal/routerconfig"
	"dapplefront/internal/scenario"
)

func routerCommand(log logging) *cobra.Command {
	return &cobra.Command{Use: "router FILE", Short: "Run a router by a file of settings", Args: cobra.ExactArgs(1),
		Long: "Run a router by a file of settings (docs/operate-router.md). SIGTERM or an interrupt drains: no new tasks, those\n" +
			"held get their answer, then it ends with 0. A second signal ends it at once with 1. SIGHUP reads the file anew; one with\n" +
			"a mistake, or with a change that a running router can't make, changes nothing (docs/migration.md).",
		RunE: func(_ *cobra.Command, args []string) error {
			l, err := log("info")
			if err != nil {
				return err
			}
			c, err := routerconfig.Read(args[0])
			if err != nil {
				return err
			}
			signals := make(chan os.Signal, 2)
			signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
			i, err := proxy.Start(c, l, nil)
			if err != nil {
				return err
			}
			anew := make(chan os.Signal, 1)
			signal.Notify(anew, syscall.SIGHUP)
			var sign os.Signal
			for sign == nil {
				select {
				case <-anew:
					next, err := routerconfig.Read(args[0])
					if err == nil {
						err = i.UpdateConfig(next)
					}
					if err != nil {
						l.Error("settings are not changed", "file", args[0], "error", err)
					} else {
						c = next
					}
				case sign = <-signals:
				}
			}
			l.Info("draining", "signal", sign.String(), "at most", c.DrainTimeout)
			cut := make(chan struct{})
			go func() { <-signals; close(cut) }()
			if left := i.Drain(c.DrainTimeout, cut); left > 0 {
				return exit(1)
			}
			return nil
		}}
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "Check a file of settings of a router or an agent, or a script, and tell every mistake",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s := inifile.Read(args[0])
			switch {
			case s.Section("day").Has():
				scenario.From(s)
			case s.Section("agent").Has():
				readPost(s)
			case s.Section("controller").Has():
				readOffice(s)
			case s.Section("plan").Has():
				planreport.FromFile(s)
			default:
				routerconfig.From(s)
			}
			if err := s.Done(); err != nil {
				fmt.Fprintln(c.ErrOrStderr(), err)
				return exit(1)
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: no mistakes\n", args[0])
			return nil
		}}
}
