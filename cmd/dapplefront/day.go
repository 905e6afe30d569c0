package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"dapplefront/internal/scenario"
)

func dayCommand(log logging) *cobra.Command {
	var kind, breach, report, shares, records string
	var seed uint64
	var seconds, controllers int
	var list, quiet, agents, secure bool
	c := &cobra.Command{Use: "day [FILE]", Short: "Play a day of trouble on loopback and judge the five rules",
		Args: cobra.MaximumNArgs(1),
		Long: "Play a day of trouble on loopback: routers, hosts, register, desk and clients, by a script (FILE) or by chance.\n" +
			"Ends with 0 when every rule was kept, 1 when one broke, 2 when it could not run or the audit can't tell.",
		RunE: func(c *cobra.Command, args []string) error {
			if list {
				names, texts := scenario.Kinds()
				for i := range names {
					fmt.Fprintf(c.OutOrStdout(), "%-14s %s\n", names[i], texts[i])
				}
				fmt.Fprintln(c.OutOrStdout(), "\nSeveral joined by + come together, as in bad-some+slow.")
				return nil
			}
			l, err := log("error")
			if err != nil {
				return err
			}
			var p scenario.Plan
			if len(args) == 1 {
				p, err = scenario.Read(args[0])
			} else {
				p, err = scenario.Draw(kind, seed, time.Duration(seconds)*time.Second)
			}
			if err != nil {
				return err
			}
			if shares != "" {
				if !slices.Contains(scenario.Shares, shares) {
					return fmt.Errorf("--shares %s: %s expected", shares, strings.Join(scenario.Shares, ", "))
				}
				p.Shares = shares
			}
			if controllers > 0 {
				p.Controllers = controllers
			}
			p.Records = records
			p.Secure = p.Secure || secure
			p.Breach, p.Agents = breach, p.Agents || agents
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
			defer stop()
			progress := c.OutOrStdout()
			if quiet {
				progress = nil
			}
			r, err := scenario.Play(ctx, p, l, progress)
			if err != nil {
				return err
			}
			if report != "" {
				f, err := os.Create(report)
				if err != nil {
					return err
				}
				if err := r.WriteJSON(f); err != nil {
					return err
				}
				if err := f.Close(); err != nil {
					return err
				}
			}
			r.Print(c.OutOrStdout())
			if code := r.Exit(); code != 0 {
				return exit(code)
			}
			return nil
		}}
	f := c.Flags()
	f.StringVar(&kind, "kind", "mixed", "what kind of day to draw; --list names them")
	f.Uint64Var(&seed, "seed", 1, "chance")
	f.IntVar(&seconds, "seconds", 30, "how long the day is")
	f.BoolVar(&list, "list", false, "name the kinds")
	f.BoolVar(&agents, "agents", false, "run the hosts as processes under build agents")
	f.BoolVar(&secure, "tls", false, "let controllers, routers, agents and clients speak TLS, with roles")
	f.BoolVar(&quiet, "quiet", false, "no line a second")
	f.StringVar(&records, "records", "", "keep the routers' decision records in this folder, for replay")
	f.IntVar(&controllers, "controllers", 0, "how many release controllers: 1, 3 or 5; of several, one is ended at every stage")
	f.StringVar(&shares, "shares", "", "what routers are told of shares worked out ahead: none, plan, stale or absurd")
	f.StringVar(&report, "report", "", "also write the report to this file, as JSON")
	f.StringVar(&breach, "breach", "", "build the routers wrong on purpose: answer, effect, drain, cold or exposure")
	return c
}
