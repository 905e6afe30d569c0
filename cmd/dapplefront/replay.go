package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"

	"github.com/spf13/cobra"

	"dapplefront/record"
)

// recordName is the name of a file of records, with its router's.
var recordName = regexp.MustCompile(`^(.*)-\d{8}T\d{6}\.\d{6}-\d{6}\.rec$`)

func replayCommand() *cobra.Command {
	var explain string
	c := &cobra.Command{Use: "replay FILE|FOLDER...", Short: "Run decision records through the library and compare every action",
		Args: cobra.MinimumNArgs(1),
		Long: "Run decision records through the library alone and compare every action with the recorded one.\n" +
			"Ends with 0 when all are equal, 1 when one differs, 2 when there is nothing to compare.",
		RunE: func(c *cobra.Command, args []string) error {
			byRouter := map[string][]string{}
			for _, a := range args {
				s, err := os.Stat(a)
				if err != nil {
					return err
				}
				files := []string{a}
				if s.IsDir() {
					if files, err = filepath.Glob(filepath.Join(a, "*.rec")); err != nil {
						return err
					}
				}
				for _, f := range files {
					name := filepath.Base(f)
					if m := recordName.FindStringSubmatch(name); m != nil {
						name = m[1]
					}
					byRouter[name] = append(byRouter[name], f)
				}
			}
			var names []string
			for n := range byRouter {
				names = append(names, n)
			}
			slices.Sort(names)
			compared, differs := 0, 0
			for _, n := range names {
				files := byRouter[n]
				slices.Sort(files)
				var tell func(record.Entry)
				if explain != "" {
					tell = record.TraceRequest(explain, c.OutOrStdout())
				}
				r, err := record.Replay(files, tell)
				if err != nil {
					return err
				}
				compared, differs = compared+r.Entries, differs+r.Differences
				fmt.Fprintf(c.OutOrStdout(), "%s: %d entries with %d actions in %d lives, %d differ\n", n, r.Entries, r.Actions, r.Starts, r.Differences)
				for _, g := range r.Gaps {
					fmt.Fprintf(c.OutOrStdout(), "  %s: %d entries up to the next start are not compared\n", g, r.Skipped)
				}
				if r.First != nil {
					fmt.Fprintf(c.OutOrStdout(), "the first difference of %s: %s", n, r.First)
				}
			}
			switch {
			case differs > 0:
				return exit(1)
			case compared == 0:
				return fmt.Errorf("nothing to compare")
			}
			return nil
		}}
	c.Flags().StringVar(&explain, "explain", "", "tell the life of the task with this id")
	return c
}
