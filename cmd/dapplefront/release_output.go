package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dapplefront/internal/api"
)

// print prints releases as a table or as JSON. In JSON, a single release is printed as an object, not as a list.
func (o *releaseOptions) print(c *cobra.Command, releases ...api.ReleaseObject) error {
	if o.output == "json" {
		if len(releases) == 1 {
			return printJSON(c, releases[0])
		}
		return printJSON(c, releases)
	}
	return printTable(c.OutOrStdout(), func(table io.Writer) error {
		_, err := fmt.Fprintln(table, "BUILD\tPHASE\tSTAGE\tCAP\tSINCE\tWAITS FOR\tVOTES ON\tBACK\tNOTE")
		for _, r := range releases {
			err = errors.Join(err, printRelease(table, r))
		}
		return err
	})
}

func printRelease(table io.Writer, r api.ReleaseObject) error {
	promote, rollback := "-", "-"
	if v := r.Votes; v != nil {
		promote = fmt.Sprintf("%d of %d", v.Promote, v.PromoteQuorum)
		rollback = fmt.Sprintf("%d of %d", v.Rollback, v.RollbackQuorum)
	}
	waitsFor := r.WaitsFor
	if waitsFor == "" {
		waitsFor = "-"
	}
	age := (time.Duration(r.AgeMs) * time.Millisecond).Round(time.Second)
	_, err := fmt.Fprintf(table, "%d\t%s\t%d\t%.3g%%\t%v\t%s\t%s\t%s\t%s\n",
		r.Build, r.Phase, r.Stage, 100*r.ExposureCap, age, waitsFor, promote, rollback, r.Note)
	return err
}

// printHistory prints the steps and the history of a release.
func printHistory(c *cobra.Command, r api.ReleaseObject) error {
	return printTable(c.OutOrStdout(), func(table io.Writer) (err error) {
		for _, s := range r.Steps {
			_, lineErr := fmt.Fprintf(table, "step\t%s\tbefore stage %d\t%s\t%s\n", s.Name, s.Stage, s.State, s.By)
			err = errors.Join(err, lineErr)
		}
		for _, entry := range r.History {
			_, lineErr := fmt.Fprintf(table, "%.1f s\t%s\n", float64(entry.AtMs)/1000, entry.Text)
			err = errors.Join(err, lineErr)
		}
		return err
	})
}

// printTable prints the lines that fill writes, in aligned columns. In these lines, tabs separate the columns.
func printTable(to io.Writer, fill func(table io.Writer) error) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	return errors.Join(fill(table), table.Flush())
}

func printJSON(c *cobra.Command, v any) error {
	e := json.NewEncoder(c.OutOrStdout())
	e.SetIndent("", "  ")
	return e.Encode(v)
}
