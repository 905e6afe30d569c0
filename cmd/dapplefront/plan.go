package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"dapplefront/internal/planreport"
	"dapplefront/plan"
)

func planCommand() *cobra.Command {
	var plotFile, whatIf string
	var hosts bool
	c := &cobra.Command{
		Use:   "plan FILE",
		Short: "Plan future traffic shares for a fleet",
		Args:  cobra.ExactArgs(1),
		Long: "Plan future traffic shares for a fleet and a forecast (FILE). At each step, a plan stays within host capacity, caps and\n" +
			"warm-up budgets, with little traffic between zones and good balance. If demand is unserved, prints conflicting limits and remedies.\n" +
			"Exits with 0 if all demand is served at every step, 1 if not, 2 if the file is invalid.",
		RunE: func(c *cobra.Command, args []string) error {
			report, solution, err := solvePlan(args[0], whatIf)
			if err != nil {
				return err
			}
			if err := report.Print(c.OutOrStdout(), solution, hosts); err != nil {
				return err
			}
			if plotFile != "" {
				if err := report.Plot(plotFile, solution); err != nil {
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
	c.Flags().StringVar(&plotFile, "plot", "", "also draw the plan to this file, .svg or .png")
	c.Flags().StringVar(&whatIf, "what-if", "", `change the fleet or the forecast first: "lose LOCATION", "lose host NAME", "cold LOCATION", "demand xN [LOCATION]" or "no release"`)
	c.Flags().BoolVar(&hosts, "hosts", false, "also print the share of each host")
	c.AddCommand(planDiffCommand())
	return c
}

func planDiffCommand() *cobra.Command {
	var whatIf string
	c := &cobra.Command{
		Use:   "diff FILE FILE",
		Short: "Print the differences between two plans",
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
	c.Flags().StringVar(&whatIf, "what-if", "", "change the fleet or the forecast of the second FILE before its plan is computed; takes the values of plan --what-if")
	return c
}

// solvePlan reads a fleet and its forecast, applies the what-if change unless it is "", and solves the plan.
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
