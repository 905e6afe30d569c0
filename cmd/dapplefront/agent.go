package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"dapplefront/agent"
	"dapplefront/build"
	"dapplefront/internal/agentd"
	"dapplefront/internal/artifact"
	"dapplefront/internal/certs"
	"dapplefront/internal/inifile"
)

func agentCommand(log logging) *cobra.Command {
	var all bool
	c := &cobra.Command{Use: "agent FILE", Short: "Run a host's build agent by a file of settings", Args: cobra.ExactArgs(1),
		Long: "Run a host's build agent by a file of settings (docs/operate-agent.md). SIGTERM ends the agent; the builds run on and\n" +
			"the next agent in its folder takes them over. With --all they end too.",
		RunE: func(_ *cobra.Command, args []string) error {
			l, err := log("info")
			if err != nil {
				return err
			}
			s := inifile.Read(args[0])
			p := readPost(s)
			if err := s.Done(); err != nil {
				return err
			}
			a, err := agentd.Start(p, l)
			if err != nil {
				return err
			}
			untilSignal()
			if all {
				a.Stop()
			} else {
				a.Close()
			}
			return nil
		}}
	c.Flags().BoolVar(&all, "all", false, "end the builds with the agent")
	return c
}

// readPost reads an agent's settings; mistakes are kept by the sheet.
func readPost(s *inifile.File) agentd.Config {
	a := s.Section("agent")
	p := agentd.Config{Name: a.Text("name", "!"), Dir: a.Text("folder", "!"), Controller: a.Text("controller", "!"),
		MaxArtifactBytes: int64(a.Bytes("disk", "8GiB")), MaxOutputBytes: int64(a.Bytes("output", "1MiB")), WarmUp: a.Duration("cold", "5s"),
		DrainDelay: a.Duration("drain", "5s"),
		Limits: agent.Limits{MaxCrashes: a.Int("crashes", "5", 0, 1000), CrashBackoff: a.Duration("pause", "200ms"),
			MaxCrashBackoff: a.Duration("longest-pause", "10s"), CrashResetAfter: a.Duration("steady", "60s")}}
	f := s.Section("fetch")
	p.Source = artifact.Source{Mirrors: f.List("mirrors", "!"), MaxAttempts: f.Int("tries", "8", 1, 1000), Backoff: f.Duration("pause", "200ms"),
		IdleTimeout: f.Duration("silence", "10s")}
	if text := f.Text("rate", "none"); text != "none" {
		p.Source.MaxBytesPerSecond = f.Bytes("rate", "1MiB")
	}
	if c := s.Section("tls"); c.Has() {
		ring, err := certs.Open(certs.Files{Certificate: c.Text("certificate", "!"), Key: c.Text("key", "!"), Authority: c.Text("authority", "!")})
		if err != nil {
			c.AddError("certificate", "%v", err)
		} else {
			p.TLS = ring.Client()
		}
	}
	t := s.Section("trust")
	file := t.Text("ring", "!")
	if file != "" {
		raw, err := os.ReadFile(file)
		if err == nil {
			p.KeyRing, err = build.ReadKeyRing(raw)
		}
		if err != nil {
			t.AddError("ring", "%v", err)
		}
	}
	return p
}

func buildCommand() *cobra.Command {
	c := &cobra.Command{Use: "build", Short: "Pack, sign and verify builds, and make keys and rings"}
	c.AddCommand(packCommand(), signCommand(), verifyCommand(), keysCommand())
	return c
}

func packCommand() *cobra.Command {
	var out, name, group, ready string
	var version int
	var start []string
	var within, drain time.Duration
	c := &cobra.Command{Use: "pack FOLDER", Short: "Make a build of a folder: files by digest, and a manifest to sign", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			m := &build.Manifest{Format: 1, Name: name, Group: group, Version: version, Start: start}
			m.Ready.Path, m.Ready.Within, m.Drain.Within = ready, build.Duration(within), build.Duration(drain)
			digest, err := artifact.Pack(args[0], out, m)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s\n", digest)
			return nil
		}}
	f := c.Flags()
	f.StringVar(&out, "out", "mirror", "the folder that a mirror serves")
	f.StringVar(&name, "name", "", "the build's name")
	f.StringVar(&group, "group", "", "the host group that it is for")
	f.IntVar(&version, "version", 0, "its number, higher than that of earlier builds")
	f.StringArrayVar(&start, "start", nil, "its command, a word each; the first is a file of the folder, {port} the port to listen on")
	f.StringVar(&ready, "ready", "/ready", "the path of its probe")
	f.DurationVar(&within, "ready-within", 10*time.Second, "how long it may take to get ready")
	f.DurationVar(&drain, "drain-within", 10*time.Second, "how long it may take to end")
	return c
}

func signCommand() *cobra.Command {
	var out, key string
	c := &cobra.Command{Use: "sign DIGEST", Short: "Add a signature to a packed build", Args: cobra.ExactArgs(1),
		Long: "Add a signature to a packed build. The key is a file that `build keys new` has written; an encrypted one is opened with\n" +
			"the password in DAPPLEFRONT_KEY_PASSWORD.",
		RunE: func(c *cobra.Command, args []string) error {
			return artifact.Sign(out, args[0], key, os.Getenv("DAPPLEFRONT_KEY_PASSWORD"))
		}}
	c.Flags().StringVar(&out, "out", "mirror", "the folder that a mirror serves")
	c.Flags().StringVar(&key, "key", "", "the file of the private key")
	return c
}

func verifyCommand() *cobra.Command {
	var out, ring string
	c := &cobra.Command{Use: "verify DIGEST", Short: "Check a packed build as an agent would", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			raw, err := os.ReadFile(ring)
			if err != nil {
				return err
			}
			r, err := build.ReadKeyRing(raw)
			if err != nil {
				return err
			}
			m, names, err := artifact.Verify(out, args[0], r, time.Now())
			var refused *build.RefusedError
			if errors.As(err, &refused) {
				fmt.Fprintln(c.ErrOrStderr(), "refused:", refused)
				return exit(1)
			}
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s %d for %s: %d files, %d bytes, signed by %v\n", m.Name, m.Version, m.Group, len(m.Files), m.Size(), names)
			return nil
		}}
	c.Flags().StringVar(&out, "out", "mirror", "the folder that a mirror serves")
	c.Flags().StringVar(&ring, "ring", "ring.json", "the file of trusted keys")
	return c
}

func keysCommand() *cobra.Command {
	var group string
	var threshold int
	var days int
	c := &cobra.Command{Use: "keys NAME ...", Short: "Make a key pair for each name, and a ring that trusts them", Args: cobra.MinimumNArgs(1),
		Long: "Make a key pair for each name (NAME.key, encrypted with the password in DAPPLEFRONT_KEY_PASSWORD if that is set) and\n" +
			"ring.json, which trusts them. Nothing that exists is written over.",
		RunE: func(c *cobra.Command, args []string) error {
			r, err := artifact.GenerateKeys(".", args, os.Getenv("DAPPLEFRONT_KEY_PASSWORD"), build.KeyRing{Format: 1, Version: 1, Threshold: threshold, Group: group},
				time.Now(), time.Now().AddDate(0, 0, days))
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "ring.json: %d of %d keys sign for %s\n", r.Threshold, len(r.Keys), r.Group)
			return nil
		}}
	c.Flags().StringVar(&group, "group", "", "the host group")
	c.Flags().IntVar(&threshold, "threshold", 1, "how many signatures a build needs")
	c.Flags().IntVar(&days, "days", 365, "how long the keys are valid")
	return c
}
