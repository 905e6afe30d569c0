package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"go4.org/netipx"

	"dapplefront/client"
	"dapplefront/control"
	"dapplefront/internal/api"
	"dapplefront/internal/certs"
	"dapplefront/internal/controller"
	"dapplefront/internal/eventloop"
	"dapplefront/internal/inifile"
	"dapplefront/policy"
	"dapplefront/release"
)

// office is what a controller is told at start.
type office struct {
	seat   controller.NodeConfig
	front  controller.ServerConfig
	files  certs.Files
	peers  []string
	grants []controller.Grant
}

// readOffice reads a controller's settings; mistakes are kept by the sheet.
func readOffice(s *inifile.File) (o office) {
	p := s.Section("controller")
	o.seat = controller.NodeConfig{Name: p.Text("name", "!"), Dir: p.Text("store", "!"), Listen: p.Address("peers", "127.0.0.1:7400"),
		Bootstrap: p.Bool("first", "off"), Quick: p.Bool("near", "on"), Build: p.Int("build", "1", 1, 65535)}
	o.front = controller.ServerConfig{Listen: p.Address("listen", "127.0.0.1:7300"), URL: p.Text("url", ""), VotesPerSecond: p.Float("votes-a-second", "30", 0.1, 1e6),
		MaxWatchers: p.Int("watchers", "5000", 1, 1<<20), BookmarkInterval: p.Duration("bookmark", "2s"), WriteTimeout: p.Duration("slow", "5s")}
	p = s.Section("releases")
	r := release.Rules{Mode: map[string]policy.PromotionMode{"share": policy.Quorum, "clock": policy.Timed}[p.OneOf("control", "share", "share", "any", "clock")],
		MinStageTime: eventloop.FromDuration(p.Duration("least-time", "2s")), StageTime: eventloop.FromDuration(p.Duration("clock-time", "10s")), VoteTTL: eventloop.FromDuration(p.Duration("vote-life", "10s")),
		PromoteQuorum: p.Int("to-move-on", "1", 1, 100_000), RollbackQuorum: p.Int("to-abort", "1", 1, 100_000), HoldQuorum: p.Int("to-hold", "0", 0, 100_000)}
	shares, caps := p.Shares("shares", "3%, 12%, 40%, 100%"), p.Shares("caps", "4%, 15%, 50%, 100%")
	if len(shares) != len(caps) {
		p.AddError("caps", "caps: as many as shares expected, %d and not %d", len(shares), len(caps))
	}
	for i := range min(len(shares), len(caps)) {
		r.Stages = append(r.Stages, release.Stage{HostShare: shares[i], ExposureCap: caps[i]})
	}
	o.seat.Control = control.Config{Rules: r, PromoteShare: p.Share("on-share", "0%"), RollbackShare: p.Share("back-share", "0%"),
		RouterTimeout: eventloop.FromDuration(p.Duration("absent", "30s")), MaxEvents: p.Int("events", "4096", 100, 1<<20), MaxCreationKeys: p.Int("keys", "1000", 10, 1<<20)}
	o.guard(s)
	return o
}

// guard reads certificates and who may do what.
func (o *office) guard(s *inifile.File) {
	p := s.Section("tls")
	o.files = certs.Files{Certificate: p.Text("certificate", ""), Key: p.Text("key", ""), Authority: p.Text("authority", "")}
	if k := o.files; p.Has() && (k.Certificate == "" || k.Key == "" || k.Authority == "") {
		p.AddError("", "certificate, key and authority expected")
	}
	o.peers = p.List("controllers", "")
	parts, names := s.Sections("grant")
	for i, g := range parts {
		grant := controller.Grant{CommonNames: g.List("names", "")}
		if all := g.Networks("networks", ""); len(all) > 0 {
			var b netipx.IPSetBuilder
			for _, n := range all {
				b.AddPrefix(n)
			}
			set, err := b.IPSet()
			if err != nil {
				g.AddError("networks", "networks: %v", err)
			}
			grant.Networks = set
		}
		for _, r := range g.List("roles", "!") {
			if !slices.Contains(controller.Roles, controller.Role(r)) {
				g.AddError("roles", "roles = %s: some of %v expected", r, controller.Roles)
			}
			grant.Roles = append(grant.Roles, controller.Role(r))
		}
		if len(grant.CommonNames) > 0 && !p.Has() {
			g.AddError("names", "[grant %s] goes by certificates, but there is no section [tls]", names[i])
		}
		o.grants = append(o.grants, grant)
	}
}

