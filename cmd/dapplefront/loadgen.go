package main

import (
	"context"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"dapplefront/internal/audit"
	"dapplefront/internal/testbed"
)

// loadOptions are the flags of the loadgen command.
type loadOptions struct {
	rate      float64 // requests a second
	seconds   int
	path      string
	class     string
	objective time.Duration // answers within this are in time
	timeout   time.Duration
}

func loadgenCommand() *cobra.Command {
	var o loadOptions
	c := &cobra.Command{
		Use:   "loadgen ADDRESS",
		Short: "Send requests to a router at a steady rate",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return o.run(c, args[0])
		},
	}
	f := c.Flags()
	f.Float64Var(&o.rate, "rate", 100, "requests a second")
	f.IntVar(&o.seconds, "seconds", 10, "how long")
	f.StringVar(&o.path, "path", "/quote", "what to ask for")
	f.StringVar(&o.class, "category", "quote", "the class's name in the report")
	f.DurationVar(&o.objective, "promised", 500*time.Millisecond, "answers within this are in time")
	f.DurationVar(&o.timeout, "patience", 2*time.Second, "how long a client waits")
	return c
}

func (o *loadOptions) run(c *cobra.Command, address string) error {
	recorder := audit.NewRecorder()
	defer recorder.Close()
	class := testbed.RequestClass{Class: testbed.Class{Name: o.class}, Path: o.path, Share: 1, LatencyObjective: o.objective, Timeout: o.timeout}
	target := testbed.Target{Name: "router", Address: address, Rate: o.rate}
	clients := testbed.NewClients([]testbed.RequestClass{class}, []testbed.Target{target}, testbed.Behavior{RateFactor: 1}, recorder, "", nil,
		uint64(time.Now().UnixNano()))
	ctx, stop := interruptContext()
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(o.seconds)*time.Second)
	defer cancel()
	clients.Run(ctx)
	scores, times := clients.Scores()
	s, latencies := scores[o.class], times[o.class]
	slices.Sort(latencies)
	c.Printf("asked %d, in time %d, late %d, turned back %d, scrapped %d, refused %d, lost %d\n",
		s.Asked, s.InTime, s.Late, s.Rejected, s.Failed, s.Refused, s.Lost+s.TimedOut)
	c.Printf("p50 %v, p90 %v, p99 %v, longest %v\n",
		quantile(latencies, .5), quantile(latencies, .9), quantile(latencies, .99), quantile(latencies, 1))
	return nil
}

// quantile is the value below which this share of the sorted latencies lies, 0 for none.
func quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(share*float64(len(sorted)-1))].Round(10 * time.Microsecond)
}
