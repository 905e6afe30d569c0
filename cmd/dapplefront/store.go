package main

import (
	"errors"
	"os"

	"github.com/spf13/cobra"

	"dapplefront/internal/controller"
)

func storeCommand() *cobra.Command {
	c := &cobra.Command{Use: "store", Short: "Check, export, import or repair the store of a controller; the controller must not be running"}
	c.AddCommand(storeCheckCommand(), storeExportCommand(), storeImportCommand(), storeRepairCommand())
	return c
}

func storeCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check every page and entry of the store of a controller; FILE has its settings",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			config, err := openControllerConfig(args[0])
			if err != nil {
				return err
			}
			if err := controller.CheckStore(config.node.Dir, config.node.Control); err != nil {
				c.PrintErrln(err)
				return exitCode(exitFailed)
			}
			c.Printf("%s: no damage\n", config.node.Dir)
			return nil
		},
	}
}

func storeExportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "export FILE",
		Short: "Print the state in the store",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			config, err := openControllerConfig(args[0])
			if err != nil {
				return err
			}
			return controller.Export(config.node.Dir, config.node.Control, c.OutOrStdout())
		},
	}
}

func storeImportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "import FILE STATE",
		Short: "Create a new store with one member from an exported state",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			config, err := openControllerConfig(args[0])
			if err != nil {
				return err
			}
			f, err := os.Open(args[1])
			if err != nil {
				return err
			}
			return errors.Join(controller.Import(config.node, f), f.Close())
		},
	}
}

func storeRepairCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "repair FILE",
		Short: "Recover the readable entries of a damaged store; the damaged file is kept beside it",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			config, err := openControllerConfig(args[0])
			if err != nil {
				return err
			}
			kept, err := controller.Repair(config.node.Dir)
			if err != nil {
				return err
			}
			c.Printf("entries up to %d are kept; the other controllers must bring this one up to date\n", kept)
			return nil
		},
	}
}