// secure puts certificates and grants in force.
func (o *office) secure() error {
	if o.files == (certs.Files{}) && len(o.grants) == 0 {
		return nil
	}
	o.front.Authorizer = &controller.Authorizer{Grants: o.grants, Peers: o.peers}
	if o.files == (certs.Files{}) {
		return nil
	}
	ring, err := certs.Open(o.files)
	if err != nil {
		return err
	}
	o.front.Authorizer.ServerTLS, o.front.Authorizer.ClientTLS = ring.Server(), ring.Client()
	o.seat.StreamLayer = controller.TLSStreamLayer(ring, o.peers)
	return nil
}

func openOffice(file string) (office, error) {
	s := inifile.Read(file)
	o := readOffice(s)
	return o, s.Done()
}

func controllerCommand(log logging) *cobra.Command {
	return &cobra.Command{Use: "controller FILE", Short: "Run a release controller", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			l, err := log("info")
			if err != nil {
				return err
			}
			o, err := openOffice(args[0])
			if err != nil {
				return err
			}
			if err := o.secure(); err != nil {
				return err
			}
			n, err := controller.Open(o.seat, l)
			if err != nil {
				return err
			}
			s, err := controller.Serve(n, o.front, l)
			if err != nil {
				return errors.Join(err, n.Close())
			}
			l.Info("listening", "url", s.URL(), "peers", n.Address())
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			<-ctx.Done()
			if leads, _ := n.IsLeader(); leads {
				_ = n.TransferLeadership() // another takes over at once, where there is one
			}
			s.Close()
			return n.Close()
		}}
}

func storeCommand() *cobra.Command {
	c := &cobra.Command{Use: "store", Short: "Look after a controller's store; the controller must not run"}
	with := func(use, short string, n int, do func(c *cobra.Command, o office, args []string) error) {
		c.AddCommand(&cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(n), RunE: func(c *cobra.Command, args []string) error {
			o, err := openOffice(args[0])
			if err != nil {
				return err
			}
			return do(c, o, args)
		}})
	}
	with("check FILE", "Go through every page and entry of the store that FILE names", 1, func(c *cobra.Command, o office, _ []string) error {
		if err := controller.CheckStore(o.seat.Dir, o.seat.Control); err != nil {
			fmt.Fprintln(c.ErrOrStderr(), err)
			return exit(1)
		}
		fmt.Fprintf(c.OutOrStdout(), "%s: no damage\n", o.seat.Dir)
		return nil
	})
	with("export FILE", "Write the state that the store holds", 1, func(c *cobra.Command, o office, _ []string) error {
		return controller.Export(o.seat.Dir, o.seat.Control, c.OutOrStdout())
	})
	with("import FILE STATE", "Make a new store of one member out of an exported state", 2, func(c *cobra.Command, o office, args []string) error {
		f, err := os.Open(args[1])
		if err != nil {
			return err
		}
		defer f.Close()
		return controller.Import(o.seat, f)
	})
	with("repair FILE", "Keep what can be read of a damaged store; the damaged file stays beside it", 1, func(c *cobra.Command, o office, _ []string) error {
		kept, err := controller.Repair(o.seat.Dir)
		if err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "entries up to %d are kept; let the other controllers bring it up to date\n", kept)
		return nil
	})
	return c
}

