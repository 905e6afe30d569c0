package main

import (
	"errors"
	"os"
	"time"

	"github.com/spf13/cobra"

	"dapplefront/build"
	"dapplefront/internal/artifact"
)

// passwordVariable is the environment variable with the password of encrypted private keys.
const passwordVariable = "DAPPLEFRONT_KEY_PASSWORD"

func buildCommand() *cobra.Command {
	c := &cobra.Command{Use: "build", Short: "Pack, sign and verify builds, and generate keys and key rings"}
	c.AddCommand(packCommand(), signCommand(), verifyCommand(), keysCommand())
	return c
}

func packCommand() *cobra.Command {
	var out, name, group, ready string
	var version int
	var start []string
	var readyTimeout, drainTimeout time.Duration
	c := &cobra.Command{
		Use:   "pack FOLDER",
		Short: "Pack a folder into a build: its files, stored by digest, and a manifest to sign",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			m := &build.Manifest{Format: 1, Name: name, Group: group, Version: version, Start: start}
			m.Ready.Path, m.Ready.Within, m.Drain.Within = ready, build.Duration(readyTimeout), build.Duration(drainTimeout)
			digest, err := artifact.Pack(args[0], out, m)
			if err != nil {
				return err
			}
			c.Println(digest)
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&out, "out", "mirror", "folder that a mirror serves")
	f.StringVar(&name, "name", "", "name of the build")
	f.StringVar(&group, "group", "", "host group that the build is for")
	f.IntVar(&version, "version", 0, "number of the build, higher than the numbers of earlier builds")
	f.StringArrayVar(&start, "start", nil, "command that starts the build; repeat the flag for each word; the first word is a file of the folder, {port} stands for the port to listen on")
	f.StringVar(&ready, "ready", "/ready", "path of the readiness check")
	f.DurationVar(&readyTimeout, "ready-within", 10*time.Second, "how long the build may take to become ready")
	f.DurationVar(&drainTimeout, "drain-within", 10*time.Second, "how long the build may take to stop")
	return c
}

func signCommand() *cobra.Command {
	var out, key string
	c := &cobra.Command{
		Use:   "sign DIGEST",
		Short: "Add a signature to a packed build",
		Args:  cobra.ExactArgs(1),
		Long: "Add a signature to a packed build. The key is a file written by `build keys`; an encrypted key is decrypted with the\n" +
			"password in DAPPLEFRONT_KEY_PASSWORD.",
		RunE: func(_ *cobra.Command, args []string) error {
			return artifact.Sign(out, args[0], key, os.Getenv(passwordVariable))
		},
	}
	c.Flags().StringVar(&out, "out", "mirror", "folder that a mirror serves")
	c.Flags().StringVar(&key, "key", "", "file of the private key")
	return c
}

func verifyCommand() *cobra.Command {
	var out, ring string
	c := &cobra.Command{
		Use:   "verify DIGEST",
		Short: "Check a packed build as an agent would",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			raw, err := os.ReadFile(ring)
			if err != nil {
				return err
			}
			trusted, err := build.ReadKeyRing(raw)
			if err != nil {
				return err
			}
			m, names, err := artifact.Verify(out, args[0], trusted, time.Now())
			var refused *build.RefusedError
			if errors.As(err, &refused) {
				c.PrintErrln("refused:", refused)
				return exitCode(exitFailed)
			}
			if err != nil {
				return err
			}
			c.Printf("%s %d for %s: %d files, %d bytes, signed by %v\n", m.Name, m.Version, m.Group, len(m.Files), m.Size(), names)
			return nil
		},
	}
	c.Flags().StringVar(&out, "out", "mirror", "folder that a mirror serves")
	c.Flags().StringVar(&ring, "ring", "ring.json", "file of the key ring with the trusted keys")
	return c
}

func keysCommand() *cobra.Command {
	var group string
	var threshold, days int
	c := &cobra.Command{
		Use:   "keys NAME ...",
		Short: "Generate a key pair for each name, and a key ring that trusts these keys",
		Args:  cobra.MinimumNArgs(1),
		Long: "Generate a key pair for each name (NAME.key, encrypted with the password in DAPPLEFRONT_KEY_PASSWORD if it is set), and\n" +
			"ring.json, a key ring that trusts these keys. Existing files are not overwritten.",
		RunE: func(c *cobra.Command, args []string) error {
			now := time.Now()
			wanted := build.KeyRing{Format: 1, Version: 1, Threshold: threshold, Group: group}
			ring, err := artifact.GenerateKeys(".", args, os.Getenv(passwordVariable), wanted, now, now.AddDate(0, 0, days))
			if err != nil {
				return err
			}
			c.Printf("ring.json: signatures by %d of %d keys are required for %s\n", ring.Threshold, len(ring.Keys), ring.Group)
			return nil
		},
	}
	c.Flags().StringVar(&group, "group", "", "host group of the key ring")
	c.Flags().IntVar(&threshold, "threshold", 1, "number of signatures that a build needs")
	c.Flags().IntVar(&days, "days", 365, "number of days for which the keys are valid")
	return c
}
