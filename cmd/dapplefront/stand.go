package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dapplefront/internal/audit"
	"dapplefront/internal/testbed"
	"dapplefront/policy"
)

// untilSignal waits for an interrupt or SIGTERM.
func untilSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
}

func hostCommand(log logging) *cobra.Command {
	var kinds []string
	var cores, build int
	var speed float64
	c := &cobra.Command{Use: "host", Short: "Run a stand-in host that works on tasks by sleeping", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			l, err := log("info")
			if err != nil {
				return err
			}
			w := testbed.World{Kinds: map[string]testbed.Kind{}, Marks: &testbed.Marks{}}
			for _, k := range kinds {
				name, span, ok := strings.Cut(k, "=")
				d, err := time.ParseDuration(span)
				if !ok || err != nil {
					return fmt.Errorf("--kind %s: NAME=TIME expected, such as quote=30ms", k)
				}
				w.Kinds[name] = testbed.Kind{Name: name, Work: d}
			}
			h, err := testbed.StartHost(testbed.Machine{ID: 1, Location: "here", Cores: cores, Speed: speed, ColdShare: 1},
				testbed.Build{Number: build}, false, w)
			if err != nil {
				return err
			}
			l.Info("host", "address", h.Address(), "build", build)
			untilSignal()
			h.Stop(5 * time.Second)
			return nil
		}}
	c.Flags().StringSliceVar(&kinds, "kind", []string{"quote=30ms"}, "categories and the work of a task of each")
	c.Flags().IntVar(&cores, "cores", 2, "tasks that it works on at once")
	c.Flags().IntVar(&build, "build", 1, "the build that it runs")
	c.Flags().Float64Var(&speed, "speed", 1, "times the usual")
	return c
}

func registerCommand(log logging) *cobra.Command {
	var address, group string
	c := &cobra.Command{Use: "register ADDRESS=LOCATION=BUILD ...", Short: "Run a stand-in register (xDS endpoint discovery) with a fixed list",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			l, err := log("info")
			if err != nil {
				return err
			}
			r, err := testbed.StartRegister(address, group, nil)
			if err != nil {
				return err
			}
			var locations []string
			for i, a := range args {
				parts := strings.Split(a, "=")
				if len(parts) != 3 {
					return fmt.Errorf("%s: ADDRESS=LOCATION=BUILD expected", a)
				}
				build, err := strconv.Atoi(parts[2])
				if _, _, err2 := net.SplitHostPort(parts[0]); err != nil || err2 != nil {
					return fmt.Errorf("%s: ADDRESS=LOCATION=BUILD expected", a)
				}
				h := testbed.Elsewhere(parts[0], testbed.Machine{ID: uint32(i + 1), Location: parts[1], Cores: 1, Speed: 1}, build)
				r.Set(testbed.Entry{Host: h, Standing: policy.Serving})
				if !slices.Contains(locations, parts[1]) {
					locations = append(locations, parts[1])
				}
			}
			l.Info("register", "address", r.Address(), "names", strings.Join(r.Names(locations), ", "))
			untilSignal()
			r.Stop()
			return nil
		}}
	c.Flags().StringVar(&address, "listen", "127.0.0.1:9000", "where to listen")
	c.Flags().StringVar(&group, "group", "shop", "the first part of the resources' names")
	return c
}

func loadCommand() *cobra.Command {
	var rate float64
	var seconds int
	var path, category string
	var promised, patience time.Duration
	c := &cobra.Command{Use: "load ADDRESS", Short: "Ask a router for tasks at a steady rate", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			book := audit.Open()
			defer book.Close()
			wish := testbed.Wish{Kind: testbed.Kind{Name: category}, Path: path, Share: 1, Promised: promised, Patience: patience}
			clients := testbed.NewClients([]testbed.Wish{wish}, []testbed.Door{{Name: "router", Address: args[0], Rate: rate}},
				testbed.Habits{Rush: 1}, book, "", nil, uint64(time.Now().UnixNano()))
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
			defer stop()
			ctx, cancel := context.WithTimeout(ctx, time.Duration(seconds)*time.Second)
			defer cancel()
			clients.Run(ctx)
			scores, times := clients.Scores()
			s, t := scores[category], times[category]
			slices.Sort(t)
			at := func(share float64) time.Duration {
				if len(t) == 0 {
					return 0
				}
				return t[int(share*float64(len(t)-1))].Round(10 * time.Microsecond)
			}
			fmt.Fprintf(c.OutOrStdout(), "asked %d, in time %d, late %d, turned back %d, scrapped %d, refused %d, lost %d\n"+
				"p50 %v, p90 %v, p99 %v, longest %v\n", s.Asked, s.InTime, s.Late, s.TurnedBack, s.Scrapped, s.Refused,
				s.Lost+s.Left, at(.5), at(.9), at(.99), at(1))
			return nil
		}}
	f := c.Flags()
	f.Float64Var(&rate, "rate", 100, "tasks a second")
	f.IntVar(&seconds, "seconds", 10, "how long")
	f.StringVar(&path, "path", "/quote", "what to ask for")
	f.StringVar(&category, "category", "quote", "its name in the report")
	f.DurationVar(&promised, "promised", 500*time.Millisecond, "answers within this are in time")
	f.DurationVar(&patience, "patience", 2*time.Second, "how long a client waits")
	return c
}