// releaseCommand speaks to controllers. It ends with 0 when done, 1 when the controller says no, 2 when it can't be reached.
func releaseCommand() *cobra.Command {
	var urls []string
	var form string
	var within time.Duration
	root := &cobra.Command{Use: "release", Short: "Create, read, watch and withdraw releases"}
	f := root.PersistentFlags()
	f.StringSliceVar(&urls, "url", []string{"http://127.0.0.1:7300"}, "controllers, with commas between them")
	f.StringVarP(&form, "output", "o", "table", "table or json")
	f.DurationVar(&within, "within", 10*time.Second, "how long to try")
	var files certs.Files
	f.StringVar(&files.Certificate, "certificate", "", "PEM file of the caller's certificate")
	f.StringVar(&files.Key, "key-file", "", "PEM file of its key")
	f.StringVar(&files.Authority, "authority", "", "PEM file of the authority that controllers' certificates come from")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp))
	run := func(use, short string, args cobra.PositionalArgs, do func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error) *cobra.Command {
		x := &cobra.Command{Use: use, Short: short, Args: args, RunE: func(c *cobra.Command, args []string) error {
			if form != "table" && form != "json" {
				return fmt.Errorf("-o %s: table or json expected", form)
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			if !strings.HasPrefix(use, "watch") {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, within)
				defer cancel()
			}
			var h *http.Client
			if files != (certs.Files{}) {
				ring, err := certs.Open(files)
				if err != nil {
					return err
				}
				h = &http.Client{Transport: &http.Transport{TLSClientConfig: ring.Client()}}
			}
			err := do(ctx, c, client.New(urls, h), args)
			var no *client.Error
			if errors.As(err, &no) {
				fmt.Fprintln(c.ErrOrStderr(), "dapplefront:", no)
				return exit(1)
			}
			return err
		}}
		root.AddCommand(x)
		return x
	}
	show := func(c *cobra.Command, all ...api.ReleaseObject) error {
		if form == "json" {
			e := json.NewEncoder(c.OutOrStdout())
			e.SetIndent("", "  ")
			if len(all) == 1 {
				return e.Encode(all[0])
			}
			return e.Encode(all)
		}
		w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "BUILD\tPHASE\tSTAGE\tCAP\tSINCE\tWAITS FOR\tVOTES ON\tBACK\tNOTE")
		for _, r := range all {
			on, back := "-", "-"
			if v := r.Votes; v != nil {
				on, back = fmt.Sprintf("%d of %d", v.Promote, v.PromoteQuorum), fmt.Sprintf("%d of %d", v.Rollback, v.RollbackQuorum)
			}
			waits := r.WaitsFor
			if waits == "" {
				waits = "-"
			}
			fmt.Fprintf(w, "%d\t%s\t%d\t%.3g%%\t%v\t%s\t%s\t%s\t%s\n", r.Build, r.Phase, r.Stage, 100*r.ExposureCap,
				(time.Duration(r.AgeMs) * time.Millisecond).Round(time.Second), waits, on, back, r.Note)
		}
		return w.Flush()
	}
	number := func(text string) (int, error) {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return 0, fmt.Errorf("build %q: a number from 1 expected", text)
		}
		return n, nil
	}
	var key, note, digest, phase string
	var labels, steps []string
	create := run("create BUILD", "Ask for a release", cobra.ExactArgs(1), func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
		n, err := number(args[0])
		if err != nil {
			return err
		}
		a := api.CreateRelease{Build: n, Digest: digest, Note: note, Labels: map[string]string{}}
		for _, l := range labels {
			name, value, ok := strings.Cut(l, "=")
			if !ok {
				return fmt.Errorf("--label %s: NAME=VALUE expected", l)
			}
			a.Labels[name] = value
		}
		for _, text := range steps {
			name, stage, ok := strings.Cut(text, "@")
			at, err := strconv.Atoi(strings.TrimSuffix(stage, "!"))
			if !ok || err != nil {
				return fmt.Errorf("--step %s: NAME@STAGE expected, with ! behind it where there is no way back", text)
			}
			a.Steps = append(a.Steps, api.Step{Name: name, Stage: at, Irreversible: strings.HasSuffix(stage, "!")})
		}
		r, err := k.Create(ctx, a, key)
		if err != nil {
			return err
		}
		return show(c, r)
	})
	create.Flags().StringVar(&key, "key", "", "creation may be repeated under this key")
	create.Flags().StringVar(&note, "note", "", "for people")
	create.Flags().StringVar(&digest, "digest", "", "of the build's manifest")
	create.Flags().StringSliceVar(&labels, "label", nil, "NAME=VALUE")
	create.Flags().StringSliceVar(&steps, "step", nil, "NAME@STAGE: what must be done before a stage; NAME@STAGE! for what can't be undone")
	run("get BUILD", "Show a release with its steps and its trace", cobra.ExactArgs(1), func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
		n, err := number(args[0])
		if err != nil {
			return err
		}
		r, err := k.Get(ctx, n, true)
		if err != nil || form == "json" {
			if err == nil {
				err = show(c, r)
			}
			return err
		}
		if err := show(c, r); err != nil {
			return err
		}
		w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		for _, s := range r.Steps {
			fmt.Fprintf(w, "step\t%s\tbefore stage %d\t%s\t%s\n", s.Name, s.Stage, s.State, s.By)
		}
		for _, m := range r.History {
			fmt.Fprintf(w, "%.1f s\t%s\n", float64(m.AtMs)/1000, m.Text)
		}
		return w.Flush()
	})
	list := run("list", "List releases", cobra.NoArgs, func(ctx context.Context, c *cobra.Command, k *client.Client, _ []string) error {
		all, err := k.List(ctx, labels, phase)
		if err != nil {
			return err
		}
		return show(c, all...)
	})
	list.Flags().StringSliceVar(&labels, "label", nil, "NAME=VALUE")
	list.Flags().StringVar(&phase, "phase", "", strings.Join(api.Phases, ", "))
	_ = list.RegisterFlagCompletionFunc("phase", cobra.FixedCompletions(api.Phases, cobra.ShellCompDirectiveNoFileComp))
	run("withdraw BUILD", "Take a build back", cobra.ExactArgs(1), func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
		n, err := number(args[0])
		if err != nil {
			return err
		}
		r, err := k.RollBack(ctx, n)
		if err != nil {
			return err
		}
		return show(c, r)
	})
	run("votes BUILD", "Tell how the votes stand", cobra.ExactArgs(1), func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
		n, err := number(args[0])
		if err != nil {
			return err
		}
		r, err := k.Get(ctx, n, true)
		if err != nil {
			return err
		}
		if r.Votes == nil {
			fmt.Fprintf(c.OutOrStdout(), "build %d is not the newest release: no votes stand\n", n)
			return nil
		}
		if form == "json" {
			return json.NewEncoder(c.OutOrStdout()).Encode(r.Votes)
		}
		fmt.Fprintf(c.OutOrStdout(), "on: %d of %d needed; back: %d of %d needed\n", r.Votes.Promote, r.Votes.PromoteQuorum, r.Votes.Rollback, r.Votes.RollbackQuorum)
		return nil
	})
	run("step BUILD NAME", "Report a step done", cobra.ExactArgs(2), func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
		n, err := number(args[0])
		if err != nil {
			return err
		}
		r, err := k.CompleteStep(ctx, n, args[1], "dapplefront release step")
		if err != nil {
			return err
		}
		return show(c, r)
	})
	run("watch", "Follow what happens", cobra.NoArgs, func(ctx context.Context, c *cobra.Command, k *client.Client, _ []string) error {
		k.Watch(ctx, func(event string, data []byte) error {
			if event != "bookmark" {
				fmt.Fprintf(c.OutOrStdout(), "%s %s\n", event, data)
			}
			return nil
		}, func(err error) { fmt.Fprintln(c.ErrOrStderr(), "dapplefront:", err) })
		return nil
	})
	run("status", "Tell how a controller stands", cobra.NoArgs, func(ctx context.Context, c *cobra.Command, k *client.Client, _ []string) error {
		s, err := k.Status(ctx)
		if err != nil {
			return err
		}
		e := json.NewEncoder(c.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(s)
	})
	run("join NAME ADDRESS", "Take a controller in as a member, which runs with an empty store", cobra.ExactArgs(2), func(ctx context.Context, _ *cobra.Command, k *client.Client, args []string) error {
		return k.AddController(ctx, args[0], api.Controller{Address: args[1]})
	})
	run("part NAME", "Take a controller out for good", cobra.ExactArgs(1), func(ctx context.Context, _ *cobra.Command, k *client.Client, args []string) error {
		return k.RemoveController(ctx, args[0])
	})
	return root
}
