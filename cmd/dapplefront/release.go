package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"dapplefront/client"
	"dapplefront/internal/api"
	"dapplefront/internal/certs"
)

// releaseOptions are the flags that all release commands have.
type releaseOptions struct {
	urls    []string
	output  string // table or json
	timeout time.Duration
	files   certs.Files
}

// releaseCommand sends requests to controllers. It exits with 0 if the request succeeded, 1 if the controller rejected it, and 2
// on any other error, for example if no controller could be reached.
func releaseCommand() *cobra.Command {
	var o releaseOptions
	root := &cobra.Command{Use: "release", Short: "Create, show, watch and withdraw releases"}
	f := root.PersistentFlags()
	f.StringSliceVar(&o.urls, "url", []string{"http://127.0.0.1:7300"}, "URLs of the controllers, separated by commas")
	f.StringVarP(&o.output, "output", "o", "table", "output format: table or json")
	f.DurationVar(&o.timeout, "within", 10*time.Second, "time limit for the request, including retries")
	f.StringVar(&o.files.Certificate, "certificate", "", "PEM file of the client certificate")
	f.StringVar(&o.files.Key, "key-file", "", "PEM file of the private key of the client certificate")
	f.StringVar(&o.files.Authority, "authority", "", "PEM file of the certificate authority that issued the controllers' certificates")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(
		o.createCommand(), o.getCommand(), o.listCommand(), o.withdrawCommand(), o.votesCommand(), o.stepCommand(),
		o.watchCommand(), o.statusCommand(), o.joinCommand(), o.partCommand(),
	)
	return root
}

// action is the implementation of a release command.
type action func(ctx context.Context, c *cobra.Command, controllers *client.Client, args []string) error

// run returns a command function that runs an action with the timeout.
func (o *releaseOptions) run(do action) func(*cobra.Command, []string) error {
	return o.follow(func(ctx context.Context, c *cobra.Command, controllers *client.Client, args []string) error {
		ctx, cancel := context.WithTimeout(ctx, o.timeout)
		defer cancel()
		return do(ctx, c, controllers, args)
	})
}

// follow returns a command function that runs an action until a signal stops it. If the controller rejects the request, the
// function prints the error and the program exits with 1.
func (o *releaseOptions) follow(do action) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, args []string) error {
		if o.output != "table" && o.output != "json" {
			return fmt.Errorf("-o %s: table or json expected", o.output)
		}
		ctx, stop := terminationContext()
		defer stop()
		transport, err := o.httpClient()
		if err != nil {
			return err
		}
		err = do(ctx, c, client.New(o.urls, transport), args)
		var rejected *client.Error
		if errors.As(err, &rejected) {
			c.PrintErrln("dapplefront:", rejected)
			return exitCode(exitFailed)
		}
		return err
	}
}

// httpClient returns an HTTP client that uses the client certificate, or nil if no certificate is given.
func (o *releaseOptions) httpClient() (*http.Client, error) {
	if o.files == (certs.Files{}) {
		return nil, nil
	}
	reloader, err := certs.Open(o.files)
	if err != nil {
		return nil, err
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: reloader.Client()}}, nil
}

// buildAction is the implementation of a release command whose first argument is a build.
type buildAction func(ctx context.Context, c *cobra.Command, controllers *client.Client, build int, args []string) error

// runForBuild returns a command function that parses the build and runs an action with the timeout.
func (o *releaseOptions) runForBuild(do buildAction) func(*cobra.Command, []string) error {
	return o.run(func(ctx context.Context, c *cobra.Command, controllers *client.Client, args []string) error {
		build, err := parseBuild(args[0])
		if err != nil {
			return err
		}
		return do(ctx, c, controllers, build, args[1:])
	})
}

func parseBuild(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return 0, fmt.Errorf("build %q: a number from 1 expected", text)
	}
	return n, nil
}

func (o *releaseOptions) createCommand() *cobra.Command {
	var key, note, digest string
	var labels, steps []string
	c := &cobra.Command{Use: "create BUILD", Short: "Request a release", Args: cobra.ExactArgs(1)}
	c.RunE = o.runForBuild(func(ctx context.Context, c *cobra.Command, controllers *client.Client, build int, _ []string) error {
		request := api.CreateRelease{Build: build, Digest: digest, Note: note, Labels: map[string]string{}}
		for _, text := range labels {
			name, value, ok := strings.Cut(text, "=")
			if !ok {
				return fmt.Errorf("--label %s: NAME=VALUE expected", text)
			}
			request.Labels[name] = value
		}
		for _, text := range steps {
			step, err := parseStep(text)
			if err != nil {
				return err
			}
			request.Steps = append(request.Steps, step)
		}
		r, err := controllers.Create(ctx, request, key)
		if err != nil {
			return err
		}
		return o.print(c, r)
	})
	c.Flags().StringVar(&key, "key", "", "idempotency key: the request may be repeated with the same key")
	c.Flags().StringVar(&note, "note", "", "note for operators")
	c.Flags().StringVar(&digest, "digest", "", "digest of the build's manifest")
	c.Flags().StringSliceVar(&labels, "label", nil, "NAME=VALUE")
	c.Flags().StringSliceVar(&steps, "step", nil, "NAME@STAGE: a step that must be done before a stage; NAME@STAGE! if the step can't be undone")
	return c
}

