package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"dapplefront/internal/planreport"
	"dapplefront/plan"
)

func planCommand() *cobra.Command {
	var picture, whatIf string
	var hosts bool
	c := &cobra.Command{Use: "plan FILE", Short: "Work traffic shares out ahead", Args: cobra.ExactArgs(1),
		Long: "Work traffic shares out ahead for a fleet and a forecast (FILE), step by step: within what hosts can do, caps, cold\n" +
			"budgets, crossing and balance. Says what contradicts what where nothing fits, and what would do.\n" +
			"Ends with 0 when all is served at every step, 1 when not, 2 when the file makes no sense.",
		RunE: func(c *cobra.Command, args []string) error {
			o, p, err := solve(args[0], whatIf)
			if err != nil {
				return err
			}
			if err := o.Print(c.OutOrStdout(), p, hosts); err != nil {
				return err
			}
			if picture != "" {
				if err := o.Plot(picture, p); err != nil {
					return err
				}
			}
			for _, s := range p.Steps {
				if s.Infeasible != nil {
					return exit(1)
				}
			}
			return nil
		}}
	c.Flags().StringVar(&picture, "plot", "", "also draw the plan into this file, .svg or .png")
	c.Flags().StringVar(&whatIf, "what-if", "", `change the fleet or the forecast first: "lose LOCATION", "lose host NAME", "cold LOCATION", "demand xN [LOCATION]" or "no release"`)
	c.Flags().BoolVar(&hosts, "hosts", false, "also each host's share")
	diff := &cobra.Command{Use: "diff FILE FILE", Short: "Tell in what two plans differ", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			o, a, err := solve(args[0], "")
			if err != nil {
				return err
			}
			_, b, err := solve(args[1], whatIf)
			if err != nil {
				return err
			}
			return o.PrintDiff(c.OutOrStdout(), plan.Diff(a, b))
		}}
	diff.Flags().StringVar(&whatIf, "what-if", "", "change the second one first")
	c.AddCommand(diff)
	return c
}

func solve(file, whatIf string) (*planreport.Report, *plan.Plan, error) {
	o, err := planreport.Read(file)
	if err != nil {
		return nil, nil, err
	}
	if whatIf != "" {
		if o.Model, err = o.Model.WhatIf(whatIf); err != nil {
			return nil, nil, err
		}
	}
	p, err := plan.Solve(o.Model)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("%s:", file), err)
	}
	return o, p, nil
}
