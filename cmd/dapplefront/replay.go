package main

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"

	"github.com/spf13/cobra"

	"dapplefront/record"
)

// recordName matches the name of a record file; its group is the router's name.
var recordName = regexp.MustCompile(`^(.*)-\d{8}T\d{6}\.\d{6}-\d{6}\.rec$`)

func replayCommand() *cobra.Command {
	var explain string
	c := &cobra.Command{
		Use:   "replay FILE|FOLDER...",
		Short: "Replay decision records with the router library and compare every action",
		Args:  cobra.MinimumNArgs(1),
		Long: "Replay decision records with the router library alone and compare every action with the recorded one.\n" +
			"Exits with 0 if all actions are equal, 1 if any differ, 2 if there is nothing to compare.",
		RunE: func(c *cobra.Command, args []string) error {
			byRouter, err := recordFiles(args)
			if err != nil {
				return err
			}
			compared, different := 0, 0
			for _, name := range slices.Sorted(maps.Keys(byRouter)) {
				report, err := replayRouter(c, name, byRouter[name], explain)
				if err != nil {
					return err
				}
				compared += report.Entries
				different += report.Differences
			}
			switch {
			case different > 0:
				return exitCode(exitFailed)
			case compared == 0:
				return errors.New("nothing to compare")
			}
			return nil
		},
	}
	c.Flags().StringVar(&explain, "explain", "", "print the history of the request with this id")
	return c
}

// recordFiles returns the record files at the given paths, grouped by router. A path is a record file or a folder of them.
func recordFiles(paths []string) (map[string][]string, error) {
	byRouter := map[string][]string{}
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		files := []string{path}
		if info.IsDir() {
			if files, err = filepath.Glob(filepath.Join(path, "*.rec")); err != nil {
				return nil, err
			}
		}
		for _, file := range files {
			name := filepath.Base(file)
			if m := recordName.FindStringSubmatch(name); m != nil {
				name = m[1]
			}
			byRouter[name] = append(byRouter[name], file)
		}
	}
	return byRouter, nil
}

// replayRouter replays one router's files and prints the result.
func replayRouter(c *cobra.Command, name string, files []string, explain string) (*record.Report, error) {
	slices.Sort(files)
	var trace func(record.Entry)
	if explain != "" {
		trace = record.TraceRequest(explain, c.OutOrStdout())
	}
	report, err := record.Replay(files, trace)
	if err != nil {
		return nil, err
	}
	c.Printf("%s: %d entries with %d actions in %d starts, %d differ\n", name, report.Entries, report.Actions, report.Starts, report.Differences)
	for _, gap := range report.Gaps {
		c.Printf("  %s: %d entries until the next start are not compared\n", gap, report.Skipped)
	}
	if report.First != nil {
		c.Printf("the first difference of %s: %s", name, report.First)
	}
	return report, nil
}
