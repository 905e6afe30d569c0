package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"dapplefront/internal/planreport"
	"dapplefront/plan"
)

func planCommand() *cobra.Command {
	var picture, whatIf string
	var hosts bool
	c := &cobra.Command{
		Use:   "plan FILE",
		Short: "Plan traffic shares ahead",
		Args:  cobra.ExactArgs(1),
		Long: "Plan traffic shares ahead for a fleet and a forecast (FILE), step by step: within what hosts can do, caps, budgets of\n" +
			"hosts that warm up, traffic between zones and balance. Says what contradicts what where nothing fits, and what would do.\n" +
			"Ends with 0 when all is served at every step, 1 when not, 2 when the file makes no sense.",
		RunE: func(c *cobra.Command, args []string) error {
			report, solution, err := solvePlan(args[0], whatIf)
			if err != nil {
				return err
			}
			if err := report.Print(c.OutOrStdout(), solution, hosts); err != nil {
				return err
			}
			if picture != "" {
				if err := report.Plot(picture, solution); err != nil {
					return err
				}
			}
			for _, step := range solution.Steps {
				if step.Infeasible != nil {
					return exitCode(exitFailed)
				}
			}
			return nil
		},
	}
	c.Flags().StringVar(&picture, "plot", "", "also draw the plan into this file, .svg or .png")
	c.Flags().StringVar(&whatIf, "what-if", "", `change the fleet or the forecast first: "lose LOCATION", "lose host NAME", "cold LOCATION", "demand xN [LOCATION]" or "no release"`)
	c.Flags().BoolVar(&hosts, "hosts", false, "also each host's share")
	c.AddCommand(planDiffCommand())
	return c
}

func planDiffCommand() *cobra.Command {
	var whatIf string
	c := &cobra.Command{
		Use:   "diff FILE FILE",
		Short: "Tell in what two plans differ",
		Args:  cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			report, before, err := solvePlan(args[0], "")
			if err != nil {
				return err
			}
			_, after, err := solvePlan(args[1], whatIf)
			if err != nil {
				return err
			}
			return report.PrintDiff(c.OutOrStdout(), plan.Diff(before, after))
		},
	}
	c.Flags().StringVar(&whatIf, "what-if", "", "change the second one first")
	return c
}

// solvePlan reads a fleet and its forecast, changes them as whatIf says, and solves the plan.
func solvePlan(file, whatIf string) (*planreport.Report, *plan.Plan, error) {
	report, err := planreport.Read(file)
	if err != nil {
		return nil, nil, err
	}
	if whatIf != "" {
		if report.Model, err = report.Model.WhatIf(whatIf); err != nil {
			return nil, nil, err
		}
	}
	solution, err := plan.Solve(report.Model)
	if err != nil {
		return nil, nil, fmt.Errorf("%s:\n%w", file, err)
	}
	return report, solution, nil
}
