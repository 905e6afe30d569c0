package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"dapplefront/internal/logging"
	"dapplefront/internal/scenario"
)

// scenarioOptions are the flags of the scenario command.
type scenarioOptions struct {
	kind        string
	seed        uint64
	seconds     int
	list        bool
	agents      bool
	tls         bool
	quiet       bool
	records     string
	controllers int
	trafficPlan string
	report      string
	violation   string
}

func scenarioCommand(options *logging.Options) *cobra.Command {
	var o scenarioOptions
	c := &cobra.Command{
		Use:   "scenario [FILE]",
		Short: "Run a scenario of faults on loopback and check the five rules",
		Args:  cobra.MaximumNArgs(1),
		Long: "Run a scenario of faults on loopback, with routers, backends, endpoint discovery, a release controller and clients. The\n" +
			"scenario is read from a script (FILE) or generated at random.\n" +
			"Exits with 0 if every rule was kept, 1 if a rule was broken, 2 if the scenario could not run or the audit can't tell.",
		RunE: func(c *cobra.Command, args []string) error {
			if o.list {
				listScenarios(c)
				return nil
			}
			log, err := options.Logger("error")
			if err != nil {
				return err
			}
			spec, err := o.spec(args)
			if err != nil {
				return err
			}
			return o.run(c, spec, log)
		},
	}
	f := c.Flags()
	f.StringVar(&o.kind, "kind", "mixed", "kind of scenario to generate; --list prints the kinds")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the random generator")
	f.IntVar(&o.seconds, "seconds", 30, "length of the scenario in seconds")
	f.BoolVar(&o.list, "list", false, "print the kinds of scenarios")
	f.BoolVar(&o.agents, "agents", false, "run the backends as processes under build agents")
	f.BoolVar(&o.tls, "tls", false, "use TLS, with roles, between controllers, routers, agents and clients")
	f.BoolVar(&o.quiet, "quiet", false, "do not print a line of progress each second")
	f.StringVar(&o.records, "records", "", "write the routers' decision records to this folder, for replay")
	f.IntVar(&o.controllers, "controllers", 0, "number of release controllers: 1, 3 or 5; if there are several, one is restarted at every stage")
	f.StringVar(&o.trafficPlan, "shares", "", "plans of traffic shares that routers receive: none, plan, stale or absurd")
	f.StringVar(&o.report, "report", "", "also write the report to this file, as JSON")
	f.StringVar(&o.violation, "breach", "", "make the routers violate this rule on purpose: answer, effect, drain, cold or exposure")
	return c
}

func listScenarios(c *cobra.Command) {
	names, texts := scenario.Kinds()
	for i := range names {
		c.Printf("%-14s %s\n", names[i], texts[i])
	}
	c.Println("\nSeveral kinds joined by + are combined, as in bad-some+slow.")
}

// spec reads or generates the scenario to run.
func (o *scenarioOptions) spec(args []string) (s scenario.Spec, err error) {
	if len(args) == 1 {
		s, err = scenario.ReadFile(args[0])
	} else {
		s, err = scenario.Generate(o.kind, o.seed, time.Duration(o.seconds)*time.Second)
	}
	if err != nil {
		return s, err
	}
	if o.trafficPlan != "" {
		if !slices.Contains(scenario.TrafficPlans, o.trafficPlan) {
			return s, fmt.Errorf("--shares %s: %s expected", o.trafficPlan, strings.Join(scenario.TrafficPlans, ", "))
		}
		s.TrafficPlan = o.trafficPlan
	}
	if o.controllers > 0 {
		s.Controllers = o.controllers
	}
	s.Records = o.records
	s.Violation = o.violation
	s.TLS = s.TLS || o.tls
	s.Agents = s.Agents || o.agents
	return s, nil
}

func (o *scenarioOptions) run(c *cobra.Command, spec scenario.Spec, log *slog.Logger) error {
	ctx, stop := interruptContext()
	defer stop()
	var progress io.Writer
	if !o.quiet {
		progress = c.OutOrStdout()
	}
	result, err := scenario.Run(ctx, spec, log, progress)
	if err != nil {
		return err
	}
	if o.report != "" {
		if err := writeReport(result, o.report); err != nil {
			return err
		}
	}
	if err := errors.Join(result.PrintLoops(c.OutOrStdout()), result.Print(c.OutOrStdout())); err != nil {
		return err
	}
	if code := result.ExitCode(); code != 0 {
		return exitCode(code)
	}
	return nil
}

func writeReport(result *scenario.Result, file string) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(result.WriteJSON(f), f.Close())
}