// parseStep parses NAME@STAGE, or NAME@STAGE! for a step that can't be undone.
func parseStep(text string) (api.Step, error) {
	name, stageText, ok := strings.Cut(text, "@")
	stage, err := strconv.Atoi(strings.TrimSuffix(stageText, "!"))
	if !ok || err != nil {
		return api.Step{}, fmt.Errorf("--step %s: NAME@STAGE expected, or NAME@STAGE! for a step that can't be undone", text)
	}
	return api.Step{Name: name, Stage: stage, Irreversible: strings.HasSuffix(stageText, "!")}, nil
}

func (o *releaseOptions) getCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "get BUILD",
		Short: "Show a release with its steps and its history",
		Args:  cobra.ExactArgs(1),
		RunE: o.runForBuild(func(ctx context.Context, c *cobra.Command, controllers *client.Client, build int, _ []string) error {
			r, err := controllers.Get(ctx, build, true)
			if err != nil {
				return err
			}
			if err := o.print(c, r); err != nil || o.output == "json" {
				return err
			}
			return printHistory(c, r)
		}),
	}
}

func (o *releaseOptions) listCommand() *cobra.Command {
	var phase string
	var labels []string
	c := &cobra.Command{Use: "list", Short: "List releases", Args: cobra.NoArgs}
	c.RunE = o.run(func(ctx context.Context, c *cobra.Command, controllers *client.Client, _ []string) error {
		all, err := controllers.List(ctx, labels, phase)
		if err != nil {
			return err
		}
		return o.print(c, all...)
	})
	c.Flags().StringSliceVar(&labels, "label", nil, "NAME=VALUE")
	c.Flags().StringVar(&phase, "phase", "", strings.Join(api.Phases, ", "))
	_ = c.RegisterFlagCompletionFunc("phase", cobra.FixedCompletions(api.Phases, cobra.ShellCompDirectiveNoFileComp))
	return c
}

func (o *releaseOptions) withdrawCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "withdraw BUILD",
		Short: "Roll a build back",
		Args:  cobra.ExactArgs(1),
		RunE: o.runForBuild(func(ctx context.Context, c *cobra.Command, controllers *client.Client, build int, _ []string) error {
			r, err := controllers.RollBack(ctx, build)
			if err != nil {
				return err
			}
			return o.print(c, r)
		}),
	}
}

func (o *releaseOptions) votesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "votes BUILD",
		Short: "Print the votes on a build",
		Args:  cobra.ExactArgs(1),
		RunE: o.runForBuild(func(ctx context.Context, c *cobra.Command, controllers *client.Client, build int, _ []string) error {
			r, err := controllers.Get(ctx, build, true)
			if err != nil {
				return err
			}
			v := r.Votes
			switch {
			case v == nil:
				c.Printf("build %d is not the newest release: there are no votes on it\n", build)
			case o.output == "json":
				return json.NewEncoder(c.OutOrStdout()).Encode(v)
			default:
				c.Printf("on: %d of %d needed; back: %d of %d needed\n", v.Promote, v.PromoteQuorum, v.Rollback, v.RollbackQuorum)
			}
			return nil
		}),
	}
}

func (o *releaseOptions) stepCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "step BUILD NAME",
		Short: "Report that a step is done",
		Args:  cobra.ExactArgs(2),
		RunE: o.runForBuild(func(ctx context.Context, c *cobra.Command, controllers *client.Client, build int, args []string) error {
			r, err := controllers.CompleteStep(ctx, build, args[0], "dapplefront release step")
			if err != nil {
				return err
			}
			return o.print(c, r)
		}),
	}
}

func (o *releaseOptions) watchCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "watch",
		Short: "Print events as they occur",
		Args:  cobra.NoArgs,
		RunE: o.follow(func(ctx context.Context, c *cobra.Command, controllers *client.Client, _ []string) error {
			onEvent := func(event string, data []byte) error {
				if event != "bookmark" {
					c.Printf("%s %s\n", event, data)
				}
				return nil
			}
			controllers.Watch(ctx, onEvent, func(err error) { c.PrintErrln("dapplefront:", err) })
			return nil
		}),
	}
}

func (o *releaseOptions) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Print the status of a controller",
		Args:  cobra.NoArgs,
		RunE: o.run(func(ctx context.Context, c *cobra.Command, controllers *client.Client, _ []string) error {
			status, err := controllers.Status(ctx)
			if err != nil {
				return err
			}
			return printJSON(c, status)
		}),
	}
}

func (o *releaseOptions) joinCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "join NAME ADDRESS",
		Short: "Add a controller, which runs with an empty store, to the Raft group",
		Args:  cobra.ExactArgs(2),
		RunE: o.run(func(ctx context.Context, _ *cobra.Command, controllers *client.Client, args []string) error {
			return controllers.AddController(ctx, args[0], api.Controller{Address: args[1]})
		}),
	}
}

func (o *releaseOptions) partCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "part NAME",
		Short: "Remove a controller from the Raft group permanently",
		Args:  cobra.ExactArgs(1),
		RunE: o.run(func(ctx context.Context, _ *cobra.Command, controllers *client.Client, args []string) error {
			return controllers.RemoveController(ctx, args[0])
		}),
	}
}
